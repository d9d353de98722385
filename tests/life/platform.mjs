// What tests of `gorsenotch node` share: stand-ins of model servers and discovery, and the process itself.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';

export const program = process.env.GORSENOTCH;
// A test that fails leaves no process behind.
const children = [];
process.on('exit', () => { for (const child of children) child.kill('SIGKILL'); });

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const listen = (server) => new Promise((done) => server.listen(0, '127.0.0.1', () => done(server.address().port)));
export const freePort = async () => { const s = net.createServer(); const p = await listen(s); await new Promise((d) => s.close(d)); return p; };
export async function until(what, holds, ms = 8000) {
  const end = Date.now() + ms;
  while (!holds()) { assert.ok(Date.now() < end, `not in time: ${what}`); await sleep(5); }
}

// A model server: `role` read or write; `behave(req, res)` may take a request over by returning true.
export class Engine {
  seen = []; behave = () => false; open = new Set();
  async start(name, role) {
    this.name = name; this.role = role;
    this.server = http.createServer((req, res) => {
      let body = '';
      req.on('data', (d) => { body += d; });
      req.on('end', () => {
        const r = { method: req.method, url: req.url, headers: req.headers, body, closed: false, at: Date.now() };
        this.seen.push(r);
        res.on('close', () => { r.closed = true; });
        if (this.behave(r, res)) return;
        if (req.method === 'DELETE') { res.writeHead(204); res.end(); return; }
        if (role === 'read') { res.writeHead(202); res.end('{"cached_tokens":7}'); return; }
        res.writeHead(200, { 'content-type': 'text/event-stream' });
        res.write('data: {"a":"\u00e9"}\n\n');
        setTimeout(() => res.end('data: [DONE]\n\n'), 20);
      });
    });
    this.server.on('connection', (s) => { this.open.add(s); s.on('close', () => this.open.delete(s)); });
    this.port = await listen(this.server);
    return this;
  }
  host(health = 'up') {
    return { host: this.name, dial: `127.0.0.1:${this.port}`, site: 'a', class: this.role === 'read' ? 'prefill' : 'decode',
      block: 0, health, share: 1.0, born_ms: 0 };
  }
  stop() { for (const s of this.open) s.destroy(); this.server.close(); }
}

export class Discovery {
  seq = 1; hosts = []; waiting = []; calls = 0; open = new Set();
  async start(hosts, seq = 1) {
    this.hosts = hosts; this.seq = seq;
    this.server = http.createServer((req, res) => {
      ++this.calls;
      const from = new URL(req.url, 'http://x').searchParams.get('from');
      if (from !== null && Number(from) >= this.seq) { this.waiting.push(res); return; }
      this.tell(res);
    });
    this.server.on('connection', (s) => { this.open.add(s); s.on('close', () => this.open.delete(s)); });
    this.port = await listen(this.server);
    return this;
  }
  tell(res) { res.end(JSON.stringify({ seq: this.seq, whole: true, hosts: this.hosts })); }
  change(hosts) { this.hosts = hosts; ++this.seq; for (const res of this.waiting.splice(0)) this.tell(res); }
  stop() { for (const s of this.open) s.destroy(); this.server.close(); }
}

export class Gateway {
  err = '';
  // `env`: more of the environment. `ready`: whether to wait until it is. `guarantees`: more of the settings. `port`: to listen on.
  async start(discovery, known = [], { env = {}, ready = true, guarantees = {}, port } = {}) {
    this.guarantees = guarantees;
    this.dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-node-'));
    this.file = path.join(this.dir, 'config.json');
    this.port = port ?? await freePort();
    this.known = known;
    this.write(discovery);
    this.child = spawn(program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, ...env, GW_NAME: 'n0',
      GW_LISTEN: `127.0.0.1:${this.port}`, GW_DISCOVERY: `127.0.0.1:${discovery}`, GW_CONFIG: this.file } });
    children.push(this.child);
    this.child.stderr.on('data', (d) => { this.err += d; });
    this.ended = new Promise((done) => this.child.on('close', (code, signal) => done({ code, signal })));
    if (ready) await until('ready', () => /"ready"/.test(this.err));
    return this;
  }
  write(discovery, text) {
    writeFileSync(`${this.file}.new`, text ?? JSON.stringify({ name: 'n0', listen: `127.0.0.1:${this.port}`,
      discovery: `127.0.0.1:${discovery}`, seed: '0123456789abcdef', limits: { cores: 1, memory_mb: 64, sockets: 256 },
      known: { seq: 0, whole: true, hosts: this.known },
      settings: { Azs: ['a', 'b'], Zone: 'a', Balancers: this.gateways ?? 1, Flavors: ['prefill', 'decode'],
        FamilyInfo: { RoleByKind: ['read', 'write'], KindMemoryTokens: [200000, 150000], LetGoByMs: 1000, Resume: true,
          TokenAimMs: [60], AimUsPer1000PromptTokens: [40000] },
        Ceilings: { AttemptsCap: 6, Cancel: true, DialTimeoutMs: 250, IdleCloseMs: 15000, RetryAfter: false },
        Guarantees: { DrainGraceMs: 250, ...this.guarantees },
        Lanes: [{ Name: 'chat', SloMs: 1500, DeadlineMs: 3000, Importance: 1, Effect: 'repeatable', Streaming: true }],
        Tenants: [{ Name: 'acme', QuotaPerS: 1000 }], StepMs: 4 } }));
    renameSync(`${this.file}.new`, this.file);
  }
  // A new configuration, carried out once the new discovery holds this gateway's watch.
  async moveTo(discovery, ms) {
    this.write(discovery.port);
    this.child.kill('SIGHUP');
    await until('the watch of the new discovery', () => discovery.waiting.length === 1, ms);
  }
  // Resolves with status, text and whether the answer was whole.
  ask(txn, { headers = {}, agent } = {}) {
    return new Promise((done) => {
      const req = http.request({ host: '127.0.0.1', port: this.port, path: '/v1/chat/completions?x=1', method: 'POST', agent,
        headers: { 'x-txn': txn, 'x-lane': 'chat', 'x-org': 'acme', 'x-entity': 'e1', 'x-remaining': '2500m',
          'x-labels': 'prompt_len=100,max_out=50', ...headers } }, (res) => {
        let text = '';
        res.setEncoding('utf8');
        res.on('data', (d) => { text += d; });
        res.on('close', () => done({ status: res.statusCode, text, whole: res.complete, headers: res.headers }));
        res.on('error', () => {});
      });
      req.on('error', (e) => done({ status: 0, error: e.code }));
      req.end('{"model":"chat","stream":true}');
    });
  }
  // Sends bytes as they are; what came back until the end.
  raw(bytes, ms = 4000) {
    return new Promise((done) => {
      let text = '';
      const s = net.connect(this.port, '127.0.0.1', () => { if (bytes) s.write(bytes); });
      const timer = setTimeout(() => { s.destroy(); done('still open'); }, ms);
      s.on('data', (d) => { text += d; });
      s.on('error', () => {});
      s.on('close', () => { clearTimeout(timer); done(text); });
    });
  }
  async end(signal = 'SIGTERM') {
    this.child.kill(signal);
    const e = await this.ended;
    assert.doesNotMatch(this.err, /Sanitizer|runtime error|destroyed before/, this.err);
    rmSync(this.dir, { recursive: true });
    return e;
  }
}
