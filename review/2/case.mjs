// A discovery that answers each call 2.5 s late. When the gateway starts, its known list has two servers as up that
// drain by now. Does it stop sending to them in time?
//
// TROUBLE=0: discovery answers at once.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { ClientConnection, Discovery, Gateway, ModelServer, finish, makeRequest, now, openRecord, sleep, trouble } from '../standins.mjs';

const DELAY_MS = 2500;
const TOLD_AFTER_MS = 6000;  // a change counts as told 6 s later at the latest, whether it arrived or not
const GRACE_MS = 250;  // Guarantees.DrainGraceMs
const SLACK_MS = 50;  // every time limit is 50 ms longer
const LOAD_MS = 25000;
const INTERVAL_MS = 125;

openRecord(path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt'));

const servers = [];
for (const [role, letter] of [['read', 'r'], ['write', 'w']])
  for (let index = 0; index < 4; ++index) servers.push(await new ModelServer(`s-${letter}${index}`, role).start());
const known = { seq: 40, whole: true, hosts: servers.map((server) => server.entry()) };
const draining = servers.filter((server) => /0$/.test(server.name));
const discovery = await new Discovery(servers, { delayMs: trouble ? DELAY_MS : 0 }).start();
discovery.update(draining.map((server) => [server, 'draining']));
const gateway = await new Gateway().start({ discoveryPort: discovery.port, known });
await gateway.ready();

const loadEnd = now() + LOAD_MS;
let answered = 0;
const clients = [];
async function runClient(number) {
  const connection = new ClientConnection(gateway.port);
  await connection.connected;
  const [request] = await connection.send([makeRequest(`c${number}`)]);
  if (request.status === 200) ++answered;
  connection.close();
}
for (let number = 0; now() < loadEnd; ++number) {
  clients.push(runClient(number));
  await sleep(INTERVAL_MS);
}
await Promise.all(clients);

// The lists were at discovery, and discovery could be reached, before the process started.
const lastAllowedAt = gateway.startedAt + TOLD_AFTER_MS + GRACE_MS + SLACK_MS;
const late = draining.flatMap((server) => server.arrivals.filter((arrival) => arrival.firstByteAt > lastAllowedAt).map((arrival) => ({ server, arrival })));
const broken = late.map(({ server, arrival }) => `${arrival.txn} was sent to ${server.name}, which drains, ` +
  `${Math.round(arrival.firstByteAt - gateway.startedAt)} ms after the start of the gateway; allowed until ${Math.round(lastAllowedAt - gateway.startedAt)} ms`);
const total = draining.reduce((sum, server) => sum + server.arrivals.length, 0);
await finish([gateway], { checked: answered, broken,
  text: `${clients.length} requests, ${answered} served; ${total} sends to draining servers, ${broken.length} of them after the time allowed` });
