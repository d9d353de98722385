// One gateway as the platform starts it (`gorsenotch node`, the GW_ variables), against a fake discovery service and fake model
// servers on loopback: serving, refusals, broken streams, drains, malformed client requests, SIGHUP, SIGTERM.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { Discovery, Engine, Gateway, findFreePort, listen, program, rawRequest, sleep, startDeployment, stopDeployment, waitUntil } from './platform.mjs';

let prefillEngine, decodeEngine, discovery, gateway;
before(async () => { ({ prefillEngine, decodeEngine, discovery, gateway } = await startDeployment()); });
after(() => stopDeployment({ prefillEngine, decodeEngine, discovery, gateway }));

test('a request is forwarded unchanged to the prefill and the decode engine, and the events are returned to the client', async () => {
  const response = await gateway.sendRequest('id-1');
  assert.equal(response.status, 200);
  assert.equal(response.text, 'data: {"a":"\u00e9"}\n\ndata: [DONE]\n\n');
  assert.ok(response.complete);
  for (const engine of [prefillEngine, decodeEngine]) {
    const forwarded = engine.requests.find((request) => request.headers['x-txn'] === 'id-1');
    assert.equal(forwarded.method, 'POST');
    assert.equal(forwarded.url, '/v1/chat/completions?x=1');
    assert.equal(forwarded.body, '{"model":"chat","stream":true}');
    assert.match(forwarded.headers['x-remaining'], /^[1-9][0-9]*m$/);
  }
});

test('a broken stream ends without the last chunk; the connection of a complete stream is reused', async () => {
  decodeEngine.handler = (request, response) => {
    if (request.headers['x-txn'] !== 'id-2') return false;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('data: 1\n\n');
    setTimeout(() => response.destroy(), 30);
    return true;
  };
  const response = await gateway.sendRequest('id-2');
  assert.equal(response.status, 200);
  assert.equal(response.text, 'data: 1\n\n');
  assert.ok(!response.complete);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (const id of ['id-3', 'id-4']) assert.ok((await gateway.sendRequest(id, { agent })).complete);
  agent.destroy();
});

test('pipelined requests on one connection are served in order, however the bytes are split', async () => {
  decodeEngine.handler = () => false;
  for (const pieceBytes of [10, 200, 100000]) {
    const bytes = rawRequest(`a-${pieceBytes}`) + rawRequest(`b-${pieceBytes}`) + 'GET /nothing HTTP/1.1\r\n\r\n';
    const text = await new Promise((resolve) => {
      let received = '';
      const socket = net.connect(gateway.port, '127.0.0.1', async () => {
        socket.setNoDelay(true);
        for (let i = 0; i < bytes.length; i += pieceBytes) { socket.write(bytes.slice(i, i + pieceBytes)); await sleep(1); }
      });
      socket.on('data', (chunk) => { received += chunk; });
      socket.on('close', () => resolve(received));
    });
    assert.equal(text.match(/\[DONE\]/g)?.length, 2, text);
    assert.match(text, /HTTP\/1.1 200 .*HTTP\/1.1 200 .*HTTP\/1.1 404 /s);
    const order = decodeEngine.requests.map((request) => request.headers['x-txn']);
    assert.ok(order.indexOf(`a-${pieceBytes}`) < order.indexOf(`b-${pieceBytes}`) && order.includes(`a-${pieceBytes}`));
  }
});

test('when a client disconnects, its KV state is released and the decode request is closed', async () => {
  decodeEngine.handler = (request) => request.headers['x-txn'] === 'id-5';  // never answers
  const clientRequest = http.request({ host: '127.0.0.1', port: gateway.port, path: '/v1/chat/completions', method: 'POST',
    headers: { 'x-txn': 'id-5', 'x-lane': 'chat', 'x-org': 'acme', 'x-remaining': '2500m' } });
  clientRequest.on('error', () => {});
  clientRequest.end('{}');
  await waitUntil('the decode request', () => decodeEngine.requests.some((request) => request.headers['x-txn'] === 'id-5'));
  clientRequest.destroy();
  await waitUntil('the release', () => [...prefillEngine.requests, ...decodeEngine.requests].some((request) =>
    request.method === 'DELETE' && request.url === '/bootstrap/rooms/id-5'));
  await waitUntil('the close of the decode request', () =>
    decodeEngine.requests.find((request) => request.headers['x-txn'] === 'id-5').closed);
});

test('malformed and incomplete requests get an error or a close before the timeout, and are not forwarded', async () => {
  // Releases of the requests of earlier tests, each of which is sent twice, may still arrive; they are not counted.
  const countForwarded = () => prefillEngine.requests.filter((request) =>
    request.method !== 'DELETE' || request.url.endsWith('/bad')).length;
  const before = countForwarded();
  const head = 'POST /v1/chat/completions HTTP/1.1\r\nx-txn: bad\r\nx-lane: chat\r\nx-org: acme\r\nx-remaining: 900m\r\n';
  const cases = [['noise\r\n\r\n', 400], [`${head}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n`, 400],
    [`${head}content-length: -5\r\n\r\n`, 400], [`${head}content-length: 2\r\ncontent-length: 3\r\n\r\n`, 400],
    [`${head}content-length: 60000000\r\n\r\n`, 413], [`${head}transfer-encoding: chunked\r\n\r\n${'20000\r\n'}${'x'.repeat(0x20000)}\r\n`.repeat(1) +
      `${'30000\r\n'}${'x'.repeat(0x30000)}\r\n`, 413], [`${head}x: ${'x'.repeat(30000)}`, 431],
    [`${head.replace('x-lane: chat', 'x-lane: none')}content-length: 0\r\n\r\n`, 400],
    [`${head.replace('900m', 'soon')}content-length: 0\r\n\r\n`, 400], [`${head.replace('x-txn: bad\r\n', '')}content-length: 0\r\n\r\n`, 400],
    ['GET /nothing HTTP/1.1\r\n\r\n', 404]];
  for (const [bytes, status] of cases) {
    const text = await gateway.sendRaw(bytes);
    assert.match(text, new RegExp(`^HTTP/1.1 ${status} `), `${bytes.slice(0, 160)}: ${text}`);
  }
  const began = Date.now();
  const [idleResponse, partialResponse] = await Promise.all([gateway.sendRaw(''),
    gateway.sendRaw(`${head}content-length: 10\r\n\r\nhalf`)]);
  assert.equal(idleResponse, '');
  assert.match(partialResponse, /^HTTP\/1.1 408 /);
  assert.ok(Date.now() - began < 3000);
  assert.equal(countForwarded(), before);
});

test('a draining server gets no requests, a request without a server is refused at once, and the next list is applied', async () => {
  decodeEngine.handler = () => false;
  discovery.update([prefillEngine.hostEntry(), decodeEngine.hostEntry('draining')]);
  await waitUntil('the next watch', () => discovery.pendingWatches.length === 1);
  const before = decodeEngine.requests.length, began = Date.now();
  assert.equal((await gateway.sendRequest('id-6')).status, 503);
  assert.ok(Date.now() - began < 1000);
  assert.equal(decodeEngine.requests.filter((request) => request.method === 'POST').length,
    [...decodeEngine.requests].slice(0, before).filter((request) => request.method === 'POST').length);
  discovery.update([prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  await waitUntil('the next watch', () => discovery.pendingWatches.length === 1);
  assert.ok((await gateway.sendRequest('id-7')).complete);
});

test('a cached list that discovery supersedes is not used; without discovery the cached list serves requests', async () => {
  const prefillEngine = await new Engine().start('r1', 'read'), decodeEngine = await new Engine().start('w1', 'write');
  const discovery = await new Discovery().start([prefillEngine.hostEntry('draining'), decodeEngine.hostEntry()], 5);
  const gateway = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  assert.equal((await gateway.sendRequest('t-stale')).status, 503);
  assert.equal(prefillEngine.requests.filter((request) => request.method === 'POST').length, 0,
    'discovery listed the prefill engine as draining from the start');
  await gateway.stop();
  discovery.stop();
  const unresponsive = net.createServer(() => {});
  const isolated = await new Gateway().start(await listen(unresponsive), [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  assert.equal((await isolated.sendRequest('t-known')).status, 200);
  await isolated.stop();
  unresponsive.close(); prefillEngine.stop(); decodeEngine.stop();
});

test('SIGHUP switches to another discovery service; an unreadable configuration changes nothing', async () => {
  gateway.writeConfig(0, '{"half');
  gateway.child.kill('SIGHUP');
  await waitUntil('the reload to be refused', () => /reload_refused/.test(gateway.stderr));
  const other = await new Discovery().start([prefillEngine.hostEntry(), decodeEngine.hostEntry()], 50);
  await gateway.switchDiscovery(other);
  discovery.stop();
  discovery = other;
  assert.ok((await gateway.sendRequest('id-8')).complete);
});

test('after SIGTERM a gateway still serves requests for a while, ends open streams before their last chunk and exits with 0', async () => {
  const own = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  decodeEngine.handler = (request, response) => {
    if (request.headers['x-txn'] !== 'id-9') return false;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const interval = setInterval(() => response.write('data: 1\n\n'), 50);
    response.on('close', () => clearInterval(interval));
    return true;
  };
  const openStream = own.sendRequest('id-9');
  await waitUntil('the stream', () => decodeEngine.requests.some((request) => request.headers['x-txn'] === 'id-9'));
  const began = Date.now(), stopping = own.stop();
  await sleep(200);
  assert.ok((await own.sendRequest('id-10')).complete);
  assert.ok(!(await openStream).complete);
  assert.deepEqual(await stopping, { code: 0, signal: null });
  assert.ok(Date.now() - began < 3700);
});

test('SIGTERM before the listener is open, once, twice and mixed with SIGHUP, ends the gateway with 0', async () => {
  let connectionCount = 0;
  const unresponsive = net.createServer(() => { ++connectionCount; });
  const port = await listen(unresponsive);
  for (const signals of [['SIGTERM'], ['SIGTERM', 'SIGTERM'], ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM']]) {
    const own = new Gateway();
    const ready = own.start(port).catch(() => 'never ready');  // without discovery the gateway listens after 0.3 s
    const before = connectionCount;
    await waitUntil('the connection to discovery', () => connectionCount > before);
    for (const signal of signals) { own.child.kill(signal); await sleep(10); }
    assert.deepEqual(await own.exited, { code: 0, signal: null }, signals.join());
    assert.doesNotMatch(own.stderr, /"ready"|Sanitizer|runtime error/);
    own.stderr = '"ready"';
    await ready;
  }
  unresponsive.close();
});

test('a stop refuses unanswered requests, delivers streams that their server completes, and closes idle connections', async () => {
  const own = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  const previousHandler = decodeEngine.handler;
  decodeEngine.handler = (request, response) => {
    if (request.headers['x-txn'] === 'stop-waits') return true;  // never answered
    if (request.headers['x-txn'] !== 'stop-ends') return false;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('data: 1\n\n');
    setTimeout(() => response.end('data: [DONE]\n\n'), 900);
    return true;
  };
  const unanswered = own.sendRequest('stop-waits'), completing = own.sendRequest('stop-ends');
  await waitUntil('both decode requests', () =>
    ['stop-waits', 'stop-ends'].every((id) => decodeEngine.requests.some((request) => request.headers['x-txn'] === id)));
  let idleReceived = '';
  const idleSocket = net.connect(own.port, '127.0.0.1', () => idleSocket.write(rawRequest('stop-rests')));
  const connectionEnded = new Promise((resolve) => {
    idleSocket.on('data', (chunk) => { idleReceived += chunk; });
    idleSocket.on('end', resolve);
    idleSocket.on('error', resolve);
  });
  await waitUntil('the answer', () => /\[DONE\]/.test(idleReceived));
  const began = Date.now(), stopping = own.stop();
  assert.ok((await completing).complete, 'a stream that its server completes is delivered completely');
  assert.equal((await unanswered).status, 503);
  assert.ok(Date.now() - began < 3700, 'ended before the platform would send SIGKILL');
  assert.equal(await connectionEnded, undefined, 'the connection ends with a FIN, not a reset');
  idleSocket.destroy();
  assert.deepEqual(await stopping, { code: 0, signal: null });
  decodeEngine.handler = previousHandler;
});

test('requests pipelined behind an open one are still served after SIGTERM', async () => {
  const own = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  let received = '';
  const socket = net.connect(own.port, '127.0.0.1', () => socket.write(rawRequest('pipe-1') + rawRequest('pipe-2') + rawRequest('pipe-3')));
  const connectionEnded = new Promise((resolve) => { socket.on('data', (chunk) => { received += chunk; }); socket.on('end', resolve); });
  await waitUntil('the first prefill request', () => prefillEngine.requests.some((request) => request.headers['x-txn'] === 'pipe-1'));
  const stopping = own.stop();
  await connectionEnded;
  socket.destroy();
  assert.equal(received.match(/\[DONE\]/g)?.length, 3, received);
  assert.deepEqual(await stopping, { code: 0, signal: null });
});

test('SIGHUP to a discovery service with lower versions: its list, with a draining server, is applied', async () => {
  const first = await new Discovery().start([prefillEngine.hostEntry(), decodeEngine.hostEntry()], 40);
  const own = await new Gateway().start(first.port);
  await waitUntil('the gateway to have the list and watch for changes', () => first.pendingWatches.length === 1);
  const second = await new Discovery().start([prefillEngine.hostEntry(), decodeEngine.hostEntry('draining')], 3);
  await own.switchDiscovery(second, 1000);
  assert.equal(second.requestCount, 2, 'the list is applied at the first answer');
  const before = decodeEngine.requests.filter((request) => request.method === 'POST').length;
  assert.equal((await own.sendRequest('hup-1')).status, 503);
  assert.equal(decodeEngine.requests.filter((request) => request.method === 'POST').length, before);
  await own.stop();
  first.stop(); second.stop();
});

test('idle connections that use up the file descriptors delay neither discovery nor an open request', async () => {
  const own = new Gateway(), port = await findFreePort();
  await own.start(port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);  // no discovery service listens yet
  decodeEngine.handler = (request, response) => {
    if (request.headers['x-txn'] !== 'crowd-1') return false;
    setTimeout(() => { response.writeHead(200, { 'content-type': 'text/event-stream' }); response.end('data: 1\n\ndata: [DONE]\n\n'); }, 1200);
    return true;
  };
  const openRequest = own.sendRequest('crowd-1');
  await waitUntil('the decode request', () => decodeEngine.requests.some((request) => request.headers['x-txn'] === 'crowd-1'));
  const idleSockets = [];
  for (let i = 0; i < 400; ++i) {
    const socket = net.connect(own.port, '127.0.0.1');
    socket.on('error', () => {}); socket.resume();
    idleSockets.push(socket);
  }
  await sleep(300);
  const lateDiscovery = await new Discovery();
  lateDiscovery.hosts = [prefillEngine.hostEntry(), decodeEngine.hostEntry()]; lateDiscovery.seq = 9;
  lateDiscovery.server = http.createServer((request, response) => {
    ++lateDiscovery.requestCount;
    lateDiscovery.pendingWatches.push(response);
    if (lateDiscovery.requestCount === 1) { lateDiscovery.pendingWatches = []; lateDiscovery.sendList(response); }
  });
  await new Promise((resolve) => lateDiscovery.server.listen(port, '127.0.0.1', resolve));
  lateDiscovery.server.on('connection', (socket) => lateDiscovery.sockets.add(socket));
  await waitUntil('two requests to discovery', () => lateDiscovery.requestCount >= 2, 2000);
  assert.equal((await openRequest).status, 200, 'the open request is not evicted');
  const response = await own.sendRequest('crowd-2');
  assert.ok(response.status === 200 || response.status === 503 || response.status === 0);
  for (const socket of idleSockets) socket.destroy();
  await sleep(100);
  assert.equal((await own.sendRequest('crowd-3')).status, 200);
  decodeEngine.handler = () => false;
  await own.stop();
  lateDiscovery.stop();
});

test('events are forwarded one by one as they arrive, also under load', async () => {
  const receivedAt = [], sentAt = [];
  decodeEngine.handler = (request, response) => {
    if (request.headers['x-txn'] !== 'pace-1') return false;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const interval = setInterval(() => {
      sentAt.push(Date.now());
      if (sentAt.length === 12) { clearInterval(interval); return response.end('data: 12\n\ndata: [DONE]\n\n'); }
      response.write(`data: ${sentAt.length}\n\n`);
    }, 40);
    return true;
  };
  const load = Array.from({ length: 150 }, (_, i) => sleep(4 * i).then(() => gateway.sendRequest(`load-${i}`)));
  await new Promise((resolve) => {
    const socket = net.connect(gateway.port, '127.0.0.1', () => socket.write(rawRequest('pace-1', { headers: 'connection: close\r\n' })));
    socket.on('data', (chunk) => {
      const events = String(chunk).match(/data: \d+/g) ?? [];
      events.forEach(() => receivedAt.push(Date.now()));
    });
    socket.on('close', resolve);
  });
  await Promise.all(load);
  decodeEngine.handler = () => false;
  assert.equal(receivedAt.length, 12);
  const slowestMs = Math.max(...receivedAt.map((time, i) => time - sentAt[i]));
  assert.ok(slowestMs < 300, `an event took ${slowestMs} ms, expected less than 300 ms`);
});

test('an invalid configuration is refused before the gateway listens', async () => {
  const run = (env) => new Promise((resolve) => {
    const child = spawn(program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env });
    let stderr = '';
    child.stderr.on('data', (chunk) => { stderr += chunk; });
    child.on('close', (code) => resolve({ code, stderr }));
  });
  const env = { ...process.env };
  delete env.GW_CONFIG;
  assert.deepEqual(await run(env), { code: 3, stderr: 'GW_CONFIG: not set\n' });
  const dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-node-'));
  const file = path.join(dir, 'config.json');
  writeFileSync(file, '{"listen":"127.0.0.1:0","discovery":"nowhere"}');
  const result = await run({ ...env, GW_CONFIG: file });
  assert.equal(result.code, 3);
  assert.match(result.stderr, /discovery: 'nowhere'/);
  rmSync(dir, { recursive: true });
});

test('a listen address that the host does not have ends the gateway with exit code 4', async () => {
  const dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-node-'));
  const own = new Gateway();
  own.dir = dir;
  own.configFile = path.join(dir, 'config.json');
  own.port = 5000;
  own.knownHosts = [];
  own.writeConfig(discovery.port);
  const text = readFileSync(own.configFile, 'utf8').replace('127.0.0.1:5000', '192.0.2.1:5000');
  writeFileSync(own.configFile, text);
  const child = spawn(program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, GW_CONFIG: own.configFile } });
  let stderr = '';
  child.stderr.on('data', (chunk) => { stderr += chunk; });
  const exited = new Promise((resolve) => child.on('close', (code) => resolve(code)));
  const timer = setTimeout(() => child.kill('SIGKILL'), 3000);
  assert.equal(await exited, 4, stderr);
  clearTimeout(timer);
  assert.match(stderr, /GW_LISTEN: /);
  rmSync(dir, { recursive: true });
});

// Guards against an id that runs twice as it comes again after its client has left.
test('a request that may not be repeated is not run again under the id of one that may have run', async () => {
  const decodes = (id) => decodeEngine.requests.filter((request) => request.method === 'POST' && request.headers['x-txn'] === id).length;
  const statusOf = async (id, lane) => (await gateway.sendRequest(id, { headers: { 'x-lane': lane } })).status;
  const leaveAfterDecode = async (id, lane) => {
    const socket = net.connect(gateway.port, '127.0.0.1', () => socket.write(rawRequest(id, { lane })));
    await waitUntil('the decode request', () => decodes(id) === 1);
    socket.destroy();
  };
  decodeEngine.handler = (request) => request.method === 'POST' && request.headers['x-txn'].startsWith('left-') && decodes(request.headers['x-txn']) === 1;  // no answer
  await leaveAfterDecode('left-once', 'pay');
  await leaveAfterDecode('left-repeatable', 'chat');
  await waitUntil('the end of both', () => decodeEngine.requests.filter((request) => request.headers['x-txn']?.startsWith('left-')).every((request) => request.closed));
  await sleep(100);
  assert.equal(await statusOf('left-once', 'pay'), 502);
  assert.equal(await statusOf('left-repeatable', 'chat'), 200);
  assert.equal(await statusOf('served-once', 'pay'), 200);
  assert.equal(await statusOf('served-once', 'pay'), 502);
  decodeEngine.handler = () => false;
  assert.equal(decodes('left-once'), 1);
  assert.equal(decodes('served-once'), 1);
  prefillEngine.handler = (request, response) => {  // never ran: the prefill is rejected
    if (request.method !== 'POST') return false;
    response.writeHead(503, { 'x-turned-away': '1' });
    response.end();
    return true;
  };
  assert.notEqual(await statusOf('rejected-once', 'pay'), 200);
  prefillEngine.handler = () => false;
  assert.equal(await statusOf('rejected-once', 'pay'), 200);
});
