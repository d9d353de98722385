// `gorsenotch node` while system calls fail temporarily, and while its configuration file is incomplete at a reload. The system
// calls are made to fail by the preloaded fault injection library of the soak test (tests/soak/faults.c; FAULTS_LIBRARY is its path).
import assert from 'node:assert/strict';
import { mkdtempSync, unlinkSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { Faults } from '../soak/faults.mjs';
import { Discovery, Engine, Gateway, listen, sleep, waitUntil } from './platform.mjs';

const library = process.env.FAULTS_LIBRARY;
let prefillEngine, decodeEngine, discovery;
before(async () => {
  assert.ok(library, 'FAULTS_LIBRARY is not set');
  prefillEngine = await new Engine().start('r1', 'read');
  decodeEngine = await new Engine().start('w1', 'write');
  discovery = await new Discovery().start([prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
});
after(() => { for (const service of [prefillEngine, decodeEngine, discovery]) service.stop(); });

const createFaults = () => new Faults(path.join(mkdtempSync(path.join(tmpdir(), 'gorsenotch-faults-')), 'faults'), 1);
const faultsEnvironment = (faults) => ({ LD_PRELOAD: library, FAULTS_FILE: faults.file,
  ASAN_OPTIONS: 'verify_asan_link_order=0:detect_leaks=0' });
async function startWithFaults(faults, options = {}) {
  return new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()],
    { env: faultsEnvironment(faults), ...options });
}
// Connects and sends a request without waiting for the gateway to accept the connection; resolves with what was received
// until the connection closed, followed by the error code if it failed.
function sendBeforeAccept(gateway, txn) {
  return new Promise((resolve) => {
    let text = '';
    const socket = net.connect(gateway.port, '127.0.0.1', () => socket.write(`POST /v1/chat/completions HTTP/1.1\r\nx-txn: ${txn}\r\n` +
      'x-lane: chat\r\nx-org: acme\r\nx-remaining: 2500m\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}'));
    socket.on('data', (chunk) => { text += chunk; });
    socket.on('error', (error) => { text += error.code; });
    socket.on('close', () => resolve(text));
  });
}

const SERVED = /^HTTP\/1.1 200 [^]*\[DONE\]/;
// On a slow host the Router may refuse a request of a burst: its connection was accepted and has a whole answer, and the log tells the cause.
async function assertRefusedForLoad(gateway, txn, text) {
  assert.match(text, /^HTTP\/1.1 503 [^]*\r\n\r\nrefused\n$/, `${txn}: ${text}`);
  await waitUntil(`the refusal of ${txn} for load`, () => new RegExp(`"text":"${txn} rejected(_unsent)? cause (load_shed|decode_too_late) `).test(gateway.stderr), 2000);
}

test('a temporary failure of accept closes no pending connection', async () => {
  const faults = createFaults(), gateway = await startWithFaults(faults);
  for (const error of ['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EINTR']) {
    faults.set('accept', error, 1);
    const responses = Promise.all(Array.from({ length: 8 }, (_, i) => sendBeforeAccept(gateway, `accept-${error}-${i}`)));
    await waitUntil(`an accept that fails with ${error}`, () => faults.given('accept') > 0);
    await sleep(150);
    faults.clear('accept');
    const texts = await responses;
    for (const [index, text] of texts.entries()) if (!SERVED.test(text)) await assertRefusedForLoad(gateway, `accept-${error}-${index}`, text);
    assert.ok(texts.some((text) => SERVED.test(text)), `${error}: no request was served`);
  }
  // With ECONNABORTED that connection is lost; those queued behind it must still be accepted.
  faults.set('accept', 'ECONNABORTED', 0.5);
  const received = await Promise.all(Array.from({ length: 30 }, (_, i) => sendBeforeAccept(gateway, `aborted-${i}`)));
  faults.clear('accept');
  const servedCount = received.filter((text) => /\[DONE\]/.test(text)).length;
  assert.ok(servedCount > 0, 'no request was served');
  assert.ok(received.every((text) => /\[DONE\]/.test(text) || text === 'ECONNRESET'), received.join('|'));
  await gateway.stop();
});

test('opening the listener is retried after a temporary failure', async () => {
  for (const [call, error] of [['socket', 'ENOBUFS'], ['listen', 'ENOBUFS'], ['socket', 'EMFILE']]) {
    const faults = createFaults();
    faults.set(call, error, 1);
    const gateway = await startWithFaults(faults, { ready: false });
    await waitUntil('the first attempt to open the listener', () => faults.given(call) > 0);
    await sleep(600);
    faults.clear(call);
    await waitUntil(`the gateway to log \`ready\` after ${call} ${error}`, () => /"ready"/.test(gateway.stderr), 3000);
    assert.equal((await gateway.sendRequest(`listener-${call}-${error}`)).status, 200);
    await gateway.stop();
  }
});

test('a listen address in use by another process is retried until it is free, but not indefinitely', async () => {
  for (const becomesFree of [true, false]) {
    const addressOwner = net.createServer();
    const port = await listen(addressOwner);
    const gateway = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()],
      { ready: false, port });
    await sleep(800);
    assert.match(gateway.stderr, /listen_failed/);
    if (becomesFree) {
      addressOwner.close();
      await waitUntil('the gateway to log `ready`', () => /"ready"/.test(gateway.stderr), 1500);
      assert.equal((await gateway.sendRequest('held')).status, 200);
      await gateway.stop();
    } else {
      assert.deepEqual(await gateway.exited, { code: 4, signal: null }, gateway.stderr);
      assert.match(gateway.stderr, /GW_LISTEN: /);
      addressOwner.close();
    }
  }
});

test('SIGHUP while the configuration file is incomplete or missing takes effect once the file is complete', async () => {
  const gateway = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  for (const fileState of ['half', 'gone', 'unchanged for a while']) {
    const nextDiscovery = await new Discovery().start([prefillEngine.hostEntry('draining'), decodeEngine.hostEntry()], 50);
    if (fileState === 'gone') unlinkSync(gateway.configFile);
    else writeFileSync(gateway.configFile, '{"name":"n0","listen":"127.0');
    gateway.child.kill('SIGHUP');
    await sleep(fileState === 'half' ? 20 : 700);
    assert.equal(nextDiscovery.requestCount, 0);
    gateway.writeConfig(nextDiscovery.port);
    await waitUntil(`the watch at the new discovery service after the file was ${fileState}`,
      () => nextDiscovery.pendingWatches.length === 1, 2500);
    assert.equal((await gateway.sendRequest(`torn-${fileState.slice(0, 4)}`)).status, 503,
      'the list of the new discovery service, with a draining server, is applied');
    nextDiscovery.stop();
    const lastDiscovery = await new Discovery().start([prefillEngine.hostEntry(), decodeEngine.hostEntry()], 60);
    await gateway.switchDiscovery(lastDiscovery);
    discovery.stop();
    discovery = lastDiscovery;
  }
  await gateway.stop();
});

// SIGCONT after a stop interrupts epoll_wait (signal(7)), which then returns without having polled the sockets. The gap between two
// events exceeds the 4 s stream idle timeout, but the process was stopped for most of it, and the event is in the socket buffer.
test('a stream whose events arrived while the process was stopped is forwarded completely', async () => {
  const gateway = await new Gateway().start(discovery.port, [prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  let stream = null;
  decodeEngine.handler = (request, response) => {
    if (request.method !== 'POST') return false;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('data: {"a":"1"}\n\n');
    stream = response;
    return true;
  };
  const pendingResponse = gateway.sendRequest('stood-still');
  await waitUntil('the stream', () => stream !== null);
  await sleep(100);
  gateway.child.kill('SIGSTOP');
  await sleep(2000);
  stream.write('data: {"a":"2"}\n\n');
  await sleep(2300);
  gateway.child.kill('SIGCONT');
  await sleep(300);
  stream.end('data: [DONE]\n\n');
  const response = await pendingResponse;
  decodeEngine.handler = () => false;
  assert.ok(response.complete, JSON.stringify(response));
  assert.match(response.text, /"1"[^]*"2"[^]*DONE/);
  await gateway.stop();
});

test('a client that disconnects is detected although poll is interrupted', async () => {
  const faults = createFaults(), gateway = await startWithFaults(faults);
  faults.set('poll', 'EINTR', 0.9);
  for (let i = 0; i < 6; ++i) {
    const txn = `poll-${i}`;
    await gateway.sendRequest(`kept-${i}`);  // leaves an idle connection to the decode engine, so that a decode request is sent at once
    await sleep(40);
    const prefillRequested = new Promise((resolve) => {
      prefillEngine.handler = (request, response) => {
        if (request.headers['x-txn'] !== txn) return false;
        resolve(response);
        return true;
      };
    });
    const client = net.connect(gateway.port, '127.0.0.1', () => client.write(`POST /v1/chat/completions HTTP/1.1\r\nx-txn: ${txn}\r\n` +
      'x-lane: chat\r\nx-org: acme\r\nx-remaining: 2500m\r\ncontent-length: 2\r\n\r\n{}'));
    const prefillResponse = await prefillRequested;
    gateway.child.kill('SIGSTOP');  // the prefill response and then the client's close arrive while the process is stopped
    await sleep(20);
    prefillResponse.writeHead(202);
    prefillResponse.end('{"cached_tokens":0}');
    await sleep(20);
    client.destroy();
    await sleep(20);
    gateway.child.kill('SIGCONT');
    await waitUntil('the release', () => [...prefillEngine.requests, ...decodeEngine.requests].some((request) =>
      request.method === 'DELETE' && request.url.endsWith(txn)));
    assert.ok(!decodeEngine.requests.some((request) => request.headers['x-txn'] === txn),
      'a decode request was sent for a client that had disconnected');
  }
  prefillEngine.handler = () => false;
  await gateway.stop();
});

test('a wall clock that is an hour off neither skips the slow start of a new server nor prolongs it forever', async () => {
  const guarantees = { FallMultiple: 2.5, TipAfterMs: 2000, StartCapacity: 0.3, WarmWithinMs: 6000 };
  const newEngine = await new Engine().start('r2', 'read');
  for (const stepMs of [3600e3, -3600e3]) {
    const faults = createFaults();
    faults.stepWallClock(stepMs);
    const ownDiscovery = await new Discovery().start([prefillEngine.hostEntry(), newEngine.hostEntry(), decodeEngine.hostEntry()]);
    const gateway = await new Gateway().start(ownDiscovery.port, [], { env: faultsEnvironment(faults), guarantees });
    const countPrefills = (engine, from) =>
      engine.requests.filter((request) => request.method === 'POST' && request.receivedAt >= from).length;
    let count = 0;
    const sendLoad = async (durationMs) => {
      const responses = [], end = Date.now() + durationMs;
      while (Date.now() < end) {
        responses.push(gateway.sendRequest(`clock-${stepMs}-${++count}`, { headers: { 'x-entity': `clock-${count}` } }));
        await sleep(20);
      }
      return Promise.all(responses);
    };
    await sendLoad(2500);
    ownDiscovery.update([prefillEngine.hostEntry(), { ...newEngine.hostEntry(), born_ms: Date.now() }, decodeEngine.hostEntry()]);
    const started = Date.now();
    await sendLoad(1200);
    const newCount = countPrefills(newEngine, started), warmCount = countPrefills(prefillEngine, started);
    assert.ok(newCount < 0.6 * warmCount,
      `clock off by ${stepMs} ms: ${newCount} prefills at the new server, ${warmCount} at the warm one; expected less than 60%`);
    await sendLoad(2000);
    assert.ok(countPrefills(newEngine, started + 1200) > 0,
      `clock off by ${stepMs} ms: the new server got no prefills as its slow start went on`);
    await gateway.stop();
    ownDiscovery.stop();
  }
  newEngine.stop();
});
