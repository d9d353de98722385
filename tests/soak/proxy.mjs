// Fault proxy: a separate process between gateways and model servers, with one listener per server, which forwards bytes in both
// directions. Faults are injected on the path, so that a gateway sees what a broken network shows it: the kernel acknowledges
// data and connections are established, but nothing arrives. Controlled over its IPC channel (see paths.mjs); it does not parse
// requests.
//
// A cut drops bytes (`swallow`) or buffers them until it ends (`hold`), in one direction or both. A connection that has lost
// bytes forwards nothing more in that direction, since the rest of its stream cannot be parsed. A close by the gateway is always
// passed on, and bytes buffered on that connection are discarded: the server's records then show when the gateway closed it.
import net from 'node:net';

const DELAY_REPORT_MS = 6;  // longer gaps between ticks of the 4 ms timer are reported as host delay

const links = new Map();  // server name -> {name, target, open: Set of ProxiedConnection, cuts: Map of id -> cut}
const nowMs = () => Number(process.hrtime.bigint()) / 1e6;

// One direction of a connection: `inward` to the server or `outward` to the gateway.
class Direction {
  constructor(connection, name, destination) {
    Object.assign(this, { connection, name, destination, bytesLost: false, buffered: [], firstBufferedAt: -1 });
  }
  mode() {
    if (this.bytesLost) return 'swallow';
    for (const cut of this.connection.link.cuts.values()) {
      if (cut[this.name] && (!cut.connections || cut.connections.has(this.connection))) return cut[this.name];
    }
    return '';
  }
  forward(bytes) {
    const mode = this.mode();
    if (mode === 'swallow') { this.bytesLost = true; return; }
    if (mode === 'hold' || this.buffered.length > 0) {
      if (this.buffered.length === 0) this.firstBufferedAt = nowMs();
      this.buffered.push(bytes);
      return;
    }
    this.destination().write(bytes);
  }
  // Delivers the buffered bytes once no cut applies.
  flush() {
    if (this.buffered.length === 0 || this.mode() !== '') return;
    if (this.name === 'inward') process.send({ delivered: this.connection.server.localPort, server: this.connection.link.name, writtenAt: this.firstBufferedAt });
    for (const bytes of this.buffered.splice(0)) this.destination().write(bytes);
  }
}

// A connection from a gateway and its connection to the server.
class ProxiedConnection {
  constructor(link, gateway) {
    Object.assign(this, { link, gateway });
    link.open.add(this);
    this.server = net.connect({ ...link.target, allowHalfOpen: true });
    this.inward = new Direction(this, 'inward', () => this.server);
    this.outward = new Direction(this, 'outward', () => this.gateway);
    for (const socket of [this.gateway, this.server]) socket.setNoDelay(true);
    gateway.on('data', (bytes) => this.inward.forward(bytes));
    gateway.on('end', () => { if (this.inward.mode() === '') this.server.end(); else this.endServerSide(); });
    gateway.on('error', () => this.destroy());
    gateway.on('close', () => this.destroy());
    this.server.on('data', (bytes) => this.outward.forward(bytes));
    this.server.on('end', () => { if (this.outward.mode() === '') this.gateway.end(); else this.endPending = true; });
    this.server.on('error', () => this.onServerClosed());
    this.server.on('close', () => this.onServerClosed());
  }
  onServerClosed() {
    if (this.gatewayEnded) return;
    if (this.outward.mode() !== '') { this.endPending = true; return; }
    if (!this.gateway.writableEnded) this.gateway.resetAndDestroy();
  }
  // The gateway's end is passed on, but on a cut path nothing comes back: the gateway sees no end from its peer.
  endServerSide() {
    this.gatewayEnded = true;
    this.inward.bytesLost = true;
    this.inward.buffered = [];
    this.server.destroy();
  }
  destroy() {
    this.link.open.delete(this);
    this.server.destroy();
    this.gateway.destroy();
  }
  reset() {
    this.link.open.delete(this);
    this.server.resetAndDestroy();
    this.gateway.resetAndDestroy();
  }
  onCutEnded() {
    this.inward.flush();
    this.outward.flush();
    if (this.endPending && !this.outward.bytesLost && this.outward.mode() === '') this.reset();
  }
}

async function listen({ name, address, port, target }) {
  const link = { name, target, open: new Set(), cuts: new Map() };
  links.set(name, link);
  const server = net.createServer({ allowHalfOpen: true }, (socket) => new ProxiedConnection(link, socket));
  await new Promise((resolve, reject) => { server.on('error', reject); server.listen(port, address, 1024, resolve); });
}

// Starts a cut on the paths of some servers.
function cut({ id, servers, inward, outward, openOnly }) {
  for (const name of servers) {
    const link = links.get(name);
    if (link) link.cuts.set(id, { inward, outward, connections: openOnly ? new Set(link.open) : null });
  }
}

// Ends a cut; the connections that were open are reset, or deliver their buffered bytes.
function endCut({ id, reset }) {
  for (const link of links.values()) {
    if (!link.cuts.delete(id)) continue;
    for (const connection of [...link.open]) { if (reset) connection.reset(); else connection.onCutEnded(); }
  }
}

process.on('message', async (message) => {
  if (message.listen) { await listen(message.listen); process.send({ listening: message.listen.name }); }
  if (message.cut) { cut(message.cut); process.send({ applied: message.cut.id }); }
  if (message.endCut) endCut(message.endCut);
});
process.on('disconnect', () => process.exit(0));
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => {});  // exits on disconnect from its parent

let previousAt = nowMs();
setInterval(() => {
  const now = nowMs();
  if (now - previousAt > DELAY_REPORT_MS) process.send({ delayMs: now - previousAt - 4 });
  previousAt = now;
}, 4);
