// `gorsenotch node` where system calls fail for a moment, and where its configuration is half written as it is told to read
// it again: the preloaded library of the soak fails them (tests/soak/faults.c; FAULTS_LIBRARY names it).
import assert from 'node:assert/strict';
import { mkdtempSync, unlinkSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';
import { Faults } from '../soak/faults.mjs';
import { Discovery, Engine, Gateway, listen, sleep, until } from './platform.mjs';

const library = process.env.FAULTS_LIBRARY;
let reader, writer, discovery;
before(async () => {
  assert.ok(library, 'FAULTS_LIBRARY is not set');
  reader = await new Engine().start('r1', 'read');
  writer = await new Engine().start('w1', 'write');
  discovery = await new Discovery().start([reader.host(), writer.host()]);
});
after(() => { for (const s of [reader, writer, discovery]) s.stop(); });

const newFaults = () => new Faults(path.join(mkdtempSync(path.join(tmpdir(), 'gorsenotch-faults-')), 'faults'), 1);
const underFaults = (faults) => ({ LD_PRELOAD: library, FAULTS_FILE: faults.file,
  ASAN_OPTIONS: 'verify_asan_link_order=0:detect_leaks=0' });
async function startUnder(faults, options = {}) {
  return new Gateway().start(discovery.port, [reader.host(), writer.host()], { env: underFaults(faults), ...options });
}
// A client that has connected and sent its request before the process can accept it.
function waiting(gateway, txn) {
  return new Promise((done) => {
    let text = '';
    const s = net.connect(gateway.port, '127.0.0.1', () => s.write(`POST /v1/chat/completions HTTP/1.1\r\nx-txn: ${txn}\r\n` +
      'x-lane: chat\r\nx-org: acme\r\nx-remaining: 2500m\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}'));
    s.on('data', (d) => { text += d; });
    s.on('error', (e) => { text += e.code; });
    s.on('close', () => done(text));
  });
}

test('an accept that fails for a moment closes nothing that waits', async () => {
  const faults = newFaults(), gateway = await startUnder(faults);
  for (const error of ['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EINTR']) {
    faults.set('accept', error, 1);
    const asked = Promise.all(Array.from({ length: 8 }, (_, i) => waiting(gateway, `accept-${error}-${i}`)));
    await until(`an accept that fails with ${error}`, () => faults.given('accept') > 0);
    await sleep(150);
    faults.clear('accept');
    for (const text of await asked) assert.match(text, /^HTTP\/1.1 200 [^]*\[DONE\]/, `${error}: ${text}`);
  }
  // With ECONNABORTED the connection itself is gone; those behind it are taken all the same.
  faults.set('accept', 'ECONNABORTED', 0.5);
  const answers = await Promise.all(Array.from({ length: 30 }, (_, i) => waiting(gateway, `aborted-${i}`)));
  faults.clear('accept');
  const served = answers.filter((text) => /\[DONE\]/.test(text)).length;
  assert.ok(served > 0, 'some are served');
  assert.ok(answers.every((text) => /\[DONE\]/.test(text) || text === 'ECONNRESET'), answers.join('|'));
  await gateway.end();
});

test('a listener that cannot be had for a moment is tried again', async () => {
  for (const [call, error] of [['socket', 'ENOBUFS'], ['listen', 'ENOBUFS'], ['socket', 'EMFILE']]) {
    const faults = newFaults();
    faults.set(call, error, 1);
    const gateway = await startUnder(faults, { ready: false });
    await until('the first try', () => faults.given(call) > 0);
    await sleep(600);
    faults.clear(call);
    await until(`ready after ${call} ${error}`, () => /"ready"/.test(gateway.err), 3000);
    assert.equal((await gateway.ask(`listener-${call}-${error}`)).status, 200);
    await gateway.end();
  }
});

test('an address that the process before still holds is tried again until it is free, but not for ever', async () => {
  for (const frees of [true, false]) {
    const holder = net.createServer();
    const port = await listen(holder);
    const gateway = await new Gateway().start(discovery.port, [reader.host(), writer.host()], { ready: false, port });
    await sleep(800);
    assert.match(gateway.err, /listen_failed/);
    if (frees) {
      holder.close();
      await until('ready', () => /"ready"/.test(gateway.err), 1500);
      assert.equal((await gateway.ask('held')).status, 200);
      await gateway.end();
    } else {
      assert.deepEqual(await gateway.ended, { code: 4, signal: null }, gateway.err);
      assert.match(gateway.err, /GW_LISTEN: /);
      holder.close();
    }
  }
});

test('SIGHUP with a file that is half written or gone is carried out once the file is whole', async () => {
  const gateway = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  for (const how of ['half', 'gone', 'unchanged for a while']) {
    const next = await new Discovery().start([reader.host('draining'), writer.host()], 50);
    if (how === 'gone') unlinkSync(gateway.file);
    else writeFileSync(gateway.file, '{"name":"n0","listen":"127.0');
    gateway.child.kill('SIGHUP');
    await sleep(how === 'half' ? 20 : 700);
    assert.equal(next.calls, 0);
    gateway.write(next.port);
    await until(`the new discovery, the file ${how}`, () => next.waiting.length === 1, 2500);
    assert.equal((await gateway.ask(`torn-${how.slice(0, 4)}`)).status, 503, 'its drain is kept');
    next.stop();
    const back = await new Discovery().start([reader.host(), writer.host()], 60);
    await gateway.moveTo(back);
    discovery.stop();
    discovery = back;
  }
  await gateway.end();
});

// A wait for sockets that is interrupted has not looked at them: signal(7) names SIGCONT after a stop. The stream's silence is
// over the 4 s at which it is given up, but most of it is the process's own, and the rest lies in the socket.
test('a stream whose events came while the process stood still is passed on whole', async () => {
  const gateway = await new Gateway().start(discovery.port, [reader.host(), writer.host()]);
  let stream = null;
  writer.behave = (r, res) => {
    if (r.method !== 'POST') return false;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write('data: {"a":"1"}\n\n');
    stream = res;
    return true;
  };
  const asked = gateway.ask('stood-still');
  await until('the stream', () => stream !== null);
  await sleep(100);
  gateway.child.kill('SIGSTOP');
  await sleep(2000);
  stream.write('data: {"a":"2"}\n\n');
  await sleep(2300);
  gateway.child.kill('SIGCONT');
  await sleep(300);
  stream.end('data: [DONE]\n\n');
  const answer = await asked;
  writer.behave = () => false;
  assert.ok(answer.whole, JSON.stringify(answer));
  assert.match(answer.text, /"1"[^]*"2"[^]*DONE/);
  await gateway.end();
});

test('a poll that is interrupted is not taken for a client that is still there', async () => {
  const faults = newFaults(), gateway = await startUnder(faults);
  faults.set('poll', 'EINTR', 0.9);
  for (let i = 0; i < 6; ++i) {
    const txn = `poll-${i}`;
    await gateway.ask(`kept-${i}`);  // leaves a connection to the writer on which a request leaves at once
    await sleep(40);
    const asked = new Promise((done) => {
      reader.behave = (r, res) => {
        if (r.headers['x-txn'] !== txn) return false;
        done(res);
        return true;
      };
    });
    const client = net.connect(gateway.port, '127.0.0.1', () => client.write(`POST /v1/chat/completions HTTP/1.1\r\nx-txn: ${txn}\r\n` +
      'x-lane: chat\r\nx-org: acme\r\nx-remaining: 2500m\r\ncontent-length: 2\r\n\r\n{}'));
    const res = await asked;
    gateway.child.kill('SIGSTOP');  // the read's answer comes first, then the client's close, and both lie unread
    await sleep(20);
    res.writeHead(202);
    res.end('{"cached_tokens":0}');
    await sleep(20);
    client.destroy();
    await sleep(20);
    gateway.child.kill('SIGCONT');
    await until('the release', () => [...reader.seen, ...writer.seen].some((s) => s.method === 'DELETE' && s.url.endsWith(txn)));
    assert.ok(!writer.seen.some((s) => s.headers['x-txn'] === txn), 'nothing is sent on for a client that has left');
  }
  reader.behave = () => false;
  await gateway.end();
});

test('a wall clock that is an hour off makes no server warm that has just started, nor cold for good', async () => {
  const guarantees = { FallMultiple: 2.5, TipAfterMs: 2000, StartCapacity: 0.3, WarmWithinMs: 6000 };
  const other = await new Engine().start('r2', 'read');
  for (const step of [3600e3, -3600e3]) {
    const faults = newFaults();
    faults.stepWallClock(step);
    const list = await new Discovery().start([reader.host(), other.host(), writer.host()]);
    const gateway = await new Gateway().start(list.port, [], { env: underFaults(faults), guarantees });
    const reads = (engine, from) => engine.seen.filter((r) => r.method === 'POST' && r.at >= from).length;
    let count = 0;
    const load = async (ms) => {
      const answers = [], end = Date.now() + ms;
      while (Date.now() < end) {
        answers.push(gateway.ask(`clock-${step}-${++count}`, { headers: { 'x-entity': `clock-${count}` } }));
        await sleep(20);
      }
      return Promise.all(answers);
    };
    await load(2500);
    list.change([reader.host(), { ...other.host(), born_ms: Date.now() }, writer.host()]);
    const started = Date.now();
    await load(1200);
    const cold = reads(other, started), warm = reads(reader, started);
    assert.ok(cold < 0.6 * warm, `${step} ms: ${cold} reads at the one that has just started, ${warm} at the other`);
    await load(2000);
    assert.ok(reads(other, started + 1200) > 0, `${step} ms: it is given some of the load as it warms up`);
    await gateway.end();
    list.stop();
  }
  other.stop();
});
