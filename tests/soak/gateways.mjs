// The gateway processes under test: starts them with the preloaded fault library, signals them and records how they exit.
import { spawn } from 'node:child_process';
import { createWriteStream, renameSync, unlinkSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { PORT } from './addresses.mjs';
import { Agent } from './discovery.mjs';
import { Faults } from './faults.mjs';

// A gateway and the successive incarnations of its process.
export class Gateway {
  constructor(harness, rank) {
    Object.assign(this, { harness, rank, name: `n${rank}`, zone: rank % 2 === 0 ? 'a' : 'b' });
    this.incarnations = [];  // {spawned, ready, term, killed, ended, code, signal}
    this.stops = [];  // {from, to}: intervals in which it was suspended by SIGSTOP
    this.dir = path.join(harness.dir, this.name);
  }
  async prepare() {
    this.address = this.harness.address('gateway', this.rank);
    this.agents = [];
    for (let index = 0; index < 2; ++index) this.agents.push(await new Agent(this.harness.discovery, this, this.harness.address('agent', 2 * this.rank + index)).listen());
    this.agent = this.agents[0];
    this.file = `${this.dir}.config.json`;
    this.callFaults = new Faults(`${this.dir}.faults`, this.harness.schedule.seed * 64 + this.rank);
    this.log = createWriteStream(`${this.dir}.log`);
    this.writeConfig();
  }
  get incarnation() { return this.incarnations[this.incarnations.length - 1]; }
  get running() { return this.incarnation && this.incarnation.ended < 0; }
  config() {
    const { settings, gateways } = this.harness.schedule;
    const lane = (Name, deadlineMs, Effect, extra = {}) =>
      ({ Name, SloMs: settings.aim ?? deadlineMs / 2, DeadlineMs: deadlineMs, Importance: 1, Effect, Streaming: true, ...extra });
    return { name: this.name, listen: `${this.address}:${PORT}`, discovery: `${this.agent.address}:${PORT}`,
      seed: (this.harness.schedule.seed * 1000 + this.rank * 10 + this.incarnations.length).toString(16),
      limits: { cores: 1, memory_mb: 64, sockets: 256 }, known: { seq: 0, whole: true, hosts: this.harness.discovery.savedList },
      settings: { Azs: ['a', 'b'], Zone: this.zone, Balancers: gateways, Flavors: ['prefill', 'decode'],
        FamilyInfo: { RoleByKind: ['read', 'write'], KindMemoryTokens: [200000, 150000], LetGoByMs: settings.releaseWithin,
          Resume: settings.resume, TokenAimMs: [60, 60, 60], AimUsPer1000PromptTokens: [40000, 40000, 40000] },
        Ceilings: { AttemptsCap: 6, Cancel: true, DialTimeoutMs: settings.dialTimeout, IdleCloseMs: settings.idleClose,
          RetryAfter: settings.retryAfter, MaxRetryAfterMs: 1000 },
        Guarantees: { DrainGraceMs: settings.drainGrace, FallMultiple: settings.fallMultiple, TipAfterMs: settings.fallWindow,
          StartCapacity: settings.startCapacity, WarmWithinMs: settings.warmWithin, AnswerSlackMs: 50 },
        Lanes: [lane('chat', settings.deadlines[0], 'repeatable'), lane('pay', settings.deadlines[1], 'once'),
          lane('key', settings.deadlines[2], 'by_key', { Group: settings.group, WindowMs: settings.window })],
        Tenants: [{ Name: 'acme', QuotaPerS: 100000 }], StepMs: 4 } };
  }
  writeConfig(text) {
    writeFileSync(`${this.file}.new`, text ?? JSON.stringify(this.config()));
    renameSync(`${this.file}.new`, this.file);
  }
  start() {
    this.writeConfig();
    const env = { ...process.env, GW_NAME: this.name, GW_LISTEN: `${this.address}:${PORT}`,
      GW_DISCOVERY: `${this.agent.address}:${PORT}`, GW_CONFIG: this.file, LD_PRELOAD: this.harness.library,
      FAULTS_FILE: this.callFaults.file,
      ASAN_OPTIONS: 'verify_asan_link_order=0:detect_leaks=0:abort_on_error=0' };
    const child = spawn(this.harness.program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env });
    this.child = child;
    const incarnation = { spawned: this.harness.now(), ready: -1, term: -1, killed: -1, ended: -1, code: null, signal: null, lastStatus: null,
      error: '' };
    this.incarnations.push(incarnation);
    let partialLine = '';
    child.stderr.setEncoding('utf8');
    child.stderr.on('data', (text) => {
      this.log.write(text);
      partialLine += text;
      const lines = partialLine.split('\n');
      partialLine = lines.pop();
      for (const line of lines) this.onLogLine(incarnation, line);
    });
    child.on('exit', (code, signal) => {
      Object.assign(incarnation, { ended: this.harness.now(), code, signal });
      this.recordStop(false);
      this.log.write(`soak: process exited with code ${code}, signal ${signal}\n`);
      incarnation.onExit?.();
    });
    incarnation.done = new Promise((resolve) => { incarnation.onExit = resolve; });
  }
  onLogLine(incarnation, line) {
    if (incarnation.ready < 0 && line.includes('"ready"')) incarnation.ready = this.harness.now();
    // Violations of the program's own invariant checks; the oracle judges late answers from the sockets.
    const auditFailed = line.includes('"event":"violation"') && !line.includes('late_answer');
    if ((auditFailed || /Sanitizer|runtime error/.test(line)) && !incarnation.error) incarnation.error = line;
    if (line.includes('"event":"status"')) { try { incarnation.lastStatus = { at: this.harness.now(), ...JSON.parse(line) }; } catch { /* incomplete line */ } }
  }
  recordStop(suspended) {
    const last = this.stops[this.stops.length - 1];
    if (suspended) this.stops.push({ from: this.harness.now(), to: Infinity });
    else if (last && last.to === Infinity) last.to = this.harness.now();
  }
  // Time within an interval for which the process was suspended.
  stoppedMs(from, to) {
    let totalMs = 0;
    for (const stop of this.stops) totalMs += Math.max(0, Math.min(to, stop.to) - Math.max(from, stop.from));
    return totalMs;
  }
  signal(name) {
    if (!this.running) return;
    this.child.kill(name);
    if (name === 'SIGTERM' && this.incarnation.term < 0) this.incarnation.term = this.harness.now();
    if (name === 'SIGKILL') this.incarnation.killed = this.harness.now();
    if (name === 'SIGSTOP') this.recordStop(true);
    if (name === 'SIGCONT') this.recordStop(false);
  }
  // Restarts as the platform does: SIGTERM; SIGKILL after the longest deadline (at most 3 s) plus 0.7 s; a new start.
  async restart(immediately) {
    if (!this.running || this.restarting) return;
    this.restarting = true;
    const incarnation = this.incarnation;
    if (immediately) this.signal('SIGKILL');
    else {
      this.signal('SIGTERM');
      this.killAfterTerm(incarnation);
    }
    await incarnation.done;
    await this.harness.sleep(100);
    this.callFaults.stepWallClock(0);
    if (!this.harness.runEnded) this.start();
    this.restarting = false;
  }
  // Time for which the process is suspended extends the deadline, so that any request left unanswered is the process's fault.
  killAfterTerm(incarnation) {
    const allowedMs = Math.min(3000, Math.max(...this.harness.schedule.settings.deadlines)) + 700;
    const checkDeadline = () => {
      if (incarnation.ended >= 0) return;
      const now = this.harness.now();
      const remainingMs = incarnation.term + allowedMs + this.stoppedMs(incarnation.term, now) - now;
      if (remainingMs <= 0) return this.signal('SIGKILL');
      setTimeout(checkDeadline, Math.max(1, remainingMs));
    };
    checkDeadline();
  }
  // Reloads with a configuration that names this machine's other discovery agent; the previous agent closes its connections after
  // 1.5 s. `tornMs`: how long the file is truncated, or missing if `removed`, when the signal arrives.
  reload(tornMs = 0, removed = false) {
    if (!this.running || this.restarting || this.incarnation.ready < 0) return;
    const previousAgent = this.agent;
    this.agent = this.agents[1 - this.agents.indexOf(previousAgent)];
    if (tornMs > 0) {
      if (removed) unlinkSync(this.file);
      else writeFileSync(this.file, JSON.stringify(this.config()).slice(0, 200));
      setTimeout(() => this.writeConfig(), tornMs);
    } else {
      this.writeConfig();
    }
    this.agent.onReload();
    this.harness.records.reloads.push({ gateway: this.rank, at: this.harness.now(), askedAt: -1, incarnation: this.incarnation });
    this.agent.reloadRecord = this.harness.records.reloads[this.harness.records.reloads.length - 1];
    setTimeout(() => { if (this.agent !== previousAgent) previousAgent.reset(); }, 1500);
    this.signal('SIGHUP');
  }
  // When the gateway counts as notified of a change.
  notifiedAt(seq) { return Math.min(...this.agents.map((agent) => agent.notifiedBy(seq))); }
  close() {
    this.log.end();
    this.callFaults.close();
    for (const agent of this.agents) agent.stop();
  }
}
