// Planned restarts, with some clients that write their requests slowly, where clients do not ask for the rest of a
// stream. Is a request that the gateway takes over 0.7 s after SIGTERM refused, or answered before SIGKILL?
//
// TROUBLE=0: the same without the restarts.
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { ClientConnection, Discovery, Gateway, ModelServer, finish, makeRequest, now, openRecord, record, sleep, smallDeployment, trouble } from '../standins.mjs';

const RESTARTS = 3;
const KILL_AFTER_MS = 3700;  // the longest deadline, counted as 3 s, and 0.7 s more
const EXCUSED_MS = 700;  // SIGKILL may find a request unanswered that arrived up to here
const SLACK_MS = 50;  // every time limit is 50 ms longer
const SLOW_CLIENTS = 10;
const WRITE_MS = 1000;
const PIECES = 12;
const TOKENS = 100;  // of an answer, one every 50 ms

openRecord(path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt'));

const servers = [];
for (const [role, letter] of [['read', 'r'], ['write', 'w']])
  for (let index = 0; index < 4; ++index) servers.push(await new ModelServer(`s-${letter}${index}`, role, { events: TOKENS, eventMs: 50 }).start());
const discovery = await new Discovery(servers).start();
const known = { seq: 40, whole: true, hosts: servers.map((server) => server.entry()) };
const settings = smallDeployment();
settings.FamilyInfo.Resume = false;
const gateway = await new Gateway().start({ discoveryPort: discovery.port, known, settings });
await gateway.ready();

// A slow client: opens its connection and begins to write at once.
async function runSlowClient(txn) {
  const connection = new ClientConnection(gateway.port);
  await connection.connected;
  const request = await connection.sendSlowly(makeRequest(txn), PIECES, WRITE_MS);
  connection.close();
  return request;
}

const broken = [];
const counts = { whole: 0, refused: 0, failed: 0, excused: 0, unread: 0 };
let checked = 0;
function judge(request, termAt) {
  if (request.sentAt < 0) return ++counts.unread;  // its connection ended before its last byte was written
  ++checked;
  if (request.end === 'answered') return ++counts[request.status === 200 ? 'whole' : request.status === 503 || request.status === 429 ? 'refused' : 'failed'];
  const takenAfter = request.sentAt - termAt;
  if (takenAfter <= EXCUSED_MS + SLACK_MS) return ++counts.excused;
  const events = (request.text.match(/data: /g) ?? []).length;
  broken.push(`${request.txn}: last byte written ${Math.round(takenAfter)} ms after SIGTERM, status ${request.status}, ${events} of ${TOKENS + 1} events, ` +
    `then ${request.end} ${Math.round(request.endedAt - termAt)} ms after SIGTERM`);
}

for (let round = 0; round < RESTARTS; ++round) {
  // Clients begin from 0.3 s before SIGTERM to 0.15 s after it.
  const termAt = now() + 300;
  const clients = Array.from({ length: SLOW_CLIENTS }, async (_, index) => {
    await sleep(50 * index);
    return runSlowClient(`c${round}-${index}`);
  });
  await sleep(termAt - now());
  if (trouble) {
    gateway.signal('SIGTERM');
    const sentAt = now();
    await Promise.race([gateway.exited, sleep(KILL_AFTER_MS)]);
    if (gateway.running) gateway.signal('SIGKILL');
    await gateway.exited;
    const results = await Promise.all(clients);
    record('round', { round, killedAfter: now() - sentAt });
    for (const request of results) judge(request, sentAt);
    gateway.spawn();
    await gateway.ready();
  } else {
    for (const request of await Promise.all(clients)) judge(request, termAt);
  }
}
await finish([gateway], { checked, broken, text: `${checked} requests taken: ${JSON.stringify(counts)}, ${broken.length} taken late and lost at SIGKILL` });
