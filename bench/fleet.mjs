// Measures the resource use of one gateway process by the size of the fleet under the same traffic: 16 ports serve 200 and then
// 3,200 host names, one list entry changes every 500 ms, and clients send 60 requests a second or none. Prints the figures of
// each size and compares them with the limits of the platform; exits with 1 if a limit is exceeded.
//
//     GORSENOTCH=build-program/src/gorsenotch node bench/fleet.mjs [--seconds 12] [--rate 60]
import { readFileSync, readdirSync } from 'node:fs';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { Gateway, listen, sleep, waitUntil } from '../tests/life/platform.mjs';

const options = { seconds: 12, rate: 60 };
for (let i = 2; i < process.argv.length; i += 2) options[process.argv[i].slice(2)] = Number(process.argv[i + 1]);
const SMALL_FLEET_HOSTS = 200, LARGE_FLEET_HOSTS = 3200, SERVER_PORTS = 16, LIST_CHANGE_INTERVAL_MS = 500;

let acceptedConnections = 0;  // by all fake servers
async function startServer(role) {
  const server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      if (request.method === 'DELETE') { response.writeHead(204); return response.end(); }
      if (role === 'read') { response.writeHead(202); return response.end('{"cached_tokens":7}'); }
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write('data: 1\n\n');
      setTimeout(() => response.end('data: [DONE]\n\n'), 50);
    });
  });
  server.on('connection', () => { ++acceptedConnections; });
  return { server, role, port: await listen(server) };
}

// The list entry of the host with this rank.
const hostEntry = (servers, rank) => {
  const { role, port } = servers[rank % servers.length];
  return { host: `s-${rank}`, dial: `127.0.0.1:${port}`, site: rank % 4 < 2 ? 'a' : 'b', class: role === 'read' ? 'prefill' : 'decode',
    block: Math.floor(rank / 6), health: 'up', share: 1.0, born_ms: 0 };
};

// A fake discovery service that answers a watch with incremental updates.
async function startDiscovery(hosts) {
  const discovery = { seq: 1, bytesSent: 0, pendingWatch: null, changedHosts: [] };
  const sendList = (response, complete, list) => {
    const text = JSON.stringify({ seq: discovery.seq, whole: complete, hosts: list });
    discovery.bytesSent += text.length;
    response.end(text);
  };
  const server = http.createServer((request, response) => {
    const from = new URL(request.url, 'http://x').searchParams.get('from');
    if (from === null) return sendList(response, true, hosts);
    if (Number(from) < discovery.seq) return sendList(response, false, discovery.changedHosts);
    discovery.pendingWatch = response;
    setTimeout(() => {
      if (discovery.pendingWatch === response) { discovery.pendingWatch = null; sendList(response, false, []); }
    }, 2000);
  });
  discovery.port = await listen(server);
  discovery.update = (list) => {
    ++discovery.seq;
    discovery.changedHosts = list;
    if (discovery.pendingWatch) { const response = discovery.pendingWatch; discovery.pendingWatch = null; sendList(response, false, list); }
  };
  discovery.stop = () => { server.closeAllConnections(); server.close(); };
  return discovery;
}

// Resource use of a process so far: CPU time in ms, peak resident memory in MB, open file descriptors.
function readUsage(pid) {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return { cpuMs: (Number(stat[11]) + Number(stat[12])) * 10, peakMb: Number(/VmHWM:\s+(\d+)/.exec(status)[1]) / 1024,
    descriptors: readdirSync(`/proc/${pid}/fd`).length };
}

// Plays the traffic against a new gateway with `size` hosts; returns what the gateway used.
async function measure(servers, size, rate) {
  const hosts = Array.from({ length: size }, (_, rank) => hostEntry(servers, rank));
  const discovery = await startDiscovery(hosts);
  const gateway = new Gateway();
  gateway.gatewayCount = 300;
  await gateway.start(discovery.port, []);
  await waitUntil('the watch', () => discovery.pendingWatch !== null);
  await sleep(1000);
  const pid = gateway.child.pid, before = readUsage(pid), connectionsBefore = acceptedConnections, bytesBefore = discovery.bytesSent;
  const began = performance.now();
  let sentCount = 0, changeCount = 0, servedCount = 0, maxDescriptors = 0;
  const responses = [], keepAliveAgent = new http.Agent({ keepAlive: true });
  while (performance.now() - began < options.seconds * 1000) {
    const elapsedMs = performance.now() - began;
    for (; sentCount < elapsedMs * rate / 1000; ++sentCount) {
      responses.push(gateway.sendRequest(`fleet-${size}-${rate}-${sentCount}`,
        { agent: keepAliveAgent, headers: { 'x-entity': `e${sentCount % 500}` } })
        .then((response) => { servedCount += response.complete === true && response.status === 200; }));
    }
    for (; changeCount < elapsedMs / LIST_CHANGE_INTERVAL_MS; ++changeCount)
      discovery.update([{ ...hosts[changeCount % size], share: 1 + (changeCount % 7) / 100 }]);
    maxDescriptors = Math.max(maxDescriptors, readUsage(pid).descriptors);
    await sleep(4);
  }
  await Promise.all(responses);
  const after = readUsage(pid);
  keepAliveAgent.destroy();
  await gateway.stop();
  discovery.stop();
  return { cpuMs: after.cpuMs - before.cpuMs, peakMb: after.peakMb, descriptors: maxDescriptors,
    connections: acceptedConnections - connectionsBefore, listBytes: discovery.bytesSent - bytesBefore,
    servedFraction: rate > 0 ? servedCount / sentCount : 1 };
}

const servers = [];
for (let i = 0; i < SERVER_PORTS; ++i) servers.push(await startServer(i % 2 === 0 ? 'read' : 'write'));
const thousandHosts = LARGE_FLEET_HOSTS / 1000;
let exceededLimits = 0;
for (const rate of [options.rate, 0]) {
  const small = await measure(servers, SMALL_FLEET_HOSTS, rate), large = await measure(servers, LARGE_FLEET_HOSTS, rate);
  const rows = [
    ['CPU ms', small.cpuMs, large.cpuMs, 1.4 * small.cpuMs + 20 + 30 * thousandHosts],
    ['peak memory MB', small.peakMb, large.peakMb, 1.5 * small.peakMb + 8 + 4 * thousandHosts],
    ['descriptors', small.descriptors, large.descriptors, 2 * small.descriptors + 40],
    ['connections made', small.connections, large.connections, 2.5 * small.connections + 40],
    ['KB of lists', small.listBytes / 1024, large.listBytes / 1024, 2 * small.listBytes / 1024 + 64 + 500 * thousandHosts],
  ];
  console.log(`${rate} requests a second for ${options.seconds} s: ` +
    `${SMALL_FLEET_HOSTS} servers, ${LARGE_FLEET_HOSTS} servers, ratio, at most by the table`);
  for (const [name, smallValue, largeValue, limit] of rows) {
    const exceeded = largeValue > limit;
    exceededLimits += exceeded;
    console.log(`  ${name.padEnd(18)} ${smallValue.toFixed(1).padStart(9)} ${largeValue.toFixed(1).padStart(9)} ` +
      `${(smallValue > 0 ? largeValue / smallValue : 0).toFixed(2).padStart(7)} ` +
      `${limit.toFixed(1).padStart(9)}${exceeded ? '  OVER' : ''}`);
  }
  if (rate > 0) {
    const exceeded = large.servedFraction < 0.85 * small.servedFraction;
    exceededLimits += exceeded;
    console.log(`  share served       ${small.servedFraction.toFixed(3).padStart(9)} ` +
      `${large.servedFraction.toFixed(3).padStart(9)}${exceeded ? '  OVER' : ''}`);
  }
}
for (const entry of servers) { entry.server.closeAllConnections(); entry.server.close(); }
console.log(exceededLimits === 0 ? 'within the table' : `${exceededLimits} over the table`);
process.exit(exceededLimits === 0 ? 0 : 1);
