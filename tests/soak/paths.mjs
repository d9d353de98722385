// The paths between gateways and model servers: starts the fault proxy (proxy.mjs) and tells it what to cut.
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { PORT } from './addresses.mjs';
import { without } from './objects.mjs';

export class Paths {
  constructor(world) {
    this.world = world;
    this.delivered = [];         // {port, writtenAt, at}: what a cut held back has reached a server, from this port
    this.cuts = [];              // {id, servers, inward, outward, openOnly, from, to}
    this.waiting = new Map();    // name of a server -> resolves once its listener is open
    this.proxy = fork(fileURLToPath(new URL('./proxy.mjs', import.meta.url)), { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
    this.proxy.on('message', (message) => this.told(message));
    this.skew = Number(process.hrtime.bigint()) / 1e6 - world.now();
  }
  told(message) {
    if (message.listening) { this.waiting.get(message.listening)?.(); this.waiting.delete(message.listening); }
    if (message.late) this.world.lates.push({ at: this.world.now(), late: message.late });
    if (message.delivered) this.delivered.push({ port: message.delivered, writtenAt: message.writtenAt - this.skew, at: this.world.now() });
  }
  // A path to `server`; resolves once its proxied address takes connections.
  add(server, address) {
    const open = new Promise((done) => this.waiting.set(server.name, done));
    this.proxy.send({ listen: { name: server.name, address, port: PORT, target: { host: server.address, port: PORT } } });
    return open;
  }
  // `inward`, `outward`: '', 'swallow' or 'hold'. `openOnly`: only connections that are open now; new ones are sound.
  cut(servers, { inward = '', outward = '', openOnly = false }) {
    const cut = { id: this.cuts.length + 1, servers: servers.map((s) => s.name), inward, outward, openOnly, from: this.world.now(), to: Infinity };
    this.cuts.push(cut);
    if (this.proxy.connected) this.proxy.send({ cut: without(cut, ['from', 'to']) });
    return cut;
  }
  // `reset`: the connections that are open are reset, as by a machine that is back.
  end(cut, reset = false) {
    cut.to = this.world.now();
    if (this.proxy.connected) this.proxy.send({ endCut: { id: cut.id, reset } });
  }
  // When the gateway wrote an attempt that a cut held back; undefined for one that nothing held back.
  writtenAt(attempt) {
    return this.delivered.find((d) => d.port === attempt.port && Math.abs(d.at - attempt.lastByteAt) < 500 && d.writtenAt < attempt.lastByteAt)?.writtenAt;
  }
  // Whether a cut touched a server's path between two moments.
  touched(server, from, to) { return this.cuts.some((c) => c.servers.includes(server) && c.from <= to && c.to >= from); }
  // Time between two moments in which no server could be reached at all.
  allCut(from, to) {
    const whole = this.cuts.filter((c) => c.inward !== '' && !c.openOnly && c.from < to && c.to > from);
    const edges = [...new Set([from, to, ...whole.flatMap((c) => [c.from, c.to])])].filter((t) => t >= from && t <= to).sort((a, b) => a - b);
    let sum = 0;
    for (let i = 1; i < edges.length; ++i) {
      const middle = (edges[i - 1] + edges[i]) / 2;
      const cut = new Set(whole.filter((c) => c.from <= middle && c.to >= middle).flatMap((c) => c.servers));
      const up = this.world.servers.some((s) => s.server && s.addedAt <= middle && !cut.has(s.name));
      if (!up) sum += edges[i] - edges[i - 1];
    }
    return sum;
  }
  stop() { this.proxy.kill('SIGKILL'); }
}
