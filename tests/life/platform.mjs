// Shared by the tests of `gorsenotch node`: fake model servers, a fake discovery service and the gateway process.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';

export const program = process.env.GORSENOTCH;
// Child processes, killed on exit so that a failed test leaves none running.
const children = [];
process.on('exit', () => { for (const child of children) child.kill('SIGKILL'); });

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
// Listens on a free loopback port; resolves with the port.
export const listen = (server) => new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server.address().port)));
// Ports below those that the system gives to connections: one of these may be taken between the choice of a port and its use.
// Test files run side by side, so each begins elsewhere.
const FIRST_PORT = 10000, LAST_PORT = 32000, PORTS_A_PROCESS = 220;
let lastPort = FIRST_PORT + (process.pid * PORTS_A_PROCESS) % (LAST_PORT - FIRST_PORT);
export const findFreePort = async () => {
  for (;;) {
    lastPort = lastPort < LAST_PORT ? lastPort + 1 : FIRST_PORT;
    const port = lastPort, server = net.createServer();
    const isFree = await new Promise((resolve) => server.once('error', () => resolve(false)).listen(port, '127.0.0.1', () => resolve(true)));
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
};
// Polls `condition` until it holds; fails the test after `timeoutMs`.
export async function waitUntil(description, condition, timeoutMs = 8000) {
  const deadline = Date.now() + timeoutMs;
  while (!condition()) { assert.ok(Date.now() < deadline, `timed out after ${timeoutMs} ms waiting for: ${description}`); await sleep(5); }
}

// The size `name` (VmHWM: the peak, VmRSS: now) of a process, in MB. Fails for a sanitizer build, which needs several times the memory.
export function processMemoryMb(pid, name) {
  assert.doesNotMatch(readFileSync(`/proc/${pid}/maps`, 'utf8'), /libasan/, 'a sanitizer build');
  return Number(new RegExp(`${name}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024;
}
export function assertPeakWithin(pid, limitMb) {
  const peak = processMemoryMb(pid, 'VmHWM');
  assert.ok(peak <= limitMb, `the process held ${peak.toFixed(1)} MB of ${limitMb}`);
}

// A fake model server with the role `read` (prefill) or `write` (decode). `handler(request, response)` replaces the default
// answer to a request when it returns true.
export class Engine {
  requests = []; handler = () => false; sockets = new Set();
  async start(name, role) {
    this.name = name; this.role = role;
    this.server = http.createServer((message, response) => {
      let body = '';
      message.on('data', (chunk) => { body += chunk; });
      message.on('end', () => {
        const request = { method: message.method, url: message.url, headers: message.headers, body, closed: false, receivedAt: Date.now() };
        this.requests.push(request);
        response.on('close', () => { request.closed = true; });
        if (this.handler(request, response)) return;
        if (message.method === 'DELETE') { response.writeHead(204); response.end(); return; }
        if (role === 'read') { response.writeHead(202); response.end('{"cached_tokens":7}'); return; }
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.write('data: {"a":"\u00e9"}\n\n');
        setTimeout(() => response.end('data: [DONE]\n\n'), 20);
      });
    });
    this.server.on('connection', (socket) => { this.sockets.add(socket); socket.on('close', () => this.sockets.delete(socket)); });
    this.port = await listen(this.server);
    return this;
  }
  // This server's entry in the endpoint list of discovery.
  hostEntry(health = 'up') {
    return { host: this.name, dial: `127.0.0.1:${this.port}`, site: 'a', class: this.role === 'read' ? 'prefill' : 'decode',
      block: 0, health, share: 1.0, born_ms: 0 };
  }
  stop() { for (const socket of this.sockets) socket.destroy(); this.server.close(); }
}

// A fake discovery service. A request whose `from` is the current sequence number is a watch: it is answered at the next change.
export class Discovery {
  seq = 1; hosts = []; pendingWatches = []; requestCount = 0; sockets = new Set();
  async start(hosts, seq = 1) {
    this.hosts = hosts; this.seq = seq;
    this.server = http.createServer((request, response) => {
      ++this.requestCount;
      const from = new URL(request.url, 'http://x').searchParams.get('from');
      if (from !== null && Number(from) >= this.seq) { this.pendingWatches.push(response); return; }
      this.sendList(response);
    });
    this.server.on('connection', (socket) => { this.sockets.add(socket); socket.on('close', () => this.sockets.delete(socket)); });
    this.port = await listen(this.server);
    return this;
  }
  sendList(response) { response.end(JSON.stringify({ seq: this.seq, whole: true, hosts: this.hosts })); }
  // Publishes a new list and answers the pending watches with it.
  update(hosts) { this.hosts = hosts; ++this.seq; for (const response of this.pendingWatches.splice(0)) this.sendList(response); }
  stop() { for (const socket of this.sockets) socket.destroy(); this.server.close(); }
}

// The bytes of a chat completion request. `headers`: further header lines, each ended.
export const rawRequest = (id, { headers = '', lane = 'chat', remainingMs = 2500, body = '{}' } = {}) => 'POST /v1/chat/completions HTTP/1.1\r\n' +
  `x-txn: ${id}\r\nx-lane: ${lane}\r\nx-org: acme\r\nx-remaining: ${remainingMs}m\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;

// The head of a decode engine's answer on a connection of its own, and one chunk of its body.
export const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n';
export const chunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;

// A client that sends one request on a connection of its own and reads all that it gets; its properties tell what it got.
export class StreamClient {
  text = ''; endedAt = 0; firstByteAt = 0; lastByteAt = 0;
  constructor(gateway, txn, options = {}) {
    this.txn = txn;
    this.sentAt = Date.now();
    this.ended = new Promise((resolve) => {
      this.socket = net.connect(gateway.port, '127.0.0.1', () => this.socket.write(rawRequest(txn, { headers: 'connection: close\r\n', ...options })));
      this.socket.setEncoding('latin1');
      this.socket.on('data', (bytes) => { this.text += bytes; this.lastByteAt = Date.now(); this.firstByteAt ||= this.lastByteAt; });
      this.socket.on('error', () => {});
      this.socket.on('close', () => { this.endedAt = Date.now(); resolve(); });
    });
  }
  // The body of the answer, as far as it was received.
  get body() {
    if (/^content-length/mi.test(this.text)) return this.text.slice(this.text.indexOf('\r\n\r\n') + 4);
    let body = '', at = this.text.indexOf('\r\n\r\n') + 4;
    for (let size; (size = parseInt(this.text.slice(at, at + 8), 16)) > 0; at += size + 2) {
      at = this.text.indexOf('\r\n', at) + 2;
      body += this.text.slice(at, at + size);
    }
    return body;
  }
  // Whether the answer ended with its last chunk.
  get complete() { return this.text.endsWith('\r\n0\r\n\r\n'); }
}

// A prefill engine, a decode engine, and a discovery service that lists both.
export async function startServices() {
  const prefillEngine = await new Engine().start('r1', 'read');
  const decodeEngine = await new Engine().start('w1', 'write');
  const discovery = await new Discovery().start([prefillEngine.hostEntry(), decodeEngine.hostEntry()]);
  return { prefillEngine, decodeEngine, discovery };
}
// The same with a gateway, which watches discovery for changes. `options`: of Gateway.start.
export async function startDeployment(options = {}) {
  const services = await startServices(), { discovery } = services;
  const gateway = await new Gateway().start(discovery.port, discovery.hosts, options);
  await waitUntil('the gateway to have the list and watch for changes', () => discovery.pendingWatches.length === 1);
  return { ...services, gateway };
}
export async function stopDeployment({ gateway, ...services }) {
  assert.deepEqual(await gateway.stop(), { code: 0, signal: null });
  for (const service of Object.values(services)) service.stop();
}

// A process of `gorsenotch node`.
export class Gateway {
  stderr = ''; guarantees = {}; resume = true; deadlineMs = 3000; limits = { cores: 1, memory_mb: 64, sockets: 256 };
  // `discoveryPort`: of the discovery service. `knownHosts`: the cached endpoint list in the configuration. `env`: additional
  // environment variables. `ready`: whether to wait for the `ready` log line. `guarantees`: additional settings. `port`: to listen on.
  // `resume`: whether clients resume broken streams. `deadlineMs`: of the class `chat`. `limits`: of the process.
  async start(discoveryPort, knownHosts = [], { env = {}, ready = true, guarantees = {}, port, resume = true, deadlineMs = 3000, limits = {} } = {}) {
    Object.assign(this, { guarantees, resume, deadlineMs, limits: { ...this.limits, ...limits } });
    this.dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-node-'));
    this.configFile = path.join(this.dir, 'config.json');
    this.port = port ?? await findFreePort();
    this.knownHosts = knownHosts;
    this.writeConfig(discoveryPort);
    this.child = spawn(program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, ...env, GW_NAME: 'n0',
      GW_LISTEN: `127.0.0.1:${this.port}`, GW_DISCOVERY: `127.0.0.1:${discoveryPort}`, GW_CONFIG: this.configFile } });
    children.push(this.child);
    this.child.stderr.on('data', (chunk) => { this.stderr += chunk; });
    this.exited = new Promise((resolve) => this.child.on('close', (code, signal) => resolve({ code, signal })));
    if (ready) await waitUntil('the gateway to log `ready`', () => /"ready"/.test(this.stderr)).catch((error) => { throw new Error(`${error.message}; exit code ${this.child.exitCode}, log: ${this.stderr}`); });
    return this;
  }
  // Replaces the configuration file atomically, with `text` if given.
  writeConfig(discoveryPort, text) {
    writeFileSync(`${this.configFile}.new`, text ?? JSON.stringify({ name: 'n0', listen: `127.0.0.1:${this.port}`,
      discovery: `127.0.0.1:${discoveryPort}`, seed: '0123456789abcdef', limits: this.limits,
      known: { seq: 0, whole: true, hosts: this.knownHosts },
      settings: { Azs: ['a', 'b'], Zone: 'a', Balancers: this.gatewayCount ?? 1, Flavors: ['prefill', 'decode'],
        FamilyInfo: { RoleByKind: ['read', 'write'], KindMemoryTokens: [200000, 150000], LetGoByMs: 1000, Resume: this.resume,
          TokenAimMs: [60, 60], AimUsPer1000PromptTokens: [40000, 40000] },
        Ceilings: { AttemptsCap: 6, Cancel: true, DialTimeoutMs: 250, IdleCloseMs: 15000, RetryAfter: false },
        Guarantees: { DrainGraceMs: 250, ...this.guarantees },
        Lanes: [{ Name: 'chat', SloMs: Math.min(1500, this.deadlineMs), DeadlineMs: this.deadlineMs, Importance: 1, Effect: 'repeatable', Streaming: true },
          { Name: 'pay', SloMs: Math.min(1500, this.deadlineMs), DeadlineMs: this.deadlineMs, Importance: 1, Effect: 'once', Streaming: true }],
        Tenants: [{ Name: 'acme', QuotaPerS: 1000 }], StepMs: 4 } }));
    renameSync(`${this.configFile}.new`, this.configFile);
  }
  // Reloads a configuration that names another discovery service; waits until that service holds this gateway's watch.
  async switchDiscovery(discovery, timeoutMs) {
    this.writeConfig(discovery.port);
    this.child.kill('SIGHUP');
    await waitUntil('the watch at the new discovery service', () => discovery.pendingWatches.length === 1, timeoutMs);
  }
  // Sends a chat completion request; resolves with its status, its text and whether the response was complete.
  sendRequest(txn, { headers = {}, agent } = {}) {
    return new Promise((resolve) => {
      const request = http.request({ host: '127.0.0.1', port: this.port, path: '/v1/chat/completions?x=1', method: 'POST', agent,
        headers: { 'x-txn': txn, 'x-lane': 'chat', 'x-org': 'acme', 'x-entity': 'e1', 'x-remaining': '2500m',
          'x-labels': 'prompt_len=100,max_out=50', ...headers } }, (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk) => { text += chunk; });
        response.on('close', () => resolve({ status: response.statusCode, text, complete: response.complete, headers: response.headers }));
        response.on('error', () => {});
      });
      request.on('error', (error) => resolve({ status: 0, error: error.code }));
      request.end('{"model":"chat","stream":true}');
    });
  }
  // Sends `bytes` unchanged on a new connection; resolves with what the gateway sent until it closed the connection, or with
  // `still open` after `timeoutMs`.
  sendRaw(bytes, timeoutMs = 4000) {
    return new Promise((resolve) => {
      let text = '';
      const socket = net.connect(this.port, '127.0.0.1', () => { if (bytes) socket.write(bytes); });
      const timer = setTimeout(() => { socket.destroy(); resolve('still open'); }, timeoutMs);
      socket.on('data', (chunk) => { text += chunk; });
      socket.on('error', () => {});
      socket.on('close', () => { clearTimeout(timer); resolve(text); });
    });
  }
  // The latest status line.
  get status() {
    const lines = this.stderr.split('\n').filter((line) => line.includes('"event":"status"'));
    return JSON.parse(lines.at(-1));
  }
  // The count `name` in the object `group` of the latest status line; 0 if there is none.
  statusCount(group, name) { return this.stderr.includes('"event":"status"') ? this.status[group]?.[name] ?? 0 : 0; }
  // Sends `signal` and waits for the exit; fails the test if a sanitizer reported anything.
  async stop(signal = 'SIGTERM') {
    this.child.kill(signal);
    const exit = await this.exited;
    assert.doesNotMatch(this.stderr, /Sanitizer|runtime error|destroyed before/, this.stderr);
    rmSync(this.dir, { recursive: true });
    return exit;
  }
}
