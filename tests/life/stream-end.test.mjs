// How the streams of decode engines end, and what their clients see of it, through one gateway process (`gorsenotch node`).
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { chunk, sleep, startDeployment, stopDeployment, STREAM_HEAD, StreamClient, waitUntil } from './platform.mjs';

const END_LIMIT_MS = 5000;  // within which the client of a broken stream has to see its end, from the last event on
const EVENT_PAUSE_MS = 4500;  // between the events of a slow stream; shorter than END_LIMIT_MS
const LAST_CHUNK = '0\r\n\r\n';

const FIRST = 'data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}\n\n';
const MORE = FIRST.repeat(3);
const STOP = 'data: {"choices":[{"index":0,"delta":{"content":"z"},"finish_reason":"stop"}]}\n\n';
const USAGE = 'data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":0}}}\n\n';
const CONTENT = FIRST + MORE + STOP + USAGE;
const MARKER = 'data: [DONE]\n\n';

const WHOLE = {
  'all events and the marker': CONTENT + MARKER,
  'no usage': FIRST + STOP + MARKER,
  'CRLF line ends': (CONTENT + MARKER).replaceAll('\n', '\r\n'),
  'CR line ends': (CONTENT + MARKER).replaceAll('\n', '\r'),
  'no space after the colon': (CONTENT + MARKER).replaceAll('data: ', 'data:'),
  'a marker with an id': `${CONTENT}id: 9\n${MARKER}`,
  'a comment before each event': `: ping\n\n${FIRST}: ping\n\n${STOP}: ping\n${MARKER}`,
  'a comment behind the marker': `${CONTENT}${MARKER}: bye\n\n`,
  'a text that contains the marker': `${FIRST}data: {"choices":[{"delta":{"content":"data: [DONE]"}}]}\n\n${STOP}${MARKER}`,
};
const INCOMPLETE = {
  'no event': '',
  'half the first event': FIRST.slice(0, 20),
  'a comment only': ': ping\n\n',
  'the first event only': FIRST,
  'some events': FIRST + MORE,
  'half an event': FIRST + MORE.slice(0, -9),
  'an event without its empty line': FIRST + MORE.slice(0, -1),
  'up to the stop event': FIRST + MORE + STOP,
  'up to the usage': CONTENT,
  'half the marker': `${CONTENT}data: [DO`,
  'a marker without a line end': `${CONTENT}data: [DONE]`,
  'a marker without its empty line': `${CONTENT}data: [DONE]\n`,
  'the marker as a comment': `${CONTENT}: data: [DONE]\n\n`,
  'the marker as a name': `${CONTENT}event: [DONE]\n\n`,
  'the marker as a field': `${CONTENT}[DONE]\n\n`,
  'the marker in an event of two lines': `${CONTENT}data: x\ndata: [DONE]\n\n`,
  'a line behind the marker in its event': `${CONTENT}data: [DONE]\ndata: x\n\n`,
  'the marker in a text': `${FIRST}data: {"choices":[{"delta":{"content":"[DONE]"}}]}\n\n`,
  'an event behind the marker': `${FIRST}${MARKER}${MORE}`,
  'half an event behind the marker': `${FIRST}${MARKER}data: {"choi`,
};

const headWithLength = (body) => STREAM_HEAD.replace('transfer-encoding: chunked', `content-length: ${body.length}`);
const events = (body) => body.split(/(?<=\n\n)/s);
const chunksOf = (parts, end) => parts.filter(Boolean).map(chunk).concat(end);
// The writes in which a decode engine sends the answer with this body. `end`: the last chunk, or nothing if the answer breaks.
const WAYS = {
  'a chunk an event': (body, end = LAST_CHUNK) => [STREAM_HEAD, ...chunksOf(events(body), end)],
  'one write': (body, end = LAST_CHUNK) => [STREAM_HEAD + chunksOf(events(body), end).join('')],
  'a chunk a byte': (body, end = LAST_CHUNK) => [STREAM_HEAD + chunksOf([...body], end).join('')],
  'writes of 3 bytes': (body, end = LAST_CHUNK) => [STREAM_HEAD, ...(chunksOf(events(body), end).join('').match(/.{1,3}/gs) ?? [])],
  'a length': (body) => [headWithLength(body), ...events(body)],
};
const LANES = ['chat', 'pay'];

async function writeAll(socket, writes) {
  socket.setNoDelay(true);
  for (const bytes of writes) {
    if (socket.destroyed) return;
    socket.write(bytes);
    await sleep(writes.length > 100 ? 0 : 2);
  }
}

// Deployments where clients resume broken streams, and where they do not.
const deployments = [];
const answers = new Map();  // transaction id -> the function that writes its answer on a socket
before(async () => {
  for (const resume of [true, false]) deployments.push(Object.assign(await startDeployment({ resume }), { name: resume ? 'resumable' : 'not resumable' }));
  for (const { decodeEngine } of deployments) {
    decodeEngine.handler = (request, response) => {
      const answer = request.method === 'POST' && answers.get(request.headers['x-txn']);
      if (answer) answer(response.socket);
      return Boolean(answer);
    };
  }
});
after(async () => { for (const { prefillEngine, decodeEngine, discovery, gateway } of deployments) await stopDeployment({ prefillEngine, decodeEngine, discovery, gateway }); });

function ask({ gateway }, txn, answer, options) {
  answers.set(txn, answer);
  return new StreamClient(gateway, txn, options);
}
async function waitForEnds(clients, timeoutMs) {
  await Promise.race([Promise.all(clients.map((client) => client.ended)), sleep(timeoutMs)]);
  for (const client of clients) client.socket.destroy();
  return clients;
}
let kinds = 0;
// Asks at each deployment for an answer with each of the bodies, written in each of the ways; `end` then ends the connection.
async function askAll(bodies, ways, end = () => {}) {
  const clients = [], prefix = `kind${++kinds}`;
  for (const deployment of deployments) {
    for (const [name, body] of Object.entries(bodies)) {
      for (const [way, writes] of Object.entries(ways)) {
        const lane = LANES[clients.length % LANES.length];
        const client = ask(deployment, `${prefix}-${clients.length}`, async (socket) => { await writeAll(socket, writes(body)); end(socket); }, { lane });
        clients.push(Object.assign(client, { name: `${name}, ${way}, ${lane}, ${deployment.name}`, sentBody: body }));
        await Promise.race([client.ended, sleep(40)]);
      }
    }
  }
  return waitForEnds(clients, END_LIMIT_MS);
}

// Guards against a stream that is not whole and is ended as if it were: the end of its message is not that of its events.
test('a stream that ends without its end marker is not ended as if it were whole', async () => {
  const clients = await askAll(INCOMPLETE, WAYS);
  const completed = clients.filter((client) => client.complete).map((client) => client.name);
  assert.deepEqual(completed, [], `${completed.length} of ${clients.length} ended as if they were whole`);
  for (const client of clients) {
    assert.match(client.text, /^HTTP\/1.1 (200|502|503) /, client.name);
    assert.ok(client.endedAt > 0 && client.endedAt - client.lastByteAt < END_LIMIT_MS, `${client.name}: not closed in time`);
    if (client.text.startsWith('HTTP/1.1 200')) assert.ok(client.sentBody.startsWith(client.body), `${client.name}: got ${client.body}`);
  }
});

test('a whole stream is forwarded byte for byte and ended with the last chunk', async () => {
  for (const client of await askAll(WHOLE, WAYS)) {
    assert.ok(client.complete, `${client.name}: ${client.text}`);
    assert.equal(client.body, client.sentBody, client.name);
  }
});

test('a stream whose connection ends is not ended as if it were whole', async () => {
  const unended = Object.fromEntries(Object.entries(WAYS).filter(([way]) => way !== 'a length')
    .map(([way, writes]) => [way, (body) => writes(body, '')]));
  const bodies = { ...INCOMPLETE, 'all events and the marker': CONTENT + MARKER };
  for (const end of [(socket) => socket.end(), (socket) => socket.resetAndDestroy()]) {
    for (const client of await askAll(bodies, unended, end)) {
      assert.ok(!client.complete, `${client.name}: ${client.text}`);
      assert.ok(client.endedAt > 0, `${client.name}: not closed in time`);
    }
  }
});

test('a stream that falls silent ends within 5 s of its last event, without the last chunk', async () => {
  const clients = [];
  for (const deployment of deployments) {
    for (const body of [FIRST, `${CONTENT}data: [DO`, CONTENT + MARKER])
      clients.push(ask(deployment, `silent-${clients.length}`, (socket) => writeAll(socket, WAYS['a chunk an event'](body, ''))));
  }
  for (const client of await waitForEnds(clients, 2 * END_LIMIT_MS)) {
    assert.ok(!client.complete, client.text);
    assert.ok(client.endedAt > 0 && client.endedAt - client.lastByteAt < END_LIMIT_MS, `${client.txn}: ${client.endedAt - client.lastByteAt} ms`);
  }
});

// Guards against cutting off a stream whose endpoint is slow but still writes.
test(`a stream with an event each ${EVENT_PAUSE_MS} ms is not cut off`, async () => {
  const writeSlowly = async (socket) => {
    socket.write(STREAM_HEAD + chunk(FIRST));
    for (const event of [FIRST, STOP, MARKER]) {
      await sleep(EVENT_PAUSE_MS);
      socket.write(chunk(event));
    }
    socket.write(LAST_CHUNK);
  };
  const clients = deployments.flatMap((deployment) => Array.from({ length: 6 },
    (_, index) => ask(deployment, `slow-${index}`, writeSlowly, { lane: LANES[index % LANES.length] })));
  for (const client of await waitForEnds(clients, 4 * EVENT_PAUSE_MS))
    assert.ok(client.complete, `${client.txn}: cut off ${client.endedAt - client.lastByteAt} ms after ${client.text}`);
});

test('the log and the status tell how an incomplete stream ended', async () => {
  for (const { gateway } of deployments) {
    await ask({ gateway }, 'told', (socket) => writeAll(socket, WAYS['a chunk an event'](FIRST + MORE))).ended;
    await waitUntil('the log line', () => /"text":"told incomplete [^"]*"/.test(gateway.stderr));
    assert.match(gateway.stderr, /"text":"told incomplete [^"]*; stream no_end_marker, 4 events, \d+ bytes, last event \d+"/);
    await waitUntil('the count', () => gateway.statusCount('stream_ends', 'no_end_marker') > 0, 6000);
  }
});
