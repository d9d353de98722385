// Clients of one gateway: well-behaved ones, which reuse connections and send one request at a time, and malformed ones. Every
// request and its response are recorded; the oracle judges them.
import net from 'node:net';
import { PORT } from './addresses.mjs';
import { ResponseReader } from './http.mjs';

const LANES = ['chat', 'pay', 'key'];
const MAX_CONNECTIONS = 24;

// The same request with header names in capitals and a chunked body.
function withAlternativeFraming(head, body) {
  const headWithCapitals = head.replace(/\r\n(x-|host)([a-z]*)/g, (match, prefix, rest) => `\r\n${prefix.toUpperCase()}${rest}`);
  const middle = body.length >> 1;
  const chunks = [body.slice(0, middle), body.slice(middle)].map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
  return `${headWithCapitals}Transfer-Encoding: chunked\r\nX-Note: \t tab, \xe9\r\n\r\n${chunks}0\r\n\r\n`;
}

// The clients of one gateway and their connections.
export class Clients {
  constructor(harness, gateway, random) {
    Object.assign(this, { harness, gateway, random });
    this.idleConnections = [];
    this.connections = new Set();
    this.requestCount = 0;
    this.abandonNextAfterMs = null;  // set by the fault `leave`: disconnect this long after the next request
    this.writeSlowly = false;
  }
  // Sends requests at exponentially distributed intervals until the load ends.
  start(meanIntervalMs) {
    const sendNext = () => {
      if (this.harness.loadEnded) return;
      if (this.harness.now() >= this.harness.loadPausedUntil) this.submit();
      setTimeout(sendNext, this.random.exponential(meanIntervalMs));
    };
    setTimeout(sendNext, this.random.exponential(meanIntervalMs));
  }
  makeRequest(prefix = 'q', extraHeaders = '') {
    const { random, gateway, harness } = this;
    const { lanes = LANES, patient = false } = harness.schedule.load;
    const lane = LANES.indexOf(random.pick(lanes));
    const deadline = harness.schedule.settings.deadlines[lane];
    const remaining = patient ? deadline : Math.round(random.chance(0.15) ? random.between(3, 300) : random.between(0.5, 1) * deadline);
    const txn = `${prefix}${gateway.rank}-${++this.requestCount}`;
    const body = `{"n":"${txn}"}`;
    const alternativeForm = harness.schedule.peerBehavior.forms && random.chance(0.4);
    const target = alternativeForm ? '/v1/chat/completions?trace=1' : '/v1/chat/completions';
    const prefixLabels = random.chance(0.5) ? `prefix=o${random.integer(1, 9)},prefix_len=50,` : '';
    const head = `POST ${target} HTTP/1.1\r\nhost: service.internal\r\nx-txn: ${txn}\r\nx-lane: ${LANES[lane]}\r\n` +
      `x-org: acme\r\nx-entity: e${random.integer(1, 200)}\r\nx-remaining: ${alternativeForm ? `${remaining * 1000}u` : `${remaining}m`}\r\n` +
      `x-labels: ${prefixLabels}prompt_len=${random.integer(100, 4000)},max_out=100\r\n${extraHeaders}`;
    const bytes = alternativeForm ? withAlternativeFraming(head, body) : `${head}content-length: ${body.length}\r\n\r\n${body}`;
    return { txn, gateway: gateway.rank, lane: LANES[lane], remaining, target, body, bytes, sentAt: -1, leftAt: -1, status: 0, headAt: -1, firstAt: -1,
      endedAt: -1, end: '', text: '', events: [], connection: null, fresh: false, behind: 0, resend: false };
  }
  // Sends a request on an idle connection or a new one.
  submit(request = this.makeRequest()) {
    let connection = null;
    while (!request.resend && this.idleConnections.length > 0 && !connection) {
      const candidate = this.idleConnections.pop();
      if (!candidate.ended) connection = candidate;
    }
    if (!connection) {
      if (this.connections.size >= MAX_CONNECTIONS) return;
      connection = new ClientConnection(this);
    }
    connection.send([request]);
    const abandonAfterMs = this.abandonNextAfterMs;
    if (abandonAfterMs !== null) { this.abandonNextAfterMs = null; setTimeout(() => connection.abandon(), abandonAfterMs); }
    else if (this.random.chance(this.harness.schedule.load.leave)) setTimeout(() => connection.abandon(request), this.random.between(0, 400));
  }
  // A refusal means that a retry is harmless; some clients retry at once.
  retry(refusedRequest) {
    if (!this.harness.schedule.peerBehavior.retry || this.harness.loadEnded || refusedRequest.retries >= 2) return;
    this.submit(Object.assign(this.makeRequest('a', 'x-resent: 1\r\n'), { retries: (refusedRequest.retries ?? 0) + 1 }));
  }
  // Requests the rest of a broken stream from any running gateway of the zone.
  resume() {
    if (!this.harness.schedule.settings.resume || this.harness.loadEnded) return;
    const candidates = this.harness.gateways.filter((gateway) => gateway.zone === this.gateway.zone && gateway.running && gateway.incarnation.term < 0 && gateway.incarnation.ready >= 0);
    if (candidates.length === 0) return;
    const { clients } = this.random.pick(candidates);
    clients.submit(clients.makeRequest('r', 'x-resent: again\r\n'));
  }
  // Sends several requests in one write.
  pipeline(count) {
    const connection = new ClientConnection(this);
    connection.send(Array.from({ length: count }, () => this.makeRequest('p')));
  }
  // Sends malformed bytes, or none; the gateway must answer with an error or close the connection within 3 s.
  sendMalformed(bytes, description) {
    const socket = net.connect(PORT, this.gateway.address);
    const record = { gateway: this.gateway.rank, what: description, at: -1, endedAt: -1, text: '' };
    socket.setEncoding('latin1');
    socket.on('connect', () => { record.at = this.harness.now(); this.harness.records.malformed.push(record); if (bytes) socket.write(bytes); });
    const recordEnd = () => { if (record.endedAt < 0) record.endedAt = this.harness.now(); };
    socket.on('data', (text) => { record.text += text; recordEnd(); });
    socket.on('end', () => { recordEnd(); socket.destroy(); });
    socket.on('error', recordEnd);
    socket.on('close', recordEnd);
    setTimeout(() => socket.destroy(), 8000);
  }
}

// A client connection. Requests are recorded in the order in which they were written.
class ClientConnection {
  constructor(clients) {
    this.clients = clients;
    this.harness = clients.harness;
    this.queue = [];  // requests sent but not answered, oldest first
    this.responseCount = 0;
    this.closedUnderRequests = [];  // requests that were open when the connection closed
    this.ended = false;
    this.connected = false;
    clients.connections.add(this);
    // Half-open, so that a reset after the gateway's FIN is detected.
    this.socket = net.connect({ port: PORT, host: clients.gateway.address, allowHalfOpen: true });
    this.socket.setNoDelay(true);
    this.socket.setEncoding('latin1');
    this.socket.on('connect', () => {
      this.connected = true;
      this.openedAt = this.harness.now();
      this.harness.triggerFaults('connection-accepted', null, clients.gateway);
      if (this.pendingRequests) { const requests = this.pendingRequests; this.pendingRequests = null; this.send(requests); }
    });
    this.reader = new ResponseReader({
      onHead: (status, headers) => this.onHead(status, headers),
      onBody: (text) => this.onBody(text),
      onEnd: () => this.onResponseEnd(),
      onError: (description) => { if (!this.ended) { this.harness.violation('answer', this.queue[0]?.txn ?? '-', `malformed response: ${description}`); this.close('unreadable'); } },
    });
    this.socket.on('data', (bytes) => { if (!this.ended) this.reader.feed(bytes); });
    this.socket.on('end', () => this.close('fin'));
    this.socket.on('error', (error) => { if (error.code === 'ECONNRESET') for (const request of this.closedUnderRequests) request.resetAfter = true; this.close(error.code); });
    this.socket.on('close', () => this.close('close'));
  }
  send(requests) {
    if (!this.connected) { this.pendingRequests = requests; return; }
    const writeSlowly = this.clients.writeSlowly && this.clients.random.chance(0.5);
    for (const [index, request] of requests.entries()) {
      Object.assign(request, { connection: this, fresh: this.responseCount === 0, behind: index, openedAt: this.openedAt });
      this.queue.push(request);
    }
    const bytes = requests.map((request) => request.bytes).join('');
    if (writeSlowly && requests.length === 1) return this.sendSlowly(requests[0], bytes);
    const now = this.harness.now();
    for (const request of requests) { request.sentAt = now; this.harness.records.requests.push(request); }
    this.socket.write(bytes, 'latin1');
    this.harness.triggerFaults('request-written', null, this.clients.gateway);
  }
  sendSlowly(request, bytes) {
    const pieceBytes = Math.ceil(bytes.length / 8);
    let offset = 0;
    const writeNext = () => {
      if (this.ended) return;
      const isLast = offset + pieceBytes >= bytes.length;
      if (isLast) { request.sentAt = this.harness.now(); this.harness.records.requests.push(request); }
      this.socket.write(bytes.slice(offset, offset + pieceBytes), 'latin1');
      offset += pieceBytes;
      if (isLast) return this.harness.triggerFaults('request-written', null, this.clients.gateway);
      setTimeout(writeNext, 15);
    };
    writeNext();
  }
  onHead(status, headers) {
    const request = this.queue[0];
    if (!request || request.sentAt < 0) {
      if (status === 408 || status === 503 || status === 400) return;  // announces the close after an incomplete request or none
      return this.harness.violation('answer', request?.txn ?? '-', `response ${status} to no request`);
    }
    Object.assign(request, { status, headers, headAt: this.harness.now() });
  }
  onBody(text) {
    const request = this.queue[0];
    if (!request) return;
    const now = this.harness.now();
    if (request.firstAt < 0) request.firstAt = now;
    request.text += text;
    if (request.status === 200) request.events.push({ at: now, length: request.text.length });
  }
  onResponseEnd() {
    const request = this.queue.shift();
    if (!request || request.sentAt < 0) return;
    request.endedAt = this.harness.now();
    request.end = 'whole';
    ++this.responseCount;
    if (request.status === 503) this.clients.retry(request);
    if (this.queue.length === 0 && !this.ended) {
      if (request.headers.connection === 'close') return this.close('told');
      if (this.clients.random.chance(this.harness.schedule.load.keep)) this.clients.idleConnections.push(this);
      else this.close('done');
    }
  }
  abandon(request) {
    if (this.ended || this.queue.length === 0 || (request && this.queue[0] !== request)) return;
    const now = this.harness.now();
    for (const queued of this.queue) { queued.leftAt = now; queued.end ||= 'left'; }
    this.close('left');
  }
  // Records the close of the connection, by either side.
  close(reason) {
    if (this.ended) return;
    this.ended = true;
    this.clients.connections.delete(this);
    const now = this.harness.now();
    const gatewayRunning = this.clients.gateway.running;
    for (const request of this.queue) {
      if (request.sentAt < 0 || request.leftAt >= 0) continue;
      request.endedAt = now;
      request.end = reason;
      request.closedAlive = gatewayRunning;
      this.closedUnderRequests.push(request);
      if (request.headAt < 0 && !request.fresh && !request.resend) this.resend(request);
      if (request.status === 200) this.clients.resume();
    }
    this.queue = this.queue.filter((request) => request.sentAt < 0);
    if (reason === 'fin' || reason === 'told') this.socket.end();
    setTimeout(() => this.socket.destroy(), reason === 'left' ? 0 : 100);
    if (reason === 'left') this.socket.destroy();
  }
  // The request crossed the close of a reused connection: sends it once more on a new one, as the platform's clients do.
  resend(request) {
    const resent = { ...request, resend: true, sentAt: -1, status: 0, headAt: -1, endedAt: -1, end: '', events: [], text: '' };
    request.crossed = resent;
    resent.first = request;
    if (!this.harness.loadEnded) this.clients.submit(resent);
  }
}
