// Simulated discovery: agents on each gateway's machine, all fed by one endpoint list. An agent answers with its current list,
// keeps a watch open and injects faults. Agents number their versions independently, as discovery services at different addresses
// do. They record when a gateway counts as notified of a change.
import net from 'node:net';
import { PORT } from './addresses.mjs';
import { RequestReader } from './http.mjs';

const UNRESPONSIVE_NOTIFY_MS = 6000, RELOAD_NOTIFY_MS = 4000;  // required by the platform

// The endpoint list and its changes.
export class Discovery {
  constructor(harness) {
    this.harness = harness;
    this.seq = 1;
    this.down = false;
    this.outages = 0;
    this.agents = [];
    this.changes = [];  // {seq, at, server, health}
  }
  get list() { return this.harness.servers.filter((server) => server.health !== 'removed').map((server) => server.listEntry); }
  since(seq) { return this.harness.servers.filter((server) => (server.changedAt ?? 0) > seq).map((server) => server.listEntry); }
  // The endpoint list that a starting gateway finds on disk: the one from when discovery was last reachable.
  get savedList() { return this.down ? this.listBeforeOutage : this.list; }
  publish(server, health) {
    ++this.seq;
    server.health = health;
    this.changes.push({ seq: this.seq, at: this.harness.now(), server: server.name, health });
    server.changedAt = this.seq;
    for (const agent of this.agents) agent.onChange();
  }
  // Outages may overlap: discovery returns when the last one ends.
  setDown(down) {
    this.outages += down ? 1 : -1;
    down = this.outages > 0;
    if (down === this.down) return;
    if (down) this.listBeforeOutage = this.list;
    this.down = down;
    if (!down) for (const agent of this.agents) agent.onChange();
  }
}

// A discovery agent of one gateway.
export class Agent {
  constructor(discovery, gateway, address) {
    Object.assign(this, { discovery, gateway, address, harness: discovery.harness });
    this.versionOffset = discovery.agents.length % 2 === 0 ? 100000 : 0;  // of its version numbers
    this.mode = '';  // '', slow, refused
    this.seq = discovery.seq;
    this.reloadEffectiveAt = -1;  // after a reload: by when the gateway counts as notified of this agent's list
    this.notifications = [];  // {seq, at}: the gateway counts as notified of all changes up to seq from then on
    this.connections = new Set();
    discovery.agents.push(this);
  }
  async listen() {
    this.server = net.createServer((socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(PORT, this.address, resolve));
    return this;
  }
  // Records by when the gateway counts as notified of a change, which depends on the agent's faults, and answers open watches.
  onChange() {
    if (this.discovery.down) return;
    this.seq = this.discovery.seq;
    if (this.gateway.agent !== this) return;  // the gateway does not use this agent
    const now = this.harness.now();
    const impaired = this.mode !== '' || this.harness.schedule.peerBehavior.discoveryDelay > 0 || [...this.connections].some((connection) => connection.unresponsiveSince >= 0);
    this.addNotification(Math.max(impaired ? now + UNRESPONSIVE_NOTIFY_MS : now, this.reloadEffectiveAt));
    for (const connection of this.connections) connection.onChange();
  }
  addNotification(atMs) { this.notifications.push({ seq: this.seq, at: atMs }); }
  onReload() {
    this.reloadEffectiveAt = this.harness.now() + (this.mode === '' && this.harness.schedule.peerBehavior.discoveryDelay === 0 ? RELOAD_NOTIFY_MS : UNRESPONSIVE_NOTIFY_MS);
    this.addNotification(this.reloadEffectiveAt);
  }
  // When this agent counts as having notified the gateway of a change.
  notifiedBy(seq) {
    let at = Infinity;
    for (const notification of this.notifications) if (notification.seq >= seq) at = Math.min(at, notification.at);
    return at;
  }
  reset() { for (const connection of [...this.connections]) connection.socket.resetAndDestroy(); }
  setRefusing(refusing) {
    if (refusing) { this.server.close(); this.reset(); return; }
    this.server = net.createServer((socket) => this.accept(socket));
    this.server.on('error', () => setTimeout(() => this.setRefusing(false), 50));
    this.server.listen(PORT, this.address);
  }
  stop() { this.server.close(); this.reset(); }
  accept(socket) { new AgentConnection(this, socket); }
}

// A gateway's connection to its agent.
class AgentConnection {
  constructor(agent, socket) {
    Object.assign(this, { agent, socket, harness: agent.harness });
    this.pendingWatch = null;  // {from}
    this.unresponsiveSince = -1;
    agent.connections.add(this);
    socket.setEncoding('latin1');
    this.reader = new RequestReader({ onFirstByte: () => {}, onRequest: (request) => this.onRequest(request), onError: () => socket.destroy() });
    socket.on('data', (bytes) => this.reader.feed(bytes));
    socket.on('error', () => {});
    socket.on('close', () => agent.connections.delete(this));
  }
  onRequest(request) {
    const url = new URL(request.target, 'http://x');
    const from = url.searchParams.get('from');
    if (this.agent.reloadRecord && this.agent.reloadRecord.askedAt < 0) this.agent.reloadRecord.askedAt = this.harness.now();
    if (from === null) return this.respond();
    this.pendingWatch = { from: Number(from) - this.agent.versionOffset };
    const holdMs = Number(url.searchParams.get('hold_ms'));
    clearTimeout(this.timer);
    this.timer = setTimeout(() => { if (this.pendingWatch && !this.pendingWatch.answered) this.respond(); }, holdMs);
    if (this.agent.seq > this.pendingWatch.from) this.respond();
  }
  onChange() { if (this.pendingWatch && !this.pendingWatch.answered && this.agent.seq > this.pendingWatch.from) this.respond(); }
  respond() {
    const { discoveryDelay } = this.harness.schedule.peerBehavior;
    if (discoveryDelay === 0) return this.respondNow();
    this.pendingWatch &&= { ...this.pendingWatch, answered: true };
    setTimeout(() => this.respondNow(), discoveryDelay);
  }
  respondNow() {
    const { agent } = this;
    const { discovery } = agent;
    if (discovery.down || this.unresponsiveSince >= 0 || this.socket.destroyed) return;
    const from = this.pendingWatch?.from ?? -1;
    this.pendingWatch = null;
    // Sends only the changes if the gateway already has a list from this agent.
    const { changes, forms } = this.harness.schedule.peerBehavior;
    const complete = !changes || !(from >= 1 && from <= agent.seq);
    const endpointList = { seq: agent.seq + agent.versionOffset, whole: complete, hosts: complete ? discovery.list : discovery.since(from) };
    const body = JSON.stringify(endpointList, null, forms ? 2 : 0);
    const head = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n`;
    if (agent.mode === 'slow') return this.writeSlowly(head + body);
    this.socket.write(head + body);
    agent.addNotification(this.harness.now());
  }
  // Writes a text in ten pieces, 100 ms apart.
  writeSlowly(text) {
    const seq = this.agent.seq;
    const pieceBytes = Math.ceil(text.length / 10);
    let offset = 0;
    const writeNext = () => {
      if (this.socket.destroyed || this.unresponsiveSince >= 0) return;
      this.socket.write(text.slice(offset, offset + pieceBytes));
      offset += pieceBytes;
      if (offset < text.length) return setTimeout(writeNext, 100);
      this.agent.notifications.push({ seq, at: this.harness.now() });
    };
    writeNext();
  }
}
