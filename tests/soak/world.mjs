// The harness of one run: simulated peers, gateway processes under test, clients and faults on one monotonic clock; the oracle
// judges the records at the end.
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
import { StepFaults } from './step_faults.mjs';
import { injectFault } from './troubles.mjs';

const MAX_SERVERS = 40;
const MAX_TRACES_PER_RULE = 10;
const SETTLE_MS = 8000;  // after the load, for all open requests to finish
const SHUTDOWN_TIMEOUT_MS = 6000;  // from the final SIGTERM until each process must have exited

// Runs one schedule.
export class Harness {
  constructor(schedule, { program, library, dir }) {
    Object.assign(this, { schedule, program, library, dir });
    this.random = new Random(schedule.seed, 'world');
    this.records = { requests: [], attempts: [], releases: [], leases: [], swallowed: [], starts: [], malformed: [], reloads: [] };
    this.earlyViolations = [];  // violations detected during the run
    this.pendingFaults = [];  // faults that wait for their trigger
    this.callFaultWindows = [];  // {gateway, systemCall, error, from, to}
    this.floods = [];  // {gateway, from, to}
    this.hostDelays = [];  // {at, delayMs, windowMs}: scheduling delays of this host
    this.injected = [];  // {id, at, kind, gateway}: when each fault actually started
    this.stepFaults = new StepFaults(() => this.now());
    this.leases = new Map();  // txn -> records of KV leases
    this.servers = [];
    this.addresses = new Addresses(process.pid);
    this.gateways = [];
    this.runEnded = this.loadEnded = false;
    this.loadPausedUntil = 0;  // clients send no requests until then
    this.origin = performance.now();
  }
  now() { return performance.now() - this.origin; }
  sleep(ms) { return new Promise((resolve) => setTimeout(resolve, ms)); }
  address(kind, rank) { return this.addresses.of(kind, rank); }
  // Adds a server; its path is open once `reachable` resolves. Returns null when no address is left.
  addServer(role, zone, block) {
    const index = this.servers.length;
    if (index >= MAX_SERVERS) return null;
    const server = new ModelServer(this, `${role[0]}${index}`, role, zone, block, this.address('server', index));
    this.servers.push(server);
    server.addedAt = this.now();
    server.path = this.address('path', index);
    server.reachable = this.paths.add(server, server.path);
    return server;
  }
  server(name) { return this.servers.find((server) => server.name === name); }
  // Requests per second that a warm server of the role can serve: its share of the load is 55 % of its capacity.
  warmCapacityPerS(role) {
    const { load, gateways } = this.schedule;
    return load.perGateway * gateways / (role === 'read' ? load.readers : load.writers) / 0.55;
  }
  violation(rule, txn, why) { this.earlyViolations.push({ rule, txn, why, at: Math.round(this.now()) }); }

  // ---- KV leases that prefills create ----
  addLease(attempt, server, retentionMs) {
    const lease = { txn: attempt.txn, server: server.name, at: this.now() };
    this.records.leases.push(lease);
    server.leases.set(attempt.txn, lease);
    if (!this.leases.has(attempt.txn)) this.leases.set(attempt.txn, []);
    this.leases.get(attempt.txn).push(lease);
    setTimeout(() => { if (server.leases.get(attempt.txn) === lease) server.leases.delete(attempt.txn); }, retentionMs);
  }
  openLeases(txn) { return (this.leases.get(txn) ?? []).filter((lease) => !lease.gone && !lease.taken && !lease.released); }
  // Whether a decode attempt of the request has arrived and not ended; it keeps the request's leases in use.
  hasOpenDecodeAttempt(txn) { return this.records.attempts.some((attempt) => attempt.txn === txn && attempt.role === 'write' && attempt.endedAt < 0); }
  takeLeases(txn, at) {
    const leases = this.openLeases(txn);
    for (const lease of leases) lease.taken = at;
    return leases.length > 0;
  }
  // Releases the open leases that no decode attempt uses, and marks prefills in progress so that they create none.
  releaseLeases(txn, at) {
    for (const attempt of this.records.attempts) if (attempt.txn === txn && attempt.role === 'read' && attempt.endedAt < 0) attempt.releasedAhead = true;
    const leases = this.openLeases(txn);
    if (leases.length === 0 || this.hasOpenDecodeAttempt(txn)) return;
    for (const lease of leases) lease.released = at;
  }

  // ---- scheduling delays of this host ----
  measureHostDelays() {
    let previousAt = this.now();
    this.timerDelayProbe = setInterval(() => {
      const now = this.now();
      if (now - previousAt > 6) this.hostDelays.push({ at: now, delayMs: now - previousAt - 4 });
      previousAt = now;
    }, 4);
    const waitedMsByPid = new Map();
    this.schedulerDelayProbe = setInterval(() => {
      for (const gateway of this.gateways) {
        if (!gateway.running) continue;
        try {
          const waitedMs = Number(readFileSync(`/proc/${gateway.child.pid}/schedstat`, 'utf8').split(' ')[1]) / 1e6;
          const previousMs = waitedMsByPid.get(gateway.child.pid);
          if (previousMs !== undefined && waitedMs - previousMs > 3) this.hostDelays.push({ at: this.now(), delayMs: waitedMs - previousMs, windowMs: 100 });
          waitedMsByPid.set(gateway.child.pid, waitedMs);
        } catch { /* the process has just exited */ }
      }
    }, 100);
  }
  // The worst delay recorded around an interval, plus 10 ms.
  hostDelayMs(from, to) {
    let worstMs = 0;
    for (const delay of this.hostDelays)
      if (delay.at >= from - 5 && delay.at - delay.delayMs - (delay.windowMs ?? 0) <= to + 50) worstMs = Math.max(worstMs, delay.delayMs);
    return 10 + worstMs;
  }
  onAttemptArrived(attempt) { this.triggerFaults('attempt-arrived', attempt); }

  // ---- faults ----
  triggerFaults(trigger, attempt, gateway) {
    for (const fault of this.pendingFaults) {
      if (fault.trigger !== trigger || (gateway && gateway.rank !== fault.gateway)) continue;
      this.pendingFaults = this.pendingFaults.filter((pending) => pending !== fault);
      setTimeout(() => this.startFault(fault), fault.offsetMs);
    }
  }
  // Starts a fault at its trigger, or after 1 s without one.
  armFault(fault) {
    if (fault.trigger === 'now') return this.startFault(fault);
    this.pendingFaults.push(fault);
    setTimeout(() => {
      if (!this.pendingFaults.includes(fault)) return;
      this.pendingFaults = this.pendingFaults.filter((pending) => pending !== fault);
      this.startFault(fault);
    }, 1000);
  }
  startFault(fault) {
    if (this.loadEnded) return;
    this.injected.push({ id: fault.id, at: Math.round(this.now()), kind: fault.kind, gateway: fault.gateway });
    injectFault(this, fault);
  }
  // Errors that the preloaded library injected into these system calls of a gateway around `at`.
  callErrorsAt(gateway, at, systemCalls) {
    return this.callFaultWindows.filter((window) => window.gateway === gateway && systemCalls.includes(window.systemCall) && at >= window.from - 50 && at <= window.to + 500).map((window) => window.error);
  }
  connectionFloodAt(gateway, at) { return this.floods.some((flood) => flood.gateway === gateway && at >= flood.from - 50 && at <= flood.to + 3000); }

  // ---- the run ----
  async run() {
    const { schedule } = this;
    mkdirSync(this.dir, { recursive: true });
    this.paths = new Paths(this);
    for (const [role, count] of [['read', schedule.load.readers], ['write', schedule.load.writers]]) {
      for (let index = 0; index < count; ++index) {
        const zone = index % 2 === 0 ? 'a' : 'b';
        const block = zone === 'a' ? 1 : 2;
        const server = this.addServer(role, zone, index < 4 ? block : block + 2);
        await Promise.all([server.listen(), server.reachable]);
      }
    }
    this.discovery = new Discovery(this);
    for (let index = 0; index < schedule.gateways; ++index) this.gateways.push(new Gateway(this, index));
    for (const gateway of this.gateways) await gateway.prepare();
    this.measureHostDelays();
    for (const gateway of this.gateways) gateway.start();
    const readyDeadline = this.now() + 30000;
    while (this.gateways.some((gateway) => gateway.running && gateway.incarnation.ready < 0) && this.now() < readyDeadline) await this.sleep(20);
    const loadStartedAt = this.now();
    for (const gateway of this.gateways) {
      gateway.clients = new Clients(this, gateway, this.random.stream(`clients${gateway.rank}`));
      gateway.clients.start(1000 / schedule.load.perGateway);
    }
    for (const fault of schedule.faults) setTimeout(() => this.armFault(fault), fault.atMs);
    this.onLoadStart?.();  // set by runs whose faults are not drawn from a seed
    await this.sleep(schedule.seconds * 1000);
    this.loadEnded = true;
    this.loadEndedAt = this.now();
    this.loadFrom = loadStartedAt;
    await this.sleep(SETTLE_MS);
    await this.stopAll();
    this.endedAt = this.now();
    clearInterval(this.timerDelayProbe);
    clearInterval(this.schedulerDelayProbe);
    this.runEnded = true;
    const verdict = judge(this);
    const tracedByRule = {};
    for (const violation of verdict.violations) {
      tracedByRule[violation.rule] = (tracedByRule[violation.rule] ?? 0) + 1;
      if (tracedByRule[violation.rule] <= MAX_TRACES_PER_RULE) violation.trace = this.trace(violation);
    }
    return verdict;
  }
  async stopAll() {
    while (this.gateways.some((gateway) => gateway.restarting)) await this.sleep(20);
    this.runEnded = true;
    for (const gateway of this.gateways) gateway.signal('SIGTERM');
    const deadline = this.now() + SHUTDOWN_TIMEOUT_MS;
    while (this.gateways.some((gateway) => gateway.running) && this.now() < deadline) await this.sleep(20);
    for (const gateway of this.gateways) {
      if (!gateway.running) continue;
      this.violation('stop', '-', `gateway ${gateway.rank} did not exit within ${SHUTDOWN_TIMEOUT_MS} ms of SIGTERM with no request open`);
      gateway.signal('SIGKILL');
      await gateway.incarnation.done;
    }
  }
  close() {
    for (const server of this.servers) server.stop();
    this.paths.stop();
    for (const gateway of this.gateways) { for (const connection of [...gateway.clients.connections]) connection.socket.destroy(); gateway.close(); }
  }
  // Writes all records that concern a violation to a file; returns its path.
  trace(violation) {
    const file = path.join(this.dir, `violation-${violation.rule}-${violation.txn.replace(/\W/g, '_')}.json`);
    const withoutReferences = (request) => without(request, ['connection', 'crossed', 'first', 'bytes']);
    const requests = this.records.requests.filter((request) => request.txn === violation.txn);
    const rank = requests[0]?.gateway;
    const content = {
      violation,
      troubles: this.injected.filter((injected) => Math.abs(injected.at - violation.at) < 8000),
      requests: requests.map(withoutReferences),
      attempts: this.records.attempts.filter((attempt) => attempt.txn === violation.txn),
      states: this.records.leases.filter((lease) => lease.txn === violation.txn),
      cuts: this.paths.cuts.filter((cut) => cut.from < violation.at + 1000 && cut.to > violation.at - 8000),
      swallowed: this.records.swallowed.filter((swallowed) => swallowed.txn === violation.txn),
      releases: this.records.releases.filter((release) => release.txn === violation.txn),
      lives: rank === undefined ? [] : this.gateways[rank].incarnations.map((incarnation) => without(incarnation, ['done', 'onExit', 'lastStatus'])),
      stops: rank === undefined ? [] : this.gateways[rank].stops,
      servers: this.servers.map((server) => [server.name, server.health, Boolean(server.server)]),
      changes: this.discovery.changes.filter((change) => Math.abs(change.at - violation.at) < 10000),
    };
    writeFileSync(file, JSON.stringify(content, null, 1));
    return file;
  }
}
