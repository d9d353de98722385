// What one gateway process costs by the size of the fleet, with the same traffic: 16 real ports stand behind 200 and 3,200
// names of model servers, one name changes each half second, and 60 requests a second come, or none. Prints what each size
// needs and holds the ratios against the platform's table; exit code 1 where one is over.
//
//     GORSENOTCH=build-program/src/gorsenotch node bench/fleet.mjs [--seconds 12] [--rate 60]
import { readFileSync, readdirSync } from 'node:fs';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { Gateway, listen, sleep, until } from '../tests/life/platform.mjs';

const options = { seconds: 12, rate: 60 };
for (let i = 2; i < process.argv.length; i += 2) options[process.argv[i].slice(2)] = Number(process.argv[i + 1]);
const SMALL = 200, LARGE = 3200, PORTS = 16, CHANGE_EVERY = 500;

let connections = 0;
async function startServer(role) {
  const server = http.createServer((req, res) => {
    req.resume();
    req.on('end', () => {
      if (req.method === 'DELETE') { res.writeHead(204); return res.end(); }
      if (role === 'read') { res.writeHead(202); return res.end('{"cached_tokens":7}'); }
      res.writeHead(200, { 'content-type': 'text/event-stream' });
      res.write('data: 1\n\n');
      setTimeout(() => res.end('data: [DONE]\n\n'), 50);
    });
  });
  server.on('connection', () => { ++connections; });
  return { server, role, port: await listen(server) };
}

const host = (servers, rank) => {
  const { role, port } = servers[rank % servers.length];
  return { host: `s-${rank}`, dial: `127.0.0.1:${port}`, site: rank % 4 < 2 ? 'a' : 'b', class: role === 'read' ? 'prefill' : 'decode',
    block: Math.floor(rank / 6), health: 'up', share: 1.0, born_ms: 0 };
};

// An agent that tells changes.
async function startDiscovery(hosts) {
  const agent = { seq: 1, bytes: 0, waiting: null, changed: [] };
  const tell = (res, whole, list) => {
    const text = JSON.stringify({ seq: agent.seq, whole, hosts: list });
    agent.bytes += text.length;
    res.end(text);
  };
  const server = http.createServer((req, res) => {
    const from = new URL(req.url, 'http://x').searchParams.get('from');
    if (from === null) return tell(res, true, hosts);
    if (Number(from) < agent.seq) return tell(res, false, agent.changed);
    agent.waiting = res;
    setTimeout(() => { if (agent.waiting === res) { agent.waiting = null; tell(res, false, []); } }, 2000);
  });
  agent.port = await listen(server);
  agent.change = (list) => {
    ++agent.seq;
    agent.changed = list;
    if (agent.waiting) { const res = agent.waiting; agent.waiting = null; tell(res, false, list); }
  };
  agent.stop = () => { server.closeAllConnections(); server.close(); };
  return agent;
}

function usage(pid) {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return { cpu: (Number(stat[11]) + Number(stat[12])) * 10, peak: Number(/VmHWM:\s+(\d+)/.exec(status)[1]) / 1024,
    descriptors: readdirSync(`/proc/${pid}/fd`).length };
}

async function measure(servers, size, rate) {
  const hosts = Array.from({ length: size }, (_, rank) => host(servers, rank));
  const agent = await startDiscovery(hosts);
  const gateway = new Gateway();
  gateway.gateways = 300;
  await gateway.start(agent.port, []);
  await until('the watch', () => agent.waiting !== null);
  await sleep(1000);
  const pid = gateway.child.pid, before = usage(pid), madeBefore = connections, bytesBefore = agent.bytes;
  const began = performance.now();
  let asked = 0, changes = 0, served = 0, descriptors = 0;
  const answers = [], keep = new http.Agent({ keepAlive: true });
  while (performance.now() - began < options.seconds * 1000) {
    const passed = performance.now() - began;
    for (; asked < passed * rate / 1000; ++asked) {
      answers.push(gateway.ask(`fleet-${size}-${rate}-${asked}`, { agent: keep, headers: { 'x-entity': `e${asked % 500}` } })
        .then((r) => { served += r.whole === true && r.status === 200; }));
    }
    for (; changes < passed / CHANGE_EVERY; ++changes) agent.change([{ ...hosts[changes % size], share: 1 + (changes % 7) / 100 }]);
    descriptors = Math.max(descriptors, usage(pid).descriptors);
    await sleep(4);
  }
  await Promise.all(answers);
  const after = usage(pid);
  keep.destroy();
  await gateway.end();
  agent.stop();
  return { cpu: after.cpu - before.cpu, peak: after.peak, descriptors, connections: connections - madeBefore, bytes: agent.bytes - bytesBefore,
    share: rate > 0 ? served / asked : 1 };
}

const servers = [];
for (let i = 0; i < PORTS; ++i) servers.push(await startServer(i % 2 === 0 ? 'read' : 'write'));
const thousands = LARGE / 1000;
let over = 0;
for (const rate of [options.rate, 0]) {
  const small = await measure(servers, SMALL, rate), large = await measure(servers, LARGE, rate);
  const rows = [
    ['CPU ms', small.cpu, large.cpu, 1.4 * small.cpu + 20 + 30 * thousands],
    ['peak memory MB', small.peak, large.peak, 1.5 * small.peak + 8 + 4 * thousands],
    ['descriptors', small.descriptors, large.descriptors, 2 * small.descriptors + 40],
    ['connections made', small.connections, large.connections, 2.5 * small.connections + 40],
    ['KB of lists', small.bytes / 1024, large.bytes / 1024, 2 * small.bytes / 1024 + 64 + 500 * thousands],
  ];
  console.log(`${rate} requests a second for ${options.seconds} s: ${SMALL} servers, ${LARGE} servers, ratio, at most by the table`);
  for (const [name, a, b, most] of rows) {
    const bad = b > most;
    over += bad;
    console.log(`  ${name.padEnd(18)} ${a.toFixed(1).padStart(9)} ${b.toFixed(1).padStart(9)} ${(a > 0 ? b / a : 0).toFixed(2).padStart(7)} ${most.toFixed(1).padStart(9)}${bad ? '  OVER' : ''}`);
  }
  if (rate > 0) {
    const bad = large.share < 0.85 * small.share;
    over += bad;
    console.log(`  share served       ${small.share.toFixed(3).padStart(9)} ${large.share.toFixed(3).padStart(9)}${bad ? '  OVER' : ''}`);
  }
}
for (const s of servers) { s.server.closeAllConnections(); s.server.close(); }
console.log(over === 0 ? 'within the table' : `${over} over the table`);
process.exit(over === 0 ? 0 : 1);
