// The processes under test: started as `run` starts them, with the preloaded library, signalled, and their ends recorded.
import { spawn } from 'node:child_process';
import { createWriteStream, renameSync, unlinkSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { PORT } from './addresses.mjs';
import { Agent } from './discovery.mjs';
import { Faults } from './faults.mjs';

export class Gateway {
  constructor(world, rank) {
    Object.assign(this, { world, rank, name: `n${rank}`, zone: rank % 2 === 0 ? 'a' : 'b' });
    this.lives = [];  // {spawned, ready, term, killed, ended, code, signal}
    this.stops = [];  // {from, to}: stood still by SIGSTOP
    this.dir = path.join(world.dir, this.name);
  }
  async prepare() {
    this.address = this.world.address('gateway', this.rank);
    this.agents = [];
    for (let i = 0; i < 2; ++i) this.agents.push(await new Agent(this.world.discovery, this, this.world.address('agent', 2 * this.rank + i)).listen());
    this.agent = this.agents[0];
    this.file = `${this.dir}.config.json`;
    this.faults = new Faults(`${this.dir}.faults`, this.world.schedule.seed * 64 + this.rank);
    this.log = createWriteStream(`${this.dir}.log`);
    this.writeConfig();
  }
  get life() { return this.lives[this.lives.length - 1]; }
  get running() { return this.life && this.life.ended < 0; }
  config() {
    const { settings, gateways } = this.world.schedule;
    const lane = (Name, deadline, Effect, more = {}) =>
      ({ Name, SloMs: settings.aim ?? deadline / 2, DeadlineMs: deadline, Importance: 1, Effect, Streaming: true, ...more });
    return { name: this.name, listen: `${this.address}:${PORT}`, discovery: `${this.agent.address}:${PORT}`,
      seed: (this.world.schedule.seed * 1000 + this.rank * 10 + this.lives.length).toString(16),
      limits: { cores: 1, memory_mb: 64, sockets: 256 }, known: { seq: 0, whole: true, hosts: this.world.discovery.saved },
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
      GW_DISCOVERY: `${this.agent.address}:${PORT}`, GW_CONFIG: this.file, LD_PRELOAD: this.world.library,
      FAULTS_FILE: this.faults.file,
      ASAN_OPTIONS: 'verify_asan_link_order=0:detect_leaks=0:abort_on_error=0' };
    const child = spawn(this.world.program, ['node'], { stdio: ['ignore', 'ignore', 'pipe'], env });
    this.child = child;
    const life = { spawned: this.world.now(), ready: -1, term: -1, killed: -1, ended: -1, code: null, signal: null, state: null,
      error: '' };
    this.lives.push(life);
    let rest = '';
    child.stderr.setEncoding('utf8');
    child.stderr.on('data', (text) => {
      this.log.write(text);
      rest += text;
      const lines = rest.split('\n');
      rest = lines.pop();
      for (const line of lines) this.logged(life, line);
    });
    child.on('exit', (code, signal) => {
      Object.assign(life, { ended: this.world.now(), code, signal });
      this.stopped(false);
      this.log.write(`soak: ended with ${code} ${signal}\n`);
      life.whenEnded?.();
    });
    life.done = new Promise((done) => { life.whenEnded = done; });
  }
  logged(life, line) {
    if (life.ready < 0 && line.includes('"ready"')) life.ready = this.world.now();
    // The program's own audit; a late answer is judged by the sockets.
    const audited = line.includes('"event":"violation"') && !line.includes('late_answer');
    if ((audited || /Sanitizer|runtime error/.test(line)) && !life.error) life.error = line;
    if (line.includes('"event":"status"')) { try { life.state = { at: this.world.now(), ...JSON.parse(line) }; } catch { /* torn */ } }
  }
  stopped(on) {
    const last = this.stops[this.stops.length - 1];
    if (on) this.stops.push({ from: this.world.now(), to: Infinity });
    else if (last && last.to === Infinity) last.to = this.world.now();
  }
  // Time stood still between two moments, and what a stop of the process may have held back until shortly before `to`.
  stoodStill(from, to) {
    let sum = 0;
    for (const s of this.stops) sum += Math.max(0, Math.min(to, s.to) - Math.max(from, s.from));
    return sum;
  }
  signal(name) {
    if (!this.running) return;
    this.child.kill(name);
    if (name === 'SIGTERM' && this.life.term < 0) this.life.term = this.world.now();
    if (name === 'SIGKILL') this.life.killed = this.world.now();
    if (name === 'SIGSTOP') this.stopped(true);
    if (name === 'SIGCONT') this.stopped(false);
  }
  // As the platform restarts: SIGTERM, SIGKILL no sooner than the longest deadline (3 s at most) and 0.7 s later, a new start.
  async restart(kill) {
    if (!this.running || this.restarting) return;
    this.restarting = true;
    const life = this.life;
    if (kill) this.signal('SIGKILL');
    else {
      this.signal('SIGTERM');
      this.killAfterTerm(life);
    }
    await life.done;
    await this.world.sleep(100);
    this.faults.stepWallClock(0);
    if (!this.world.over) this.start();
    this.restarting = false;
  }
  // A process that is stopped meanwhile is given that time on top: what it leaves unanswered is its own doing then.
  killAfterTerm(life) {
    const allowed = Math.min(3000, Math.max(...this.world.schedule.settings.deadlines)) + 700;
    const look = () => {
      if (life.ended >= 0) return;
      const now = this.world.now();
      const left = life.term + allowed + this.stoodStill(life.term, now) - now;
      if (left <= 0) return this.signal('SIGKILL');
      setTimeout(look, Math.max(1, left));
    };
    look();
  }
  // Moves discovery to this machine's other agent; the old one closes its connections after 1.5 s.
  // `torn`: ms for which the file is half written when the signal comes, or gone.
  reload(torn = 0, gone = false) {
    if (!this.running || this.restarting || this.life.ready < 0) return;
    const old = this.agent;
    this.agent = this.agents[1 - this.agents.indexOf(old)];
    if (torn > 0) {
      if (gone) unlinkSync(this.file);
      else writeFileSync(this.file, JSON.stringify(this.config()).slice(0, 200));
      setTimeout(() => this.writeConfig(), torn);
    } else {
      this.writeConfig();
    }
    this.agent.reloaded();
    this.world.records.reloads.push({ gateway: this.rank, at: this.world.now(), askedAt: -1, life: this.life });
    this.agent.reload = this.world.records.reloads[this.world.records.reloads.length - 1];
    setTimeout(() => { if (this.agent !== old) old.reset(); }, 1500);
    this.signal('SIGHUP');
  }
  toldAt(seq) { return Math.min(...this.agents.map((agent) => agent.toldBy(seq))); }
  close() {
    this.log.end();
    this.faults.close();
    for (const agent of this.agents) agent.stop();
  }
}
