// Simulated model servers: prefill servers (role `read`) and decode servers (role `write`) that follow the platform's protocol and
// inject faults. Each attempt is recorded with its times, and each KV lease of a prefill until a decode takes it or it is released.
import net from 'node:net';
import { PORT } from './addresses.mjs';
import { Random } from './random.mjs';
import { RequestReader } from './http.mjs';
import { LATE_CLOSE_MS } from './step_faults.mjs';
import { drawAnswerForm, wholeAnswer } from './stream_ends.mjs';

const LEASE_RETENTION_MS = 20000;  // an unused lease expires at the server after this
const CHUNK_NOISE = 'zz\r\nnoise';  // no chunk size can be read from it
const SHORT_TIMEOUT_MS = 60;  // with less remaining time a server may drop a request without a response

// A simulated model server.
export class ModelServer {
  constructor(harness, name, role, zone, block, address) {
    Object.assign(this, { harness, name, role, zone, block, address });
    this.path = address;  // where gateways connect: its own address or that of the fault proxy
    this.health = 'up';
    this.listedStartUnixMs = 0;  // start time in the endpoint list; 0: long ago
    this.lastStartAt = -1e9;  // on the harness's clock
    this.mode = {};  // active faults: unresponsive, slow, errors, full, ...
    this.connections = new Set();
    this.incarnation = 0;
    this.leases = new Map();  // txn -> record of a lease at this server
  }
  // Its entry in the endpoint list.
  get listEntry() {
    return { host: this.name, dial: `${this.path}:${PORT}`, site: this.zone, class: this.role === 'read' ? 'prefill' : 'decode',
      block: this.block, health: this.health, share: 1.0, born_ms: this.listedStartUnixMs };
  }
  listen() {
    this.server = net.createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
    return new Promise((resolve, reject) => {
      this.server.on('error', reject);
      this.server.listen(PORT, this.address, 1024, resolve);
    });
  }
  // Simulates a crash: resets connections, refuses new ones and loses all leases.
  crash() {
    ++this.incarnation;
    this.server?.close();
    this.server = null;
    for (const connection of [...this.connections]) connection.reset('the server died');
    for (const lease of this.leases.values()) lease.gone = this.harness.now();
    this.leases.clear();
  }
  async restart() {
    this.mode = {};
    for (let bindAttempt = 0; bindAttempt < 50; ++bindAttempt) {
      try { await this.listen(); break; } catch { await new Promise((resolve) => setTimeout(resolve, 50)); }
    }
    this.lastStartAt = this.harness.now();
    this.listedStartUnixMs = Math.round(Date.now());
    this.harness.records.starts.push({ server: this.name, at: this.lastStartAt });
  }
  stop() { this.server?.close(); for (const connection of [...this.connections]) connection.reset('the end'); }
  accept(socket) {
    if (!this.server) return socket.destroy();
    new ServerConnection(this, socket);
  }
}

// A connection from a gateway or from the fault proxy.
class ServerConnection {
  constructor(server, socket) {
    this.server = server;
    this.socket = socket;
    this.port = socket.remotePort;  // undefined once the peer has reset the connection
    this.harness = server.harness;
    this.currentAttempt = null;  // the attempt being served
    this.peerStateLost = false;  // as if this host had lost the connection's state: the next request is answered by a reset
    this.ended = false;
    this.inwardLost = false;  // nothing more arrives on this connection, nor does its end
    this.outwardLost = false;  // nothing more leaves on this connection
    this.closeDelayMs = 0;  // the end of the connection is seen this much later
    socket.setNoDelay(true);
    server.connections.add(this);
    this.reader = new RequestReader({
      onFirstByte: () => { this.firstByteAt = this.harness.now(); },
      onRequest: (request) => this.onRequest(request),
      onError: () => this.reset('unreadable'),
    });
    socket.setEncoding('latin1');
    socket.on('data', (bytes) => { if (!this.ended && !this.inwardLost) this.reader.feed(bytes); });
    socket.on('error', () => {});
    socket.on('end', () => this.onPeerClosed('fin'));
    socket.on('close', () => this.onPeerClosed('close'));
  }
  onPeerClosed(reason) {
    if (this.inwardLost && reason === 'fin') return;
    if (this.currentAttempt) this.currentAttempt.peerEndedAt ??= this.harness.now();
    if (this.closeDelayMs === 0) return this.onClosed(reason);
    setTimeout(() => this.onClosed(reason), this.closeDelayMs);
  }
  onClosed(reason) {
    if (this.ended) return;
    this.ended = true;
    this.server.connections.delete(this);
    if (this.currentAttempt) this.endAttempt(this.currentAttempt, `peer-${reason}`);
    this.socket.destroy();
  }
  reset(why) {
    if (this.ended) return;
    this.ended = true;
    this.server.connections.delete(this);
    if (this.currentAttempt) this.endAttempt(this.currentAttempt, `reset: ${why}`);
    this.socket.resetAndDestroy();
  }
  // Records the end of an attempt, once. `outcome`: the response sent or the close seen.
  endAttempt(attempt, outcome) {
    if (this.currentAttempt === attempt) this.currentAttempt = null;
    if (attempt.endedAt >= 0) return;
    attempt.endedAt = this.harness.now();
    attempt.outcome = outcome;
  }
  write(text) { if (!this.ended && !this.outwardLost) this.socket.write(text, 'latin1'); }
  // Runs a callback after a delay, unless the connection or the server has ended.
  runAfter(delayMs, callback) {
    const incarnation = this.server.incarnation;
    setTimeout(() => { if (!this.ended && this.server.incarnation === incarnation) this.whenResponsive(callback); }, delayMs);
  }
  // Runs a callback as soon as the server is not `unresponsive`.
  whenResponsive(callback) {
    if (this.ended) return;
    if (this.server.mode.unresponsive) { setTimeout(() => this.whenResponsive(callback), 20); return; }
    callback();
  }
  onRequest(request) {
    const { server, harness } = this;
    const now = harness.now();
    if (this.peerStateLost) {
      if (request.headers['x-txn']) this.currentAttempt = this.recordAttempt(request, now);
      return this.reset('forgotten');
    }
    const releaseMatch = /^\/bootstrap\/rooms\/(.+)$/.exec(request.target);
    if (releaseMatch) {
      const release = { txn: releaseMatch[1], server: server.name, at: now, method: request.method, silent: Boolean(server.mode.unresponsive) };
      harness.records.releases.push(release);
      harness.triggerFaults('release-seen', null);
      // An unresponsive server still runs: a release that has reached it takes effect.
      if (request.method === 'DELETE') harness.releaseLeases(releaseMatch[1], now);
      return this.whenResponsive(() => this.write('HTTP/1.1 204 No Content\r\n\r\n'));
    }
    const step = harness.stepFaults.next(request.headers['x-txn'], server.name);
    if (step === 'swallow') {
      harness.records.swallowed.push({ txn: request.headers['x-txn'], server: server.name, at: now });
      this.inwardLost = this.outwardLost = true;
      return;
    }
    if (step === 'no-answer') this.outwardLost = true;
    if (step === 'hang-late') this.closeDelayMs = LATE_CLOSE_MS;
    const attempt = this.recordAttempt(request, now);
    const { txn } = attempt;
    harness.onAttemptArrived(attempt);
    if (this.currentAttempt) { this.endAttempt(this.currentAttempt, 'overrun'); harness.violation('pipeline', txn, 'a request was pipelined behind one still open'); }
    this.currentAttempt = attempt;
    this.random = new Random(harness.schedule.seed, `${txn}@${server.name}#${attempt.id}`);
    if (harness.schedule.peerBehavior.dropShort && attempt.told < SHORT_TIMEOUT_MS) return;
    if (step === 'hang' || step === 'hang-late') return;
    this.whenResponsive(() => this.serve(attempt));
  }
  recordAttempt(request, now) {
    const { server, harness } = this;
    const txn = request.headers['x-txn'];
    const attempt = { id: harness.records.attempts.length, txn, server: server.name, role: server.role, zone: server.zone, life: server.incarnation,
      firstByteAt: this.firstByteAt, lastByteAt: now, told: parseFloat(request.headers['x-remaining']),
      block: server.block, body: request.body, target: request.target, endedAt: -1, outcome: '', ran: false, port: this.port, turnedAway: false, events: [], whole: false,
      cold: now - server.lastStartAt < harness.schedule.settings.warmWithin };
    harness.records.attempts.push(attempt);
    return attempt;
  }
  serve(attempt) {
    const { mode } = this.server;
    const random = this.random;
    this.forms = this.harness.schedule.peerBehavior.forms && random.chance(0.5);
    if (mode.full && random.chance(0.7)) return this.reject(attempt, this.forms ? 504 : 503);
    if (mode.resetRequests && random.chance(0.5)) {
      attempt.ran = true;
      return this.runAfter(random.between(0, 10), () => this.reset('under a request'));
    }
    if (mode.errors && random.chance(0.7)) {
      attempt.ran = true;
      this.write('HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\nno');
      return this.endAttempt(attempt, 'error');
    }
    const slowdown = mode.slow ? 8 : 1;
    attempt.ran = true;
    if (mode.interim) this.write('HTTP/1.1 102 Processing\r\n\r\n');
    if (this.server.role === 'read') return this.runAfter(random.between(4, 40) * slowdown, () => this.sendPrefillResponse(attempt));
    const { firstToken } = this.harness.schedule.peerBehavior;  // set by some scenarios
    this.runAfter(firstToken ?? random.between(5, 40) * slowdown, () => this.streamDecodeResponse(attempt, slowdown));
  }
  reject(attempt, status) {
    attempt.turnedAway = true;
    const headerName = this.forms ? 'X-Turned-Away' : 'x-turned-away';
    this.write(`HTTP/1.1 ${status} No\r\n${headerName}: 1\r\ncontent-length: 0\r\n\r\n`);
    this.endAttempt(attempt, `turned away ${status}`);
  }
  sendPrefillResponse(attempt) {
    if (!attempt.releasedAhead) this.server.harness.addLease(attempt, this.server, LEASE_RETENTION_MS);
    if (this.server.mode.spoil && this.random.chance(0.4)) {
      this.write('\x01\x02 noise\r\n\r\n');
      return this.endAttempt(attempt, 'spoilt');
    }
    if (!this.forms) {
      this.write('HTTP/1.1 202 Accepted\r\ncontent-length: 20\r\n\r\n{"cached_tokens": 7}');
      return this.onResponseSent(attempt, 'read');
    }
    this.writeInPieces('HTTP/1.1 202 Accepted\r\nTransfer-Encoding: Chunked\r\nX-Other: a, b\r\n\r\n6;part=1\r\n{"cach\r\nE\r\ned_tokens": 7}\r\n0\r\n\r\n',
      () => this.onResponseSent(attempt, 'read'));
  }
  // Writes a text in three pieces, up to 4 ms apart.
  writeInPieces(text, callback) {
    const offsets = [0, this.random.integer(1, text.length - 2), text.length - 1, text.length];
    const writePiece = (index) => {
      this.write(text.slice(offsets[index], offsets[index + 1]));
      if (index === 2) return callback();
      this.runAfter(this.random.between(0, 4), () => writePiece(index + 1));
    };
    writePiece(0);
  }
  // Faults after a complete response: an unsolicited second response, or a reset.
  onResponseSent(attempt, outcome) {
    const { mode } = this.server;
    this.endAttempt(attempt, outcome);
    if (mode.secondAnswer && this.random.chance(0.5)) {
      const unsolicited = 'HTTP/1.1 202 Accepted\r\ncontent-length: 20\r\n\r\n{"cached_tokens": 9}';
      if (this.random.chance(0.5)) return this.write(unsolicited);
      setTimeout(() => { if (!this.ended && !this.currentAttempt) this.write(unsolicited); }, this.random.between(1, 12));
    }
    if (mode.closeAfter && this.random.chance(0.6)) {
      setTimeout(() => { if (!this.ended && !this.currentAttempt) this.reset('idle'); }, this.random.between(0, 30));
    }
  }
  streamDecodeResponse(attempt, slowdown) {
    const { mode } = this.server;
    const random = this.random;
    if (!this.harness.takeLeases(attempt.txn, this.harness.now())) {
      attempt.ran = false;
      return this.reject(attempt, 410);
    }
    if (mode.spoil && random.chance(0.3)) {
      this.write('HTTP/1.1 20');
      return this.runAfter(5, () => { this.write('\x00\r\nnoise'); this.endAttempt(attempt, 'spoilt'); });
    }
    attempt.headAt = this.harness.now();
    const eventCount = random.chance(0.1) ? random.integer(30, 120) : random.integer(2, 14);
    const events = wholeAnswer(attempt.id, eventCount);
    const { streamEnds } = this.harness.schedule.peerBehavior;
    const form = streamEnds ? drawAnswerForm(random.stream('end'), events, streamEnds) : { end: null, contentLength: null };
    const framing = form.contentLength === null ? 'transfer-encoding: chunked' : `content-length: ${form.contentLength}`;
    this.write(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n${framing}\r\n\r\n`);
    this.harness.triggerFaults('head-sent', attempt);
    this.sendEvents(attempt, events, form, slowdown);
  }
  // Writes the events one after the other, as far as the answer goes.
  sendEvents(attempt, events, { end, contentLength }, slowdown) {
    const { mode } = this.server;
    const random = this.random;
    let bytesLeft = end ? end.bytes : Infinity;
    const sendEvent = () => {
      if (this.ended || this.currentAttempt !== attempt) return;
      if (bytesLeft === 0) return this.endStreamEarly(attempt, end.way, contentLength);
      const isLast = attempt.events.length === events.length - 1;
      const text = events[attempt.events.length].slice(0, bytesLeft);
      const isCut = text.length < events[attempt.events.length].length;
      bytesLeft -= text.length;
      if (mode.resetStreams && attempt.events.length > 0 && random.chance(0.2)) return this.reset('a stream');
      if (mode.spoil && attempt.events.length > 0 && random.chance(0.1)) {
        this.write(CHUNK_NOISE);
        if (contentLength !== null) attempt.partial = CHUNK_NOISE;  // a part of the body there
        attempt.spoiltAt = this.harness.now();
        return this.endAttempt(attempt, 'spoilt');
      }
      const onEventSent = () => {
        if (this.ended || this.currentAttempt !== attempt) return;
        if (isCut) return this.endStreamEarly(attempt, end.way, contentLength);
        delete attempt.partial;
        attempt.events.push({ text, at: this.harness.now() });
        // With a length the message ends with the last of its bytes.
        if (bytesLeft === 0 && end.way === 'message' && contentLength !== null && !isLast) return this.endStreamEarly(attempt, end.way, contentLength);
        if (!isLast) return this.runAfter(random.between(5, 40) * Math.min(slowdown, 4), sendEvent);
        if (end && end.way !== 'message' && contentLength === null) return this.endStreamEarly(attempt, end.way, contentLength);
        if (contentLength === null) this.write('0\r\n\r\n');
        attempt.whole = true;
        this.onResponseSent(attempt, 'served');
      };
      if (isCut) attempt.partial = text;
      if (contentLength !== null) { this.write(text); return onEventSent(); }
      const chunk = `${text.length.toString(16)}\r\n${text}\r\n`;
      if (this.forms && text.length > 1 && random.chance(0.3)) {
        attempt.partial = text;  // part of it may have been sent when the connection breaks
        return this.writeInPieces(this.splitIntoChunks(text), onEventSent);
      }
      this.write(chunk);
      onEventSent();
    };
    sendEvent();
  }
  // Ends an answer that is not whole in one of the ways of stream_ends.mjs.
  endStreamEarly(attempt, way, contentLength) {
    attempt.endedEarly = way;
    attempt.spoiltAt = this.harness.now();
    if (way === 'silence') return;
    if (way === 'reset') return this.reset('an answer that is not whole');
    if (way === 'message') {
      if (contentLength === null) this.write('0\r\n\r\n');
      return this.endAttempt(attempt, 'ended its message early');
    }
    this.endAttempt(attempt, 'ended its connection early');
    this.ended = true;
    this.server.connections.delete(this);
    this.socket.end();
    setTimeout(() => this.socket.destroy(), 1000);
  }
  // Splits an event into two chunks.
  splitIntoChunks(text) {
    const offset = this.random.integer(1, text.length - 1);
    return [text.slice(0, offset), text.slice(offset)].map((chunk) => `${chunk.length.toString(16).toUpperCase()}\r\n${chunk}\r\n`).join('');
  }
}
