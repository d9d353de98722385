// The network paths between gateways and model servers: starts the fault proxy (proxy.mjs) and controls its cuts.
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { PORT } from './addresses.mjs';
import { without } from './objects.mjs';

// The paths of one run.
export class Paths {
  constructor(harness) {
    this.harness = harness;
    this.delayedDeliveries = [];  // {server, port, writtenAt, at}: bytes held by a cut reached a server from this source port
    this.cuts = [];  // {id, servers, inward, outward, openOnly, from, to}
    this.listenWaiters = new Map();  // server name -> resolves the promise of its listener
    this.proxy = fork(fileURLToPath(new URL('./proxy.mjs', import.meta.url)), { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
    this.proxy.on('message', (message) => this.handleMessage(message));
    this.proxyClockOffsetMs = Number(process.hrtime.bigint()) / 1e6 - harness.now();
  }
  handleMessage(message) {
    if (message.listening) { this.listenWaiters.get(message.listening)?.(); this.listenWaiters.delete(message.listening); }
    if (message.delayMs) this.harness.hostDelays.push({ at: this.harness.now(), delayMs: message.delayMs });
    if (message.delivered) this.delayedDeliveries.push({ server: message.server, port: message.delivered, writtenAt: message.writtenAt - this.proxyClockOffsetMs, at: this.harness.now() });
  }
  // Adds a path to `server`; resolves once its proxied address accepts connections.
  add(server, address) {
    const listening = new Promise((resolve) => this.listenWaiters.set(server.name, resolve));
    this.proxy.send({ listen: { name: server.name, address, port: PORT, target: { host: server.address, port: PORT } } });
    return listening;
  }
  // Starts a cut. `inward` (to the server), `outward` (from it): '', 'swallow' or 'hold'. `openOnly`: affects only the connections
  // that are open now.
  cut(servers, { inward = '', outward = '', openOnly = false }) {
    const cut = { id: this.cuts.length + 1, servers: servers.map((server) => server.name), inward, outward, openOnly, from: this.harness.now(), to: Infinity };
    this.cuts.push(cut);
    if (this.proxy.connected) this.proxy.send({ cut: without(cut, ['from', 'to']) });
    return cut;
  }
  // Ends a cut. `reset`: resets the open connections, as a machine does after a restart.
  endCut(cut, reset = false) {
    cut.to = this.harness.now();
    if (this.proxy.connected) this.proxy.send({ endCut: { id: cut.id, reset } });
  }
  // When the gateway wrote an attempt that a cut delayed; undefined for an attempt that was not delayed. A source port alone does not
  // name a connection: the kernel uses one port for connections to several servers.
  writtenAt(attempt) {
    return this.delayedDeliveries.find((delivery) => delivery.server === attempt.server && delivery.port === attempt.port && Math.abs(delivery.at - attempt.lastByteAt) < 500 && delivery.writtenAt < attempt.lastByteAt)?.writtenAt;
  }
  // Whether a cut affected a server's path in an interval.
  affected(server, from, to) { return this.cuts.some((cut) => cut.servers.includes(server) && cut.from <= to && cut.to >= from); }
  // Time within an interval in which no server was reachable.
  unreachableMs(from, to) {
    const fullCuts = this.cuts.filter((cut) => cut.inward !== '' && !cut.openOnly && cut.from < to && cut.to > from);
    const edges = [...new Set([from, to, ...fullCuts.flatMap((cut) => [cut.from, cut.to])])].filter((edge) => edge >= from && edge <= to).sort((left, right) => left - right);
    let totalMs = 0;
    for (let index = 1; index < edges.length; ++index) {
      const middle = (edges[index - 1] + edges[index]) / 2;
      const cutServers = new Set(fullCuts.filter((cut) => cut.from <= middle && cut.to >= middle).flatMap((cut) => cut.servers));
      const reachable = this.harness.servers.some((server) => server.server && server.addedAt <= middle && !cutServers.has(server.name));
      if (!reachable) totalMs += edges[index] - edges[index - 1];
    }
    return totalMs;
  }
  stop() { this.proxy.kill('SIGKILL'); }
}
