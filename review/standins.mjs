// Stand-ins shared by the cases of this review: model servers, a discovery agent, clients and the launcher of the
// gateway process. They follow PROTOCOL.md; every address is 127.0.0.1 and every port is a free one.
//
// Everything that was sent, answered and run is written to record.txt of the case, one JSON object a line, with the
// time in ms since the start of the run.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';

const LOOPBACK = '127.0.0.1';
const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const origin = performance.now();

export const now = () => performance.now() - origin;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const trouble = process.env.TROUBLE !== '0';

// ---- the record ----
let recordFile = null;
export function openRecord(file) {
  recordFile = file;
  writeFileSync(file, '');
}
export function record(event, fields = {}) {
  appendFileSync(recordFile, `${JSON.stringify({ at: Math.round(now() * 10) / 10, event, ...fields })}\n`);
}

// ---- processes and the end of a run ----
const children = [];
process.on('exit', () => {
  for (const child of children) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
});
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
process.on('uncaughtException', (error) => { console.error(error); process.exit(2); });
process.on('unhandledRejection', (error) => { console.error(error); process.exit(2); });
// A run ends after 115 s at the latest.
setTimeout(() => { console.error('the run took too long'); process.exit(2); }, 115000).unref();

const listen = (server) => new Promise((resolve, reject) => {
  server.on('error', reject);
  server.listen(0, LOOPBACK, 1024, () => resolve(server.address().port));
});
async function freePort() {
  const server = net.createServer();
  const port = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

// ---- HTTP/1.1 messages ----
// Reads consecutive messages that have a Content-Length, a chunked body or none. Where a message has both lengths, the
// chunks count (RFC 9112, 6.3); space around a field name is skipped. `onHead`, `onData` and `onEnd` are called as the
// bytes come; a stream of events is passed on piece by piece.
class MessageReader {
  constructor({ onHead = () => {}, onData = () => {}, onEnd = () => {} }) {
    Object.assign(this, { onHead, onData, onEnd, buffer: '', state: 'head', left: 0 });
  }
  feed(bytes) {
    this.buffer += bytes;
    while (this.step()) ;
  }
  step() {
    if (this.buffer.length === 0) return false;
    switch (this.state) {
      case 'head': return this.readHead();
      case 'size': return this.readChunkSize();
      case 'chunk-end': return this.skipLineEnd('size');
      case 'last': return this.skipLineEnd('head') && this.finish();
      default: return this.readBody();
    }
  }
  readHead() {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const [startLine, ...lines] = this.buffer.slice(0, end).split('\r\n');
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).trim().toLowerCase()] = line.slice(colon + 1).trim();
    }
    this.buffer = this.buffer.slice(end + 4);
    this.onHead(startLine, headers);
    if (headers['transfer-encoding'] === 'chunked') { this.state = 'size'; return true; }
    this.left = Number(headers['content-length'] ?? 0);
    if (this.left === 0) return this.finish();
    this.state = 'body';
    return true;
  }
  readChunkSize() {
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) return false;
    this.left = parseInt(this.buffer.slice(0, end), 16);
    this.buffer = this.buffer.slice(end + 2);
    this.state = this.left === 0 ? 'last' : 'chunk';
    return true;
  }
  skipLineEnd(next) {
    if (this.buffer.length < 2) return false;
    this.buffer = this.buffer.slice(2);
    this.state = next;
    return true;
  }
  readBody() {
    const part = this.buffer.slice(0, this.left);
    this.buffer = this.buffer.slice(part.length);
    this.left -= part.length;
    this.onData(part);
    if (this.left > 0) return false;
    if (this.state === 'chunk') { this.state = 'chunk-end'; return true; }
    return this.finish();
  }
  finish() {
    this.state = 'head';
    this.onEnd();
    return true;
  }
}

// ---- model servers ----
const heldStates = new Map();  // id of a request -> name of the reader that holds its state
const sentByClients = new Set();  // ids of the requests that a client of this run has sent

// A model server. A reader answers 202 after `readMs` and holds the state; a writer takes the state and streams
// `events` events, `eventMs` apart, the first one after `firstMs`.
export class ModelServer {
  constructor(name, role, { site = 'a', block = 1, readMs = 120, firstMs = 60, eventMs = 50, events = 12 } = {}) {
    Object.assign(this, { name, role, site, block, readMs, firstMs, eventMs, events, arrivals: [], unknown: [] });
  }
  async start() {
    this.server = net.createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
    this.port = await listen(this.server);
    return this;
  }
  entry() {
    return { host: this.name, dial: `${LOOPBACK}:${this.port}`, site: this.site, class: this.role === 'read' ? 'prefill' : 'decode',
      block: this.block, health: 'up', share: 1.0, born_ms: 0 };
  }
  accept(socket) {
    let request = null;
    let firstByteAt = -1;
    const reader = new MessageReader({
      onHead: (startLine, headers) => { request = { startLine, headers, length: 0 }; },
      onData: (part) => { request.length += part.length; },
      onEnd: () => { this.serve(socket, { ...request, firstByteAt }); firstByteAt = -1; },
    });
    socket.setNoDelay(true);
    socket.setEncoding('latin1');
    socket.on('data', (bytes) => { if (firstByteAt < 0) firstByteAt = now(); reader.feed(bytes); });
    socket.on('end', () => socket.destroy());
    socket.on('error', () => {});
  }
  serve(socket, { startLine, headers, length, firstByteAt }) {
    const [method, target] = startLine.split(' ');
    const room = /^\/bootstrap\/rooms\/(.+)$/.exec(target);
    if (room) {
      record('release', { server: this.name, txn: room[1], method });
      if (method === 'DELETE') heldStates.delete(room[1]);
      return socket.write('HTTP/1.1 204 No Content\r\n\r\n');
    }
    const txn = headers['x-txn'];
    if (!sentByClients.has(txn)) return this.rejectUnknown(socket, startLine, txn);
    if (headers['content-length'] !== undefined && headers['transfer-encoding'] !== undefined) record('both-lengths', { server: this.name, txn });
    this.arrivals.push({ txn, firstByteAt, at: now() });
    record('attempt', { server: this.name, role: this.role, txn, bodyBytes: length, told: headers['x-remaining'] });
    if (this.role === 'read') return void setTimeout(() => this.sendReadDone(socket, txn), this.readMs);
    if (!heldStates.delete(txn)) {
      record('no-state', { server: this.name, txn });
      return socket.write('HTTP/1.1 410 Gone\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n');
    }
    setTimeout(() => this.streamEvents(socket, txn), this.firstMs);
  }
  // A request whose id no client has sent: recorded, and answered with 400.
  rejectUnknown(socket, startLine, txn) {
    this.unknown.push(txn);
    record('work-that-nobody-sent', { server: this.name, startLine, txn });
    socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
  }
  sendReadDone(socket, txn) {
    if (socket.destroyed) return;
    heldStates.set(txn, this.name);
    record('read-done', { server: this.name, txn });
    const body = '{"cached_tokens":0}';
    socket.write(`HTTP/1.1 202 Accepted\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  }
  streamEvents(socket, txn) {
    if (socket.destroyed) return;
    let sent = 0;
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n');
    const sendNext = () => {
      if (socket.destroyed) return record('stream-given-up', { server: this.name, txn, sent });
      const last = sent === this.events;
      const event = last ? 'data: [DONE]\n\n' : `data: {"choices":[{"index":0,"delta":{"content":"${txn}:${sent}"}}]}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n${last ? '0\r\n\r\n' : ''}`);
      if (last) return record('stream-done', { server: this.name, txn, sent });
      ++sent;
      setTimeout(sendNext, this.eventMs);
    };
    sendNext();
  }
}

// ---- discovery ----
// The agent on the gateway's machine: answers a plain call with the whole list, and a watch, when its wait is over, with
// no changes, as the list never changes here.
export class Discovery {
  constructor(servers) { this.servers = servers; }
  async start() {
    this.server = net.createServer((socket) => this.accept(socket));
    this.port = await listen(this.server);
    return this;
  }
  accept(socket) {
    socket.setEncoding('latin1');
    const reader = new MessageReader({ onHead: (startLine) => this.onCall(socket, startLine.split(' ')[1]) });
    socket.on('data', (bytes) => reader.feed(bytes));
    socket.on('error', () => {});
  }
  onCall(socket, target) {
    const query = new URL(target, 'http://x').searchParams;
    if (query.get('from') === null) return this.answer(socket, true);
    setTimeout(() => this.answer(socket, false), Number(query.get('hold_ms') ?? 0));
  }
  answer(socket, whole) {
    if (socket.destroyed) return;
    const body = JSON.stringify({ seq: 41, whole, hosts: whole ? this.servers.map((server) => server.entry()) : [] });
    socket.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  }
}

// ---- the gateway ----
// The process started by `run` of the deploy file, set up by the GW_ variables.
export class Gateway {
  // `known`: the list as this gateway last had it. `settings`: changes to the settings below.
  async start({ discoveryPort, known, settings = {}, limits = {} }) {
    this.dir = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.port = await freePort();
    this.file = path.join(this.dir, 'config.json');
    this.discoveryPort = discoveryPort;
    this.config = { name: 'n0', listen: `${LOOPBACK}:${this.port}`, seed: '8c1f30d27a5be964',
      limits: { cores: 1.0, memory_mb: 192, sockets: 1024, ...limits }, known, settings: { ...smallDeployment(), ...settings } };
    this.writeConfig();
    this.spawn();
    return this;
  }
  writeConfig() {
    const text = JSON.stringify({ ...this.config, discovery: `${LOOPBACK}:${this.discoveryPort}` });
    writeFileSync(`${this.file}.new`, text);
    renameSync(`${this.file}.new`, this.file);
  }
  spawn() {
    const deploy = readFileSync(path.join(repository, 'deploy/balancer.toml'), 'utf8');
    const command = /^run = "([^"]+)"/m.exec(deploy)[1];
    this.stderr = '';
    this.startedAt = now();
    this.child = spawn('/bin/sh', ['-c', command], { cwd: repository, stdio: ['ignore', 'ignore', 'pipe'],
      env: { PATH: process.env.PATH, TMPDIR: this.dir, GW_NAME: 'n0', GW_LISTEN: this.config.listen,
        GW_DISCOVERY: `${LOOPBACK}:${this.discoveryPort}`, GW_CONFIG: this.file } });
    children.push(this.child);
    this.child.stderr.on('data', (bytes) => { this.stderr += bytes; });
    this.exited = new Promise((resolve) => this.child.on('close', (code, signal) => {
      record('gateway-exit', { code, signal });
      resolve({ code, signal });
    }));
    record('gateway-start', { pid: this.child.pid });
  }
  get running() { return this.child.exitCode === null && this.child.signalCode === null; }
  // Waits until GET /-/ready answers 200, as the front does; the case can't run without that.
  async ready() {
    for (const deadline = now() + 30000; now() < deadline; await sleep(20)) {
      if (!this.running) break;
      if (await this.probe() === 200) return record('gateway-ready');
    }
    console.error(`the gateway did not become ready: ${this.stderr}`);
    process.exit(2);
  }
  probe() {
    return new Promise((resolve) => {
      const socket = net.connect(this.port, LOOPBACK, () => socket.write('GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n'));
      let text = '';
      socket.on('data', (bytes) => { text += bytes; });
      socket.on('error', () => resolve(0));
      socket.on('close', () => resolve(Number(text.split(' ')[1] ?? 0)));
    });
  }
  signal(name) {
    record('signal', { name });
    this.child.kill(name);
  }
  async end() {
    if (this.running) this.signal('SIGKILL');
    await this.exited;
    rmSync(this.dir, { recursive: true, force: true });
  }
}

// The settings of a small deployment, in the form and with the names of the simulator's first message.
export function smallDeployment({ effect = 'repeatable' } = {}) {
  const lane = (Name, SloMs, DeadlineMs, Importance) =>
    ({ Name, SloMs, DeadlineMs, Importance, LateShare: 0.3, Effect: effect, Group: 'all', Streaming: true, WindowMs: 5000 });
  return { Azs: ['a'], Zone: 'a', Balancers: 1, Me: 0, Flavors: ['prefill', 'decode'], Discovery: 'push', Weights: 'rough', ServiceType: 'twostage',
    StepMs: 4, ValueBy: 'work', OverShareWorth: 0.05,
    FamilyInfo: { RoleByKind: ['read', 'write'], KindMemoryTokens: [252552, 133750], LetGoByMs: 1000, LocalRead: false, Resume: true, Ahead: true,
      AimUsPer1000PromptTokens: [40000, 60000], TokenAimMs: [60, 50], FarPrice: 0.02 },
    Ceilings: { AttemptsCap: 6, Cancel: true, DialTimeoutMs: 250, IdleCloseMs: 15000, MaxOpen: 20000, MaxRetryAfterMs: 1000, Peers: false, Probes: false,
      RetryAfter: false, SecondCopies: false, StreamsPerConn: 32 },
    Guarantees: { AnswerSlackMs: 16, AskWithinMs: 10000, DrainGraceMs: 250, FallMultiple: 2.5, StartCapacity: 0.29, TipAfterMs: 2000, WarmWithinMs: 13000 },
    Lanes: [lane('order-help', 1500, 6000, 3), lane('slot-check', 1000, 5000, 1)],
    Tenants: [{ Name: 'home-delivery', Share: 1, QuotaPerS: 100 }] };
}

// ---- clients ----
// A request of the form in PROTOCOL.md, with a body of four characters a prompt token.
export function makeRequest(txn, { promptTokens = 1800, remainingMs = 6000, lane = 'order-help' } = {}) {
  sentByClients.add(txn);
  const frame = (content) => `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"${content}"}]}`;
  const body = frame('x'.repeat(Math.max(0, 4 * promptTokens - frame('').length)));
  const head = `POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: ${txn}\r\nX-Lane: ${lane}\r\nX-Org: home-delivery\r\n` +
    `X-Entity: s-${txn}\r\nX-Remaining: ${remainingMs}m\r\nX-Labels: prompt_len=${promptTokens},max_out=200\r\nContent-Length: ${body.length}\r\n\r\n`;
  return { txn, bytes: head + body, remainingMs, sentAt: -1, status: 0, endedAt: -1, end: '', text: '' };
}

// A connection of a client to the gateway. Answers come in the order of the requests; a connection that ends leaves
// `end` of each unanswered request at how it ended.
export class ClientConnection {
  constructor(port) {
    this.open = [];
    this.ended = false;
    this.socket = net.connect({ port, host: LOOPBACK });
    this.socket.setNoDelay(true);
    this.socket.setEncoding('latin1');
    this.connected = new Promise((resolve) => { this.socket.on('connect', resolve); this.socket.on('close', resolve); });
    const reader = new MessageReader({
      onHead: (startLine) => { if (this.open[0]) this.open[0].status = Number(startLine.split(' ')[1]); },
      onData: (part) => { if (this.open[0]) this.open[0].text += part; },
      onEnd: () => this.close1('answered'),
    });
    this.socket.on('data', (bytes) => reader.feed(bytes));
    this.socket.on('end', () => this.closeAll('closed by the gateway'));
    this.socket.on('error', (error) => this.closeAll(error.code));
    this.socket.on('close', () => this.closeAll('closed'));
  }
  // Sends the requests in one write; resolves when each has been answered or the connection has ended.
  send(requests) {
    const done = requests.map((request) => new Promise((resolve) => { request.resolve = resolve; }));
    this.socket.write(requests.map((request) => request.bytes).join(''), 'latin1', () => {
      for (const request of requests) {
        request.sentAt = now();
        record('sent', { txn: request.txn, bytes: request.bytes.length, remaining: request.remainingMs });
      }
    });
    this.open.push(...requests);
    return Promise.all(done);
  }
  // Sends a request in `pieces` pieces over `durationMs`; resolves as send() does.
  async sendSlowly(request, pieces, durationMs) {
    const done = new Promise((resolve) => { request.resolve = resolve; });
    this.open.push(request);
    const size = Math.ceil(request.bytes.length / pieces);
    const begunAt = now();
    for (let piece = 0; piece < pieces && !this.ended; ++piece) {
      if (piece > 0) await sleep(Math.max(0, begunAt + (piece * durationMs) / (pieces - 1) - now()));
      this.socket.write(request.bytes.slice(piece * size, (piece + 1) * size), 'latin1');
    }
    if (!this.ended) {
      request.sentAt = now();
      record('sent', { txn: request.txn, bytes: request.bytes.length, remaining: request.remainingMs, overMs: durationMs });
    }
    return done;
  }
  close1(end) {
    const request = this.open.shift();
    if (!request) return;
    Object.assign(request, { end, endedAt: now() });
    record('client-result', { txn: request.txn, status: request.status, end });
    request.resolve(request);
  }
  closeAll(end) {
    this.ended = true;
    while (this.open.length > 0) this.close1(end);
  }
  close() {
    this.ended = true;
    this.socket.destroy();
  }
}

// Ends a run: prints what was found and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
export async function finish(gateways, { checked, broken, text }) {
  const crashed = gateways.some((gateway) => !gateway.running);
  record('verdict', { checked, broken: broken.length, text });
  for (const line of broken.slice(0, 10)) console.log(`broken: ${line}`);
  for (const gateway of gateways) await gateway.end();
  console.log(`${text}; trouble ${trouble ? 'on' : 'off'}`);
  if (crashed) { console.log('a gateway ended by itself'); process.exit(1); }
  process.exit(broken.length > 0 ? 1 : checked > 0 ? 0 : 2);
}
