// Clients that send three requests at once on a connection, each with a prompt of ordinary length. Is the request that
// the gateway has forwarded answered before the gateway ends its connection?
//
// TROUBLE=0: the same requests on the same connections, each sent when the one before has been answered.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { ClientConnection, Discovery, Gateway, ModelServer, finish, makeRequest, openRecord, sleep, trouble } from '../standins.mjs';

const CONNECTIONS = 30;
const INTERVAL_MS = 500;  // from one connection to the next
const REQUESTS_AT_ONCE = 3;
const PROMPT_TOKENS = 1800;  // 7,200 characters: a short prefix and a short turn of the site file

openRecord(path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt'));

const servers = [];
for (const [role, letter] of [['read', 'r'], ['write', 'w']])
  for (let index = 0; index < 4; ++index) servers.push(await new ModelServer(`s-${letter}${index}`, role).start());
const discovery = await new Discovery(servers).start();
const known = { seq: 40, whole: true, hosts: servers.map((server) => server.entry()) };
const gateway = await new Gateway().start({ discoveryPort: discovery.port, known });
await gateway.ready();

const wasForwarded = (txn) => servers.some((server) => server.arrivals.some((arrival) => arrival.txn === txn));
const broken = [];
let checked = 0;
let answered = 0;

// A request whose connection ended before it was read is sent once more on a new connection, as the page says.
async function sendOnceMore(request) {
  const connection = new ClientConnection(gateway.port);
  await connection.connected;
  const [again] = await connection.send([makeRequest(`${request.txn}`, { promptTokens: PROMPT_TOKENS })]);
  connection.close();
  return again;
}

async function runClient(number) {
  const connection = new ClientConnection(gateway.port);
  await connection.connected;
  const requests = Array.from({ length: REQUESTS_AT_ONCE }, (_, index) => makeRequest(`c${number}-${index}`, { promptTokens: PROMPT_TOKENS }));
  if (trouble) {
    await connection.send(requests);
  } else {
    for (const request of requests) await connection.send([request]);
  }
  for (const request of requests) {
    ++checked;
    if (request.end === 'answered') { ++answered; continue; }
    if (wasForwarded(request.txn)) {
      broken.push(`${request.txn} was sent to a model server, then its connection was ended without an answer (${request.end}) ` +
        `${Math.round(request.endedAt - request.sentAt)} ms after its last byte; the client had not left`);
      continue;
    }
    const again = await sendOnceMore(request);
    if (again.end === 'answered') ++answered;
  }
  connection.close();
}

const clients = [];
for (let number = 0; number < CONNECTIONS; ++number) {
  clients.push(runClient(number));
  await sleep(INTERVAL_MS);
}
await Promise.all(clients);
await finish([gateway], { checked, broken, text: `${checked} requests, ${answered} answered, ${broken.length} forwarded and then lost` });
