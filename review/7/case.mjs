// `node` with six prefill and five decode servers, all sound: a prefill server reads 8 prompts at once, keeps 50 more waiting and turns
// away the rest. Usual clients ask ten times a second. A bad client sends 340 requests at once (with TROUBLE=0: none). The platform
// kills a gateway that goes over its limit on memory: the check is the process's peak against the limit it was given.
import { readFileSync } from 'node:fs';
import net from 'node:net';
import { AnswerReader, Discovery, ModelServer, Record, platformRequest, runCase, sleep, startNode, trouble } from '../standins-2.mjs';

const MEMORY_MB = 80;
const SOCKETS = 1024;
const BAD_REQUESTS = 340;  // "clients hold at most a third of the descriptors" for requests
const BAD_BODY_BYTES = 250 * 1024;  // "No body exceeds 256 KiB"
const READS_AT_ONCE = 8;
const READS_WAITING = 50;
const TOKENS_PER_S = 20000;

runCase(async () => {
  const record = new Record(import.meta.dirname);
  const counts = {};
  const count = (what) => { counts[what] = (counts[what] ?? 0) + 1; };
  const prefillServer = (name) => {
    const waiting = [];
    let running = 0;
    const read = (answer, bytes) => {
      ++running;
      setTimeout(() => {
        --running;
        answer();
        const next = waiting.shift();
        if (next) read(...next);
      }, 20 + bytes / 4 / TOKENS_PER_S * 1000);
    };
    return new ModelServer(name, 'prefill', record, ({ body }, txn, connection) => {
      const answer = () => connection.write('HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{"cached_tokens":0}');
      if (running < READS_AT_ONCE) read(answer, body.length);
      else if (waiting.length < READS_WAITING) waiting.push([answer, body.length]);
      else connection.write('HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\ncontent-length: 0\r\n\r\n');
      return true;
    }).start();
  };
  const servers = [];
  for (let i = 1; i <= 6; ++i) servers.push(await prefillServer(`r${i}`));
  for (let i = 1; i <= 5; ++i) servers.push(await new ModelServer(`w${i}`, 'decode', record).start());
  const discovery = await new Discovery(servers.map((server) => server.entry)).start();
  const gateway = await startNode(discovery, { limits: { memory_mb: MEMORY_MB, sockets: SOCKETS } });
  const peakMb = () => Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${gateway.child.pid}/status`, 'utf8'))[1]) / 1024;
  const send = (who, txn, options) => {
    record.note(`${who} sends ${txn}`);
    const socket = net.connect(gateway.port, '127.0.0.1', () => socket.write(platformRequest(txn, options)));
    const finish = (outcome) => { record.note(`${who} of ${txn}: ${outcome}`); count(`${who}: ${outcome}`); socket.destroy(); };
    const reader = new AnswerReader((status) => finish(`status ${status}`));
    socket.setEncoding('latin1');
    socket.on('data', (text) => reader.feed(text));
    socket.on('end', () => { if (!socket.destroyed) finish('a FIN'); });
    socket.on('error', (error) => finish(error.code));
  };
  const usual = async (requests, from) => {
    for (let i = 0; i < requests; ++i) {
      send('usual client', `u${from + i}`, { body: `{"model":"chat","stream":true,"m":"${'x'.repeat(8000)}"}` });
      await sleep(100);
    }
  };
  await usual(20, 0);
  record.note(`peak memory ${peakMb().toFixed(1)} MB`);
  const body = `{"model":"chat","stream":true,"m":"${'x'.repeat(BAD_BODY_BYTES)}"}`;
  for (let i = 0; trouble && i < BAD_REQUESTS; ++i) send('bad client', `b${i}`, { body, remaining: 5000, extra: 'X-Resent: again\r\n' });
  await usual(80, 20);
  await sleep(3000);
  if (gateway.child.ended) throw new Error(`the gateway ended: ${JSON.stringify(gateway.child.ended)}`);
  const peak = peakMb();
  if (!counts['usual client: status 200']) throw new Error(`nothing was served: ${JSON.stringify(counts)}`);
  record.end(peak > MEMORY_MB ? [`the gateway held ${peak.toFixed(1)} MB, its limit is ${MEMORY_MB} MB`] : [], `${JSON.stringify(counts)}, peak memory ${peak.toFixed(1)} MB`);
});
