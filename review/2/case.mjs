// Spoilt answers that never end: after a good event, chunks of a stream keep on coming, the first 8 MB as fast as they
// are taken. Is the client's connection ended, or does it at least go on getting what comes?
//
// TROUBLE=0: the same streams end after their good events.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { ClientConnection, Discovery, Gateway, ModelServer, finish, makeRequest, now, openRecord, record, sleep, trouble } from '../standins.mjs';

const REQUESTS = 40;
const INTERVAL_MS = 250;
const SPOILT_EVERY = 5;  // one request in five meets a spoilt answer
const WAIT_MS = 5000;  // a client may not be left waiting for longer after the last event of a running model server
const SLACK_MS = 50;  // every time limit is 50 ms longer
const OBSERVED_MS = 20000;  // after the last request
const FAST_BYTES = 8e6;  // as fast as they are taken; after that a block every 100 ms, so that the run stays bounded

openRecord(path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt'));

// A writer whose answer to some requests never ends.
class Writer extends ModelServer {
  streamEvents(socket, txn) {
    if (!trouble || !/^spoilt/.test(txn)) return super.streamEvents(socket, txn);
    const chunk = (event) => `${event.length.toString(16)}\r\n${event}\r\n`;
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n');
    socket.write(chunk(`data: {"choices":[{"index":0,"delta":{"content":"${txn}"}}]}\n\n`));
    const block = chunk(`data: ${'x'.repeat(1000)}\n\n`).repeat(100);
    let written = 0;
    const keepOnComing = () => {
      if (socket.destroyed) return;
      const taken = socket.write(block, 'latin1');
      written += block.length;
      if (!taken) return socket.once('drain', keepOnComing);
      if (written < FAST_BYTES) return setImmediate(keepOnComing);
      setTimeout(keepOnComing, 100);
    };
    record('spoilt-stream-begins', { server: this.name, txn });
    socket.on('close', () => record('spoilt-stream-closed-by-gateway', { server: this.name, txn }));
    setTimeout(keepOnComing, 100);
  }
}

const servers = [];
for (let index = 0; index < 4; ++index) servers.push(await new ModelServer(`s-r${index}`, 'read').start());
for (let index = 0; index < 4; ++index) servers.push(await new Writer(`s-w${index}`, 'write').start());
const discovery = await new Discovery(servers).start();
const known = { seq: 40, whole: true, hosts: servers.map((server) => server.entry()) };
const gateway = await new Gateway().start({ discoveryPort: discovery.port, known });
await gateway.ready();

const clients = [];
for (let number = 0; number < REQUESTS; ++number) {
  const connection = new ClientConnection(gateway.port);
  await connection.connected;
  const request = makeRequest(number % SPOILT_EVERY === 0 ? `spoilt${number}` : `good${number}`);
  // The text of an answer that never ends is not kept.
  if (trouble) Object.defineProperty(request, 'text', { get: () => '', set: () => {} });
  const client = { connection, request, lastByteAt: now(), bytes: 0 };
  connection.socket.on('data', (bytes) => { client.lastByteAt = now(); client.bytes += bytes.length; });
  connection.send([request]);
  clients.push(client);
  await sleep(INTERVAL_MS);
}
await sleep(OBSERVED_MS);

const broken = [];
const counts = { whole: 0, otherAnswers: 0, ended: 0, stillComing: 0 };
for (const { connection, request, lastByteAt, bytes } of clients) {
  const waiting = now() - lastByteAt;
  if (request.end === 'answered') ++counts[request.status === 200 ? 'whole' : 'otherAnswers'];
  else if (connection.ended) ++counts.ended;
  else if (waiting <= WAIT_MS + SLACK_MS) ++counts.stillComing;
  else broken.push(`${request.txn}: its client got ${bytes} bytes, then none for ${Math.round(waiting)} ms; its connection is still open and its model server still writes`);
}
for (const { connection } of clients) connection.close();
await finish([gateway], { checked: clients.length, broken, text: `${clients.length} requests: ${JSON.stringify(counts)}, ${broken.length} left waiting` });
