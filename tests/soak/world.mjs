// One run: stand-ins, processes under test, clients and troubles on one monotonic clock; then the oracle's verdict.
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { Addresses } from './addresses.mjs';
import { Clients } from './clients.mjs';
import { Discovery } from './discovery.mjs';
import { Gateway } from './gateways.mjs';
import { judge } from './oracle.mjs';
import { without } from './objects.mjs';
import { Paths } from './paths.mjs';
import { Random } from './random.mjs';
import { ModelServer } from './servers.mjs';
import { begin } from './troubles.mjs';

const MOST_SERVERS = 40;
const MOST_TRACES = 10;  // of each rule
const SETTLE = 8000;    // ms after the load in which everything has to come to its end
const LAST_STOP = 6000; // ms for the processes to end by themselves after it

export class World {
  constructor(schedule, { program, library, dir }) {
    Object.assign(this, { schedule, program, library, dir });
    this.random = new Random(schedule.seed, 'world');
    this.records = { requests: [], attempts: [], releases: [], states: [], starts: [], bad: [], reloads: [] };
    this.early = [];   // violations seen as they happened
    this.armed = [];   // troubles that wait for their moment
    this.faultTimes = [];  // {gateway, call, error, from, to}
    this.floods = [];      // {gateway, from, to}
    this.lates = [];       // {at, late}: this host's own delays
    this.began = [];       // {id, at}: when each trouble began in truth
    this.states = new Map();  // txn -> records of states held
    this.servers = [];
    this.addresses = new Addresses(process.pid);
    this.gateways = [];
    this.over = this.loadOver = false;
    this.quietUntil = 0;  // clients rest until then
    this.origin = performance.now();
  }
  now() { return performance.now() - this.origin; }
  sleep(ms) { return new Promise((done) => setTimeout(done, ms)); }
  address(kind, rank) { return this.addresses.of(kind, rank); }
  // Its path is open once `reachable` resolves. Nothing where no address is left.
  addServer(role, zone, block) {
    const rank = this.servers.length;
    if (rank >= MOST_SERVERS) return null;
    const server = new ModelServer(this, `${role[0]}${rank}`, role, zone, block, this.address('server', rank));
    this.servers.push(server);
    server.addedAt = this.now();
    server.path = this.address('path', rank);
    server.reachable = this.paths.add(server, server.path);
    return server;
  }
  server(name) { return this.servers.find((s) => s.name === name); }
  // What a warm server of the role can do a second: its share of the load at a bit over half its capacity.
  capacity(role) {
    const { load, gateways } = this.schedule;
    return load.perGateway * gateways / (role === 'read' ? load.readers : load.writers) / 0.55;
  }
  violation(rule, txn, why) { this.early.push({ rule, txn, why, at: Math.round(this.now()) }); }

  // ---- states that reads leave ----
  hold(attempt, server, kept) {
    const record = { txn: attempt.txn, server: server.name, at: this.now() };
    this.records.states.push(record);
    server.states.set(attempt.txn, record);
    if (!this.states.has(attempt.txn)) this.states.set(attempt.txn, []);
    this.states.get(attempt.txn).push(record);
    setTimeout(() => { if (server.states.get(attempt.txn) === record) server.states.delete(attempt.txn); }, kept);
  }
  held(txn) { return (this.states.get(txn) ?? []).filter((s) => !s.gone && !s.taken && !s.released); }
  // A write that has arrived and is still out: what is held for its request is kept for it.
  awaited(txn) { return this.records.attempts.some((a) => a.txn === txn && a.role === 'write' && a.endedAt < 0); }
  take(txn, at) {
    const held = this.held(txn);
    for (const s of held) s.taken = at;
    return held.length > 0;
  }
  // Lets go of what no attempt waits for, and of what a read under way will leave.
  release(txn, at) {
    for (const a of this.records.attempts) if (a.txn === txn && a.role === 'read' && a.endedAt < 0) a.releasedAhead = true;
    const held = this.held(txn);
    if (held.length === 0 || this.awaited(txn)) return;
    for (const s of held) s.released = at;
  }

  // ---- this host's own delays ----
  watchDelays() {
    let last = this.now();
    this.pulse = setInterval(() => {
      const now = this.now();
      if (now - last > 6) this.lates.push({ at: now, late: now - last - 4 });
      last = now;
    }, 4);
    const waited = new Map();
    this.sampler = setInterval(() => {
      for (const g of this.gateways) {
        if (!g.running) continue;
        try {
          const ms = Number(readFileSync(`/proc/${g.child.pid}/schedstat`, 'utf8').split(' ')[1]) / 1e6;
          const before = waited.get(g.child.pid);
          if (before !== undefined && ms - before > 3) this.lates.push({ at: this.now(), late: ms - before, span: 100 });
          waited.set(g.child.pid, ms);
        } catch { /* it has just ended */ }
      }
    }, 100);
  }
  delay(from, to) {
    let worst = 0;
    for (const l of this.lates) if (l.at >= from - 5 && l.at - l.late - (l.span ?? 0) <= to + 50) worst = Math.max(worst, l.late);
    return 10 + worst;
  }
  arrived(attempt) { this.moment('attempt-arrived', attempt); }

  // ---- troubles ----
  moment(kind, attempt, gateway) {
    for (const t of this.armed) {
      if (t.moment !== kind || (gateway && gateway.rank !== t.gateway)) continue;
      this.armed = this.armed.filter((x) => x !== t);
      setTimeout(() => this.begin(t), t.offset);
    }
  }
  arm(trouble) {
    if (trouble.moment === 'now') return this.begin(trouble);
    this.armed.push(trouble);
    setTimeout(() => {
      if (!this.armed.includes(trouble)) return;
      this.armed = this.armed.filter((x) => x !== trouble);
      this.begin(trouble);
    }, 1000);
  }
  begin(trouble) {
    if (this.loadOver) return;
    this.began.push({ id: trouble.id, at: Math.round(this.now()), kind: trouble.kind, gateway: trouble.gateway });
    begin(this, trouble);
  }
  faultAt(gateway, at, calls) {
    return this.faultTimes.filter((f) => f.gateway === gateway && calls.includes(f.call) && at >= f.from - 50 && at <= f.to + 500).map((f) => f.error);
  }
  crowded(gateway, at) { return this.floods.some((f) => f.gateway === gateway && at >= f.from - 50 && at <= f.to + 3000); }

  // ---- the run ----
  async run() {
    const { schedule } = this;
    mkdirSync(this.dir, { recursive: true });
    this.paths = new Paths(this);
    for (const [role, count] of [['read', schedule.load.readers], ['write', schedule.load.writers]]) {
      for (let i = 0; i < count; ++i) {
        const zone = i % 2 === 0 ? 'a' : 'b';
        const block = zone === 'a' ? 1 : 2;
        const server = this.addServer(role, zone, i < 4 ? block : block + 2);
        await Promise.all([server.listen(), server.reachable]);
      }
    }
    this.discovery = new Discovery(this);
    for (let i = 0; i < schedule.gateways; ++i) this.gateways.push(new Gateway(this, i));
    for (const g of this.gateways) await g.prepare();
    this.watchDelays();
    for (const g of this.gateways) g.start();
    const readyBy = this.now() + 30000;
    while (this.gateways.some((g) => g.running && g.life.ready < 0) && this.now() < readyBy) await this.sleep(20);
    const start = this.now();
    for (const g of this.gateways) {
      g.clients = new Clients(this, g, this.random.stream(`clients${g.rank}`));
      g.clients.start(1000 / schedule.load.perGateway);
    }
    for (const t of schedule.troubles) setTimeout(() => this.arm(t), t.at);
    this.whenLoaded?.();  // of a run whose troubles are not drawn
    await this.sleep(schedule.seconds * 1000);
    this.loadOver = true;
    this.loadEndedAt = this.now();
    this.loadFrom = start;
    await this.sleep(SETTLE);
    await this.stopAll();
    this.endedAt = this.now();
    clearInterval(this.pulse);
    clearInterval(this.sampler);
    this.over = true;
    const verdict = judge(this);
    const traced = {};
    for (const v of verdict.violations) {
      traced[v.rule] = (traced[v.rule] ?? 0) + 1;
      if (traced[v.rule] <= MOST_TRACES) v.trace = this.trace(v);
    }
    return verdict;
  }
  async stopAll() {
    while (this.gateways.some((g) => g.restarting)) await this.sleep(20);
    this.over = true;
    for (const g of this.gateways) g.signal('SIGTERM');
    const by = this.now() + LAST_STOP;
    while (this.gateways.some((g) => g.running) && this.now() < by) await this.sleep(20);
    for (const g of this.gateways) {
      if (!g.running) continue;
      this.violation('stop', '-', `gateway ${g.rank} did not end within ${LAST_STOP} ms of SIGTERM though nothing was open`);
      g.signal('SIGKILL');
      await g.life.done;
    }
  }
  close() {
    for (const s of this.servers) s.stop();
    this.paths.stop();
    for (const g of this.gateways) { for (const c of [...g.clients.all]) c.socket.destroy(); g.close(); }
  }
  // All that is known of a violation, in a file of its own.
  trace(violation) {
    const file = path.join(this.dir, `violation-${violation.rule}-${violation.txn.replace(/\W/g, '_')}.json`);
    const plain = (request) => without(request, ['connection', 'crossed', 'first', 'bytes']);
    const requests = this.records.requests.filter((r) => r.txn === violation.txn);
    const rank = requests[0]?.gateway;
    const text = {
      violation,
      troubles: this.began.filter((t) => Math.abs(t.at - violation.at) < 8000),
      requests: requests.map(plain),
      attempts: this.records.attempts.filter((a) => a.txn === violation.txn),
      states: this.records.states.filter((s) => s.txn === violation.txn),
      cuts: this.paths.cuts.filter((c) => c.from < violation.at + 1000 && c.to > violation.at - 8000),
      releases: this.records.releases.filter((r) => r.txn === violation.txn),
      lives: rank === undefined ? [] : this.gateways[rank].lives.map((life) => without(life, ['done', 'whenEnded', 'state'])),
      stops: rank === undefined ? [] : this.gateways[rank].stops,
      servers: this.servers.map((s) => [s.name, s.health, Boolean(s.server)]),
      changes: this.discovery.changes.filter((c) => Math.abs(c.at - violation.at) < 10000),
    };
    writeFileSync(file, JSON.stringify(text, null, 1));
    return file;
  }
}
