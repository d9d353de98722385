// One gateway as the platform starts it (`gorsenotch node`, the GW_ variables), against small stand-ins of
// discovery and model servers on loopback: serve, refuse, break, drain, bad clients, SIGHUP, SIGTERM.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { Discovery, Engine, Gateway, freePort, listen, program, sleep, until } from './platform.mjs';

let reader, writer, discovery, gateway;
before(async () => {
  reader = await new Engine().start('r1', 'read');
  writer = await new Engine().start('w1', 'write');
  discovery = await new Discovery().start([reader.host(), writer.host()]);
  gateway = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  await until('the list', () => discovery.waiting.length === 1);
});
after(async () => {
  assert.deepEqual(await gateway.end(), { code: 0, signal: null });
  for (const s of [reader, writer, discovery]) s.stop();
});

test('a request passes unchanged to reader and writer, and its events come back', async () => {
  const r = await gateway.ask('id-1');
  assert.equal(r.status, 200);
  assert.equal(r.text, 'data: {"a":"\u00e9"}\n\ndata: [DONE]\n\n');
  assert.ok(r.whole);
  for (const e of [reader, writer]) {
    const seen = e.seen.find((s) => s.headers['x-txn'] === 'id-1');
    assert.equal(seen.method, 'POST');
    assert.equal(seen.url, '/v1/chat/completions?x=1');
    assert.equal(seen.body, '{"model":"chat","stream":true}');
    assert.match(seen.headers['x-remaining'], /^[1-9][0-9]*m$/);
  }
});

test('a stream that breaks ends without the last chunk; one that ends whole keeps the connection', async () => {
  writer.behave = (r, res) => {
    if (r.headers['x-txn'] !== 'id-2') return false;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write('data: 1\n\n');
    setTimeout(() => res.destroy(), 30);
    return true;
  };
  const r = await gateway.ask('id-2');
  assert.equal(r.status, 200);
  assert.equal(r.text, 'data: 1\n\n');
  assert.ok(!r.whole);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (const id of ['id-3', 'id-4']) assert.ok((await gateway.ask(id, { agent })).whole);
  agent.destroy();
});

test('a request behind another on one connection waits for its turn, however the bytes are cut', async () => {
  writer.behave = () => false;
  const one = (id) => `POST /v1/chat/completions HTTP/1.1\r\nx-txn: ${id}\r\nx-lane: chat\r\nx-org: acme\r\n` +
    `x-remaining: 2500m\r\ncontent-length: 2\r\n\r\n{}`;
  for (const cut of [10, 200, 100000]) {
    const bytes = one(`a-${cut}`) + one(`b-${cut}`) + 'GET /nothing HTTP/1.1\r\n\r\n';
    const text = await new Promise((done) => {
      let got = '';
      const s = net.connect(gateway.port, '127.0.0.1', async () => {
        s.setNoDelay(true);
        for (let i = 0; i < bytes.length; i += cut) { s.write(bytes.slice(i, i + cut)); await sleep(1); }
      });
      s.on('data', (d) => { got += d; });
      s.on('close', () => done(got));
    });
    assert.equal(text.match(/\[DONE\]/g)?.length, 2, text);
    assert.match(text, /HTTP\/1.1 200 .*HTTP\/1.1 200 .*HTTP\/1.1 404 /s);
    const order = writer.seen.map((r) => r.headers['x-txn']);
    assert.ok(order.indexOf(`a-${cut}`) < order.indexOf(`b-${cut}`) && order.includes(`a-${cut}`));
  }
});

test('a client that leaves has its state let go of', async () => {
  writer.behave = (r) => r.headers['x-txn'] === 'id-5';  // never answers
  const req = http.request({ host: '127.0.0.1', port: gateway.port, path: '/v1/chat/completions', method: 'POST',
    headers: { 'x-txn': 'id-5', 'x-lane': 'chat', 'x-org': 'acme', 'x-remaining': '2500m' } });
  req.on('error', () => {});
  req.end('{}');
  await until('the write', () => writer.seen.some((s) => s.headers['x-txn'] === 'id-5'));
  req.destroy();
  await until('the let-go', () => [...reader.seen, ...writer.seen].some((s) => s.method === 'DELETE' &&
    s.url === '/bootstrap/rooms/id-5'));
  await until('the close', () => writer.seen.find((s) => s.headers['x-txn'] === 'id-5').closed);
});

test('bad clients get an error or a close in time, and nothing of it reaches a server', async () => {
  // Releases of requests of the tests before this one, which are made twice, may still come.
  const seen = () => reader.seen.filter((r) => r.method !== 'DELETE' || r.url.endsWith('/bad')).length;
  const before = seen();
  const head = 'POST /v1/chat/completions HTTP/1.1\r\nx-txn: bad\r\nx-lane: chat\r\nx-org: acme\r\nx-remaining: 900m\r\n';
  const cases = [['noise\r\n\r\n', 400], [`${head}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n`, 400],
    [`${head}content-length: -5\r\n\r\n`, 400], [`${head}content-length: 2\r\ncontent-length: 3\r\n\r\n`, 400],
    [`${head}content-length: 60000000\r\n\r\n`, 413], [`${head}transfer-encoding: chunked\r\n\r\n${'20000\r\n'}${'x'.repeat(0x20000)}\r\n`.repeat(1) +
      `${'30000\r\n'}${'x'.repeat(0x30000)}\r\n`, 413], [`${head}x: ${'x'.repeat(30000)}`, 431],
    [`${head.replace('x-lane: chat', 'x-lane: none')}content-length: 0\r\n\r\n`, 400],
    [`${head.replace('900m', 'soon')}content-length: 0\r\n\r\n`, 400], [`${head.replace('x-txn: bad\r\n', '')}content-length: 0\r\n\r\n`, 400],
    ['GET /nothing HTTP/1.1\r\n\r\n', 404]];
  for (const [bytes, status] of cases) {
    const text = await gateway.raw(bytes);
    assert.match(text, new RegExp(`^HTTP/1.1 ${status} `), `${bytes.slice(0, 160)}: ${text}`);
  }
  const began = Date.now();
  const [silent, half] = await Promise.all([gateway.raw(''), gateway.raw(`${head}content-length: 10\r\n\r\nhalf`)]);
  assert.equal(silent, '');
  assert.match(half, /^HTTP\/1.1 408 /);
  assert.ok(Date.now() - began < 3000);
  assert.equal(seen(), before);
});

test('a drain is kept, no server at all is a refusal at once, and the next list is taken', async () => {
  writer.behave = () => false;
  discovery.change([reader.host(), writer.host('draining')]);
  await until('the next watch', () => discovery.waiting.length === 1);
  const before = writer.seen.length, began = Date.now();
  assert.equal((await gateway.ask('id-6')).status, 503);
  assert.ok(Date.now() - began < 1000);
  assert.equal(writer.seen.filter((s) => s.method === 'POST').length, [...writer.seen].slice(0, before).filter((s) => s.method === 'POST').length);
  discovery.change([reader.host(), writer.host()]);
  await until('the next watch', () => discovery.waiting.length === 1);
  assert.ok((await gateway.ask('id-7')).whole);
});

test('a known list that is out of date is not sent by; without discovery it has to do', async () => {
  const reader = await new Engine().start('r1', 'read'), writer = await new Engine().start('w1', 'write');
  const discovery = await new Discovery().start([reader.host('draining'), writer.host()], 5);
  const gateway = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  assert.equal((await gateway.ask('t-stale')).status, 503);
  assert.equal(reader.seen.filter((r) => r.method === 'POST').length, 0, 'discovery has it draining from the first moment');
  await gateway.end();
  discovery.stop();
  const silent = net.createServer(() => {});
  const alone = await new Gateway().start(await listen(silent), [reader.host(), writer.host()]);
  assert.equal((await alone.ask('t-known')).status, 200);
  await alone.end();
  silent.close(); reader.stop(); writer.stop();
});

test('SIGHUP moves discovery; a file that cannot be read changes nothing', async () => {
  gateway.write(0, '{"half');
  gateway.child.kill('SIGHUP');
  await until('the refusal', () => /reload_refused/.test(gateway.err));
  const other = await new Discovery().start([reader.host(), writer.host()], 50);
  await gateway.moveTo(other);
  discovery.stop();
  discovery = other;
  assert.ok((await gateway.ask('id-8')).whole);
});

test('a gateway that is told to stop serves on for a while, hands streams back and exits with 0', async () => {
  const own = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  writer.behave = (r, res) => {
    if (r.headers['x-txn'] !== 'id-9') return false;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    const beat = setInterval(() => res.write('data: 1\n\n'), 50);
    res.on('close', () => clearInterval(beat));
    return true;
  };
  const long = own.ask('id-9');
  await until('the stream', () => writer.seen.some((s) => s.headers['x-txn'] === 'id-9'));
  const began = Date.now(), ending = own.end();
  await sleep(200);
  assert.ok((await own.ask('id-10')).whole);
  assert.ok(!(await long).whole);
  assert.deepEqual(await ending, { code: 0, signal: null });
  assert.ok(Date.now() - began < 3700);
});

// A stop in every moment that a platform may choose for it.
const posted = (id, extra = '') => `POST /v1/chat/completions HTTP/1.1\r\nx-txn: ${id}\r\nx-lane: chat\r\nx-org: acme\r\n` +
  `x-remaining: 2500m\r\n${extra}content-length: 2\r\n\r\n{}`;

test('SIGTERM before the listener is open, twice, and with SIGHUP ends the gateway cleanly', async () => {
  let asked = 0;
  const silent = net.createServer(() => { ++asked; });
  const port = await listen(silent);
  for (const signals of [['SIGTERM'], ['SIGTERM', 'SIGTERM'], ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM']]) {
    const own = new Gateway();
    const ready = own.start(port).catch(() => 'never ready');  // without discovery it listens after 0.3 s
    const before = asked;
    await until('the call to discovery', () => asked > before);
    for (const s of signals) { own.child.kill(s); await sleep(10); }
    assert.deepEqual(await own.ended, { code: 0, signal: null }, signals.join());
    assert.doesNotMatch(own.err, /"ready"|Sanitizer|runtime error/);
    own.err = '"ready"';
    await ready;
  }
  silent.close();
});

test('a stop answers what waits, passes on what a server has finished, and ends what rests', async () => {
  const own = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  const behave = writer.behave;
  writer.behave = (r, res) => {
    if (r.headers['x-txn'] === 'stop-waits') return true;  // never answered
    if (r.headers['x-txn'] !== 'stop-ends') return false;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write('data: 1\n\n');
    setTimeout(() => res.end('data: [DONE]\n\n'), 900);
    return true;
  };
  const waits = own.ask('stop-waits'), ends = own.ask('stop-ends');
  await until('both', () => ['stop-waits', 'stop-ends'].every((id) => writer.seen.some((s) => s.headers['x-txn'] === id)));
  let rested = '';
  const rests = net.connect(own.port, '127.0.0.1', () => rests.write(posted('stop-rests')));
  const over = new Promise((done) => { rests.on('data', (d) => { rested += d; }); rests.on('end', done); rests.on('error', done); });
  await until('the answer', () => /\[DONE\]/.test(rested));
  const began = Date.now(), ending = own.end();
  assert.ok((await ends).whole, 'the end of a stream that its server has finished');
  assert.equal((await waits).status, 503);
  assert.ok(Date.now() - began < 3700, 'before the kill');
  assert.equal(await over, undefined, 'a FIN, no reset');
  rests.destroy();
  assert.deepEqual(await ending, { code: 0, signal: null });
  writer.behave = behave;
});

test('pipelined requests behind an open one are served though the gateway is told to stop', async () => {
  const own = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  let got = '';
  const s = net.connect(own.port, '127.0.0.1', () => s.write(posted('pipe-1') + posted('pipe-2') + posted('pipe-3')));
  const over = new Promise((done) => { s.on('data', (d) => { got += d; }); s.on('end', done); });
  await until('the first', () => reader.seen.some((r) => r.headers['x-txn'] === 'pipe-1'));
  const ending = own.end();
  await over;
  s.destroy();
  assert.equal(got.match(/\[DONE\]/g)?.length, 3, got);
  assert.deepEqual(await ending, { code: 0, signal: null });
});

test('SIGHUP to a discovery with lower versions: its drain is kept', async () => {
  const first = await new Discovery().start([reader.host(), writer.host()], 40);
  const own = await new Gateway().start(first.port);
  await until('the list', () => first.waiting.length === 1);
  const second = await new Discovery().start([reader.host(), writer.host('draining')], 3);
  await own.moveTo(second, 1000);
  assert.equal(second.calls, 2, 'taken at the first answer');
  const before = writer.seen.filter((r) => r.method === 'POST').length;
  assert.equal((await own.ask('hup-1')).status, 503);
  assert.equal(writer.seen.filter((r) => r.method === 'POST').length, before);
  await own.end();
  first.stop(); second.stop();
});

test('idle clients that fill the descriptors hold up neither discovery nor a request that is open', async () => {
  const own = new Gateway(), port = await freePort();
  await own.start(port, [reader.host(), writer.host()]);  // nobody is there yet
  writer.behave = (r, res) => {
    if (r.headers['x-txn'] !== 'crowd-1') return false;
    setTimeout(() => { res.writeHead(200, { 'content-type': 'text/event-stream' }); res.end('data: 1\n\n'); }, 1200);
    return true;
  };
  const open = own.ask('crowd-1');
  await until('the write', () => writer.seen.some((r) => r.headers['x-txn'] === 'crowd-1'));
  const crowd = [];
  for (let i = 0; i < 400; ++i) {
    const s = net.connect(own.port, '127.0.0.1');
    s.on('error', () => {}); s.resume();
    crowd.push(s);
  }
  await sleep(300);
  const late = await new Discovery();
  late.hosts = [reader.host(), writer.host()]; late.seq = 9;
  late.server = http.createServer((req, res) => { ++late.calls; late.waiting.push(res); if (late.calls === 1) { late.waiting = []; late.tell(res); } });
  await new Promise((done) => late.server.listen(port, '127.0.0.1', done));
  late.server.on('connection', (s) => late.open.add(s));
  await until('discovery', () => late.calls >= 2, 2000);
  assert.equal((await open).status, 200, 'the open request is not evicted');
  const next = await own.ask('crowd-2');
  assert.ok(next.status === 200 || next.status === 503 || next.status === 0);
  for (const s of crowd) s.destroy();
  await sleep(100);
  assert.equal((await own.ask('crowd-3')).status, 200);
  writer.behave = () => false;
  await own.end();
  late.stop();
});

test('events are passed on one by one as they come, also while the process has much to do', async () => {
  const at = [], sent = [];
  writer.behave = (r, res) => {
    if (r.headers['x-txn'] !== 'pace-1') return false;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    const beat = setInterval(() => {
      sent.push(Date.now());
      if (sent.length === 12) { clearInterval(beat); return res.end('data: 12\n\n'); }
      res.write(`data: ${sent.length}\n\n`);
    }, 40);
    return true;
  };
  const load = Array.from({ length: 150 }, (_, i) => sleep(4 * i).then(() => gateway.ask(`load-${i}`)));
  await new Promise((done) => {
    const socket = net.connect(gateway.port, '127.0.0.1', () => socket.write(posted('pace-1', 'connection: close\r\n')));
    socket.on('data', (chunk) => {
      const events = String(chunk).match(/data: \d+/g) ?? [];
      events.forEach(() => at.push(Date.now()));
    });
    socket.on('close', done);
  });
  await Promise.all(load);
  writer.behave = () => false;
  assert.equal(at.length, 12);
  const slowest = Math.max(...at.map((t, i) => t - sent[i]));
  assert.ok(slowest < 300, `an event took ${slowest} ms`);
});

test('a wrong configuration is refused before anything listens', async () => {
  const run = (env) => new Promise((done) => {
    const c = spawn(program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env });
    let err = '';
    c.stderr.on('data', (d) => { err += d; });
    c.on('close', (code) => done({ code, err }));
  });
  const env = { ...process.env };
  delete env.GW_CONFIG;
  assert.deepEqual(await run(env), { code: 3, err: 'GW_CONFIG: not set\n' });
  const dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-node-'));
  const file = path.join(dir, 'config.json');
  writeFileSync(file, '{"listen":"127.0.0.1:0","discovery":"nowhere"}');
  const r = await run({ ...env, GW_CONFIG: file });
  assert.equal(r.code, 3);
  assert.match(r.err, /discovery: 'nowhere'/);
  rmSync(dir, { recursive: true });
});

test('an address to listen on that this host does not have ends the gateway with exit code 4', async () => {
  const dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-node-'));
  const own = new Gateway();
  own.dir = dir;
  own.file = path.join(dir, 'config.json');
  own.port = 5000;
  own.known = [];
  own.write(discovery.port);
  const text = readFileSync(own.file, 'utf8').replace('127.0.0.1:5000', '192.0.2.1:5000');
  writeFileSync(own.file, text);
  const child = spawn(program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, GW_CONFIG: own.file } });
  let err = '';
  child.stderr.on('data', (d) => { err += d; });
  const ended = new Promise((done) => child.on('close', (code) => done(code)));
  const timer = setTimeout(() => child.kill('SIGKILL'), 3000);
  assert.equal(await ended, 4, err);
  clearTimeout(timer);
  assert.match(err, /GW_LISTEN: /);
  rmSync(dir, { recursive: true });
});
