// Streams that arrive faster than they are forwarded, and streams that never end, through one gateway process (`gorsenotch node`).
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { chunk, sleep, startDeployment, stopDeployment, STREAM_HEAD, StreamClient } from './platform.mjs';

const KIBIBYTE = 1024;
const BODY_LIMIT_BYTES = 256 * KIBIBYTE;  // "No body exceeds 256 KiB"
const END_LIMIT_MS = 5000;  // within which the client's connection has to end after a spoilt stream began
const ANSWER_TIMEOUT_MS = 5000;  // until the next answer is asked for if one does not end
const FIRST_TOKEN_LIMIT_MS = 300;  // beside such streams; the time within which events have to be forwarded

let prefillEngine, decodeEngine, discovery, gateway;
before(async () => { ({ prefillEngine, decodeEngine, discovery, gateway } = await startDeployment()); });
after(() => stopDeployment({ prefillEngine, decodeEngine, discovery, gateway }));

// Guards against cutting off a sound answer near the limit on bodies. (The pause that such a burst may cause is forced by
// BackPressureTest.)
test('sound answers that arrive in one burst of small chunks are delivered whole', async () => {
  // In chunks of two bytes, the answer is several times as long on the wire as its body.
  const EVENT = 'data: x\n\n\n', MARKER = 'data: [DONE]\n\n', EVENTS = Math.floor(250 * KIBIBYTE / EVENT.length);
  const burst = STREAM_HEAD + EVENT.match(/../gs).map(chunk).join('').repeat(EVENTS) + chunk(MARKER) + '0\r\n\r\n';
  decodeEngine.handler = (request, response) => {
    if (!request.headers['x-txn']?.startsWith('burst') || request.method !== 'POST') return false;
    response.socket.end(burst);
    return true;
  };
  const clients = [];
  for (let index = 0; index < 12; ++index) {
    clients.push(new StreamClient(gateway, `burst-${index}`));
    await Promise.race([clients.at(-1).ended, sleep(ANSWER_TIMEOUT_MS)]);
  }
  await Promise.race([Promise.all(clients.map((client) => client.ended)), sleep(5000)]);
  for (const client of clients) client.socket.destroy();
  decodeEngine.handler = () => false;
  const complete = clients.filter((client) => client.complete);
  assert.equal(complete.length, clients.length, `incomplete: ${clients.filter((client) => !client.complete)
    .map((client) => `${client.txn} got ${client.text.length} bytes, log: ${gateway.stderr.match(/"text":"burst-[^"]*"/g)?.join(' ')}`).join(', ')}`);
  for (const client of complete) assert.equal(client.body, EVENT.repeat(EVENTS) + MARKER);
});

// Guards against answers that never end: left waiting on an open connection, forwarded without end, or slowing down all others.
test('streams that never end are cut off at the limit on bodies, in time, and delay no other stream', async () => {
  const block = chunk(`data: ${'x'.repeat(1000)}\n\n`).repeat(100);
  decodeEngine.handler = (request, response) => {
    if (!request.headers['x-txn']?.startsWith('endless') || request.method !== 'POST') return false;
    const { socket } = response;
    socket.write(STREAM_HEAD + chunk('data: 1\n\n'));
    const keepWriting = () => {
      if (socket.destroyed) return;
      if (socket.write(block)) setImmediate(keepWriting);
      else socket.once('drain', keepWriting);
    };
    keepWriting();
    return true;
  };
  const endless = [], others = [];
  for (let round = 0; round < 20; ++round) {
    if (round % 2 === 0) endless.push(new StreamClient(gateway, `endless-${round}`));
    others.push(new StreamClient(gateway, `other-${round}`));
    await sleep(100);
  }
  await Promise.race([Promise.all([...endless, ...others].map((client) => client.ended)), sleep(END_LIMIT_MS)]);
  for (const client of [...endless, ...others]) client.socket.destroy();
  decodeEngine.handler = () => false;
  for (const client of endless) {
    assert.ok(client.endedAt > 0 && client.endedAt - client.firstByteAt < END_LIMIT_MS,
      `${client.txn}: ${client.text.length} bytes, not ended ${END_LIMIT_MS} ms after the first`);
    assert.ok(!client.complete, `${client.txn}: ended as if it were whole`);
    assert.ok(client.body.length <= BODY_LIMIT_BYTES, `${client.txn}: ${client.body.length} bytes of the body`);
  }
  for (const client of others) {
    assert.ok(client.complete, `${client.txn}: ${client.text}`);
    assert.ok(client.firstByteAt - client.sentAt < FIRST_TOKEN_LIMIT_MS, `${client.txn}: ${client.firstByteAt - client.sentAt} ms`);
  }
});
