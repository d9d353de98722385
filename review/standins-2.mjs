// Stand-ins that the cases 6 to 10 share: the record, raw HTTP model servers, a discovery agent, clients, and the start of the
// project's programs. Loopback only, free ports, a temporary folder; every process that was started is ended.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
export const trouble = process.env.TROUBLE !== '0';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const children = [];
const startedAt = performance.now();
export const now = () => performance.now() - startedAt;

function clean() {
  for (const child of children) try { process.kill(-child.pid, 'SIGKILL'); } catch { /* has ended */ }
  rmSync(folder, { recursive: true, force: true });
}
process.on('exit', clean);
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));

// record.txt of the case: one line for each thing sent, answered or run, with ms since the start.
export class Record {
  constructor(caseFolder) {
    this.file = path.join(caseFolder, 'record.txt');
    writeFileSync(this.file, `TROUBLE=${trouble ? 1 : 0}\n`);
  }
  note(text) { appendFileSync(this.file, `${now().toFixed(1).padStart(9)} ${text}\n`); }
  // Ends the test: 1 if a rule was broken, else 0.
  end(broken, summary) {
    this.note(summary);
    for (const line of broken) this.note(`BROKEN ${line}`);
    console.log(summary);
    for (const line of broken.slice(0, 10)) console.log(`BROKEN ${line}`);
    process.exit(broken.length > 0 ? 1 : 0);
  }
}
// Runs a case: whatever goes wrong in the test itself, or 110 s without an end, is exit code 2.
export function runCase(main) {
  setTimeout(() => { console.log('the case took too long'); process.exit(2); }, 110000).unref();
  main().catch((error) => { console.log(`the case could not run: ${error.stack}`); process.exit(2); });
}

export const listen = (server) => new Promise((resolve, reject) => {
  server.on('error', reject);
  server.listen(0, '127.0.0.1', () => resolve(server.address().port));
});
export async function freePort() {
  const server = net.createServer();
  const port = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}
export async function waitUntil(what, condition, ms = 10000) {
  const due = now() + ms;
  while (!condition()) {
    if (now() > due) throw new Error(`timed out waiting for ${what}`);
    await sleep(5);
  }
}

// A raw HTTP/1.1 server. `handle(request, connection)` gets each complete request: head (text), method, target, headers (a list of
// [name, value], the name as it was sent in small letters), body. `connection.write(text)` writes while the connection is open.
export class RawServer {
  connections = new Set();
  constructor(handle) {
    this.server = net.createServer((socket) => {
      const connection = { socket, closed: false, write: (text) => { if (!connection.closed) socket.write(text, 'latin1'); } };
      let buffer = '';
      this.connections.add(connection);
      socket.setNoDelay(true);
      socket.setEncoding('latin1');
      socket.on('error', () => {});
      socket.on('close', () => { connection.closed = true; this.connections.delete(connection); connection.onClose?.(); });
      socket.on('data', (bytes) => {
        buffer += bytes;
        for (;;) {
          const headEnd = buffer.indexOf('\r\n\r\n');
          if (headEnd < 0 || connection.closed) return;
          const head = buffer.slice(0, headEnd);
          const [startLine, ...lines] = head.split('\r\n');
          const [method, target] = startLine.split(' ');
          const headers = lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]);
          const field = (name) => headers.find(([known]) => known === name)?.[1];
          const bodyBytes = Number(field('content-length') ?? 0);
          if (buffer.length < headEnd + 4 + bodyBytes) return;
          const body = buffer.slice(headEnd + 4, headEnd + 4 + bodyBytes);
          buffer = buffer.slice(headEnd + 4 + bodyBytes);
          handle({ head, method, target, headers, field, body }, connection);
        }
      });
    });
  }
  async start() { this.port = await listen(this.server); return this; }
}

// Parses the answers on a client's connection: calls `onAnswer(status, body, whole)` for each; `whole` is false where the
// connection ended first.
export class AnswerReader {
  constructor(onAnswer) { Object.assign(this, { onAnswer, buffer: '', head: null, body: '' }); }
  feed(bytes) {
    this.buffer += bytes;
    while (this.step()) ;
  }
  step() {
    if (!this.head) {
      const end = this.buffer.indexOf('\r\n\r\n');
      if (end < 0) return false;
      const text = this.buffer.slice(0, end);
      this.head = { status: Number(text.split(' ')[1]), chunked: /\r\ntransfer-encoding: chunked/i.test(text),
        length: Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0) };
      this.buffer = this.buffer.slice(end + 4);
    }
    if (!this.head.chunked) {
      if (this.buffer.length < this.head.length) return false;
      this.body = this.buffer.slice(0, this.head.length);
      this.buffer = this.buffer.slice(this.head.length);
      return this.finish();
    }
    const lineEnd = this.buffer.indexOf('\r\n');
    if (lineEnd < 0) return false;
    const size = parseInt(this.buffer, 16);
    if (this.buffer.length < lineEnd + 2 + size + 2) return false;
    this.body += this.buffer.slice(lineEnd + 2, lineEnd + 2 + size);
    this.buffer = this.buffer.slice(lineEnd + 2 + size + 2);
    return size === 0 ? this.finish() : true;
  }
  finish() {
    const { status } = this.head;
    const { body } = this;
    Object.assign(this, { head: null, body: '' });
    this.onAnswer(status, body, true);
    return true;
  }
  connectionEnded() { if (this.head) this.onAnswer(this.head.status, this.body, false); }
}

// ---- the programs ---------------------------------------------------------------------------------------

function startProgram(command, env = {}) {
  const child = spawn('/bin/sh', ['-c', command], { cwd: root, detached: true, stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, ...env } });
  children.push(child);
  child.log = '';
  child.ended = null;
  child.stderr.setEncoding('utf8');
  child.stderr.on('data', (text) => { child.log += text; });
  child.on('exit', (code, signal) => { child.ended = { code, signal }; });
  return child;
}
async function acceptsConnections(port) {
  for (let attempt = 0; attempt < 200; ++attempt) {
    const open = await new Promise((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => { socket.destroy(); resolve(true); });
      socket.on('error', () => resolve(false));
    });
    if (open) return;
    await sleep(50);
  }
  throw new Error('the program does not listen');
}

// A gateway on the platform, started by `run` of the deploy file. `discovery`: a Discovery. `settings`, `limits`: changes to those
// of a small deployment.
export async function startNode(discovery, { settings = {}, limits = {} } = {}) {
  const run = /^run = "(.*?)"/m.exec(readFileSync(path.join(root, 'deploy/balancer.toml'), 'utf8'))[1];
  const port = await freePort();
  const file = path.join(folder, 'config.json');
  writeFileSync(file, JSON.stringify({ name: 'n1', listen: `127.0.0.1:${port}`, discovery: `127.0.0.1:${discovery.port}`, seed: '8c1f30d27a5be964',
    limits: { cores: 1, memory_mb: 64, sockets: 256, ...limits }, known: discovery.list(),
    settings: { Azs: ['a', 'b'], Zone: 'a', Balancers: 1, Flavors: ['prefill', 'decode'],
      FamilyInfo: { RoleByKind: ['read', 'write'], KindMemoryTokens: [250000, 130000], LetGoByMs: 1000, Resume: true, TokenAimMs: [60],
        AimUsPer1000PromptTokens: [40000] },
      Ceilings: { AttemptsCap: 6, Cancel: true, DialTimeoutMs: 250, IdleCloseMs: 15000, RetryAfter: false },
      Guarantees: { AnswerSlackMs: 16, DrainGraceMs: 250, FallMultiple: 2.5, TipAfterMs: 2000, StartCapacity: 0.29, WarmWithinMs: 13000 },
      Lanes: [{ Name: 'chat', SloMs: 1500, DeadlineMs: 6000, Importance: 3, Effect: 'repeatable', Streaming: true }],
      Tenants: [{ Name: 'acme', QuotaPerS: 100 }], StepMs: 4, ...settings } }));
  const child = startProgram(run, { GW_NAME: 'n1', GW_LISTEN: `127.0.0.1:${port}`, GW_DISCOVERY: `127.0.0.1:${discovery.port}`, GW_CONFIG: file });
  await waitUntil('ready', () => child.log.includes('"ready"') || child.ended);
  if (child.ended) throw new Error(`the gateway ended: ${child.log}`);
  await waitUntil('the watch', () => discovery.watches > 0);
  // Replaces the configuration by one with another address of discovery and sends SIGHUP.
  const moveDiscovery = (discoveryPort) => {
    const config = JSON.parse(readFileSync(file, 'utf8'));
    writeFileSync(`${file}.new`, JSON.stringify({ ...config, discovery: `127.0.0.1:${discoveryPort}` }));
    renameSync(`${file}.new`, file);
    process.kill(child.pid, 'SIGHUP');
  };
  return { child, port, moveDiscovery };
}
// The Messages API daemon of the same program: `build/src/gorsenotch serve FILE`. `xml(address)` gives the settings.
export async function startServe(xml) {
  const port = await freePort();
  const file = path.join(folder, 'serve.xml');
  writeFileSync(file, xml(`127.0.0.1:${port}`));
  const child = startProgram(`exec build/src/gorsenotch serve ${file}`);
  await acceptsConnections(port);
  return { child, port };
}

// A discovery agent: the whole list at once, a watch answers after its time (no list here changes). `delayMs`: what each answer takes
// longer.
export class Discovery {
  watches = 0;
  constructor(hosts, { delayMs = 0, onCall = () => {} } = {}) {
    this.hosts = hosts;
    this.server = new RawServer((request, connection) => {
      onCall(request.target);
      const hold = /hold_ms=(\d+)/.exec(request.target);
      if (!hold) return void setTimeout(() => this.answer(connection, this.list()), delayMs);
      ++this.watches;
      setTimeout(() => this.answer(connection, { seq: 1, whole: false, hosts: [] }), Number(hold[1]) + delayMs);
    });
  }
  // Accepts no new connections; closes the open ones after 1.5 s.
  retire() {
    this.server.server.close();
    setTimeout(() => { for (const { socket } of this.server.connections) socket.destroy(); }, 1500);
  }
  list() { return { seq: 1, whole: true, hosts: this.hosts }; }
  answer(connection, list) {
    const body = JSON.stringify(list);
    connection.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  }
  async start() { await this.server.start(); this.port = this.server.port; return this; }
}
export const host = (name, kind, port) => ({ host: name, dial: `127.0.0.1:${port}`, site: 'a', class: kind, block: 1, health: 'up', share: 1.0, born_ms: 0 });

// A chunk of a stream's events.
export const chunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;
export const streamHead = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n';
export const lastChunk = '0\r\n\r\n';

// A model server of the platform. `run(request, txn, connection)`: called for each request whose last byte has arrived; returns
// true if it has dealt with it.
export class ModelServer extends RawServer {
  constructor(name, role, record, run = () => false) {
    super((request, connection) => {
      if (request.target.startsWith('/bootstrap/rooms/')) {
        record.note(`${name} ${request.method} ${request.target}`);
        return connection.write('HTTP/1.1 204 No Content\r\n\r\n');
      }
      const txn = request.field('x-txn');
      record.note(`${name} runs ${txn}, ${request.body.length} bytes of body, x-remaining ${request.field('x-remaining')}`);
      if (run(request, txn, connection)) return;
      if (role === 'prefill') {
        const body = '{"cached_tokens":0}';
        return void setTimeout(() => connection.write(`HTTP/1.1 202 Accepted\r\ncontent-length: ${body.length}\r\n\r\n${body}`), 20);
      }
      setTimeout(() => connection.write(streamHead + chunk(`data: {"choices":[{"index":0,"delta":{"content":"${txn}"},"finish_reason":null}]}\n\n`)), 20);
      setTimeout(() => connection.write(chunk('data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n') + lastChunk), 60);
    });
    Object.assign(this, { name, role });
  }
  get entry() { return host(this.name, this.role, this.port); }
}

// The bytes of a request on the platform.
export const platformRequest = (txn, { body = '{"model":"chat","stream":true}', remaining = 5000, extra = '' } = {}) =>
  `POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: ${txn}\r\nX-Lane: chat\r\nX-Org: acme\r\nX-Entity: e${txn}\r\n` +
  `X-Remaining: ${remaining}m\r\nX-Labels: prompt_len=${Math.ceil(body.length / 4)},max_out=100\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`;
