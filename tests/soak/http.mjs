// Incremental readers of the two message forms on this platform's connections. They report what came and are strict: what
// cannot be read is an error, never skipped.

// Requests with a Content-Length (or none), one after another. `onHead` when a head is whole, `onRequest` when its body is.
export class RequestReader {
  constructor({ onFirstByte, onRequest, onError }) {
    Object.assign(this, { onFirstByte, onRequest, onError });
    this.buffer = '';
    this.head = null;
  }
  feed(bytes) {
    this.buffer += bytes;
    for (;;) {
      if (!this.head) {
        if (this.buffer.length > 0 && !this.began) { this.began = true; this.onFirstByte(); }
        const end = this.buffer.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [line, ...rows] = this.buffer.slice(0, end).split('\r\n');
        const [method, target] = line.split(' ');
        const headers = {};
        for (const row of rows) {
          const colon = row.indexOf(':');
          headers[row.slice(0, colon).toLowerCase()] = row.slice(colon + 1).trim();
        }
        this.head = { method, target, headers };
        this.buffer = this.buffer.slice(end + 4);
      }
      const length = Number(this.head.headers['content-length'] ?? 0);
      if (!(length >= 0)) return this.onError('content-length');
      if (this.buffer.length < length) return;
      const request = { ...this.head, body: this.buffer.slice(0, length) };
      this.buffer = this.buffer.slice(length);
      this.head = null;
      this.began = false;
      this.onRequest(request);
    }
  }
}

// Answers, one after another. Calls back with the status line and headers, body bytes, and the end of each.
export class AnswerReader {
  constructor({ onHead, onBody, onEnd, onError }) {
    Object.assign(this, { onHead, onBody, onEnd, onError });
    this.buffer = '';
    this.state = 'head';
    this.left = 0;
  }
  between() { return this.state === 'head' && this.buffer.length === 0; }
  feed(bytes) {
    this.buffer += bytes;
    while (this.step()) ;
  }
  step() {
    if (this.state === 'bad' || this.buffer.length === 0) return false;
    if (this.state === 'head') return this.readHead();
    if (this.state === 'size') return this.readSize();
    if (this.state === 'trailer') {
      if (this.buffer.length < 2) return false;
      if (!this.buffer.startsWith('\r\n')) return this.bad('trailer');
      this.buffer = this.buffer.slice(2);
      return this.end();
    }
    if (this.state === 'chunkEnd') {
      if (this.buffer.length < 2) return false;
      if (!this.buffer.startsWith('\r\n')) return this.bad('end of a chunk');
      this.buffer = this.buffer.slice(2);
      this.state = 'size';
      return true;
    }
    const piece = this.buffer.slice(0, this.left);
    this.buffer = this.buffer.slice(piece.length);
    this.left -= piece.length;
    this.onBody(piece);
    if (this.left > 0) return false;
    if (this.state === 'chunk') { this.state = 'chunkEnd'; return true; }
    return this.end();
  }
  readHead() {
    const at = this.buffer.indexOf('\r\n\r\n');
    if (at < 0) return this.buffer.length > 65536 ? this.bad('head') : false;
    const [line, ...rows] = this.buffer.slice(0, at).split('\r\n');
    const match = /^HTTP\/1\.1 (\d{3})/.exec(line);
    if (!match) return this.bad(`status line '${line.slice(0, 60)}'`);
    const headers = {};
    for (const row of rows) {
      const colon = row.indexOf(':');
      headers[row.slice(0, colon).toLowerCase()] = row.slice(colon + 1).trim();
    }
    this.buffer = this.buffer.slice(at + 4);
    this.onHead(Number(match[1]), headers);
    if (headers['transfer-encoding'] === 'chunked') this.state = 'size';
    else {
      this.left = Number(headers['content-length'] ?? 0);
      if (this.left === 0) return this.end();
      this.state = 'body';
    }
    return true;
  }
  readSize() {
    const at = this.buffer.indexOf('\r\n');
    if (at < 0) return this.buffer.length > 64 ? this.bad('size of a chunk') : false;
    const text = this.buffer.slice(0, at);
    if (!/^[0-9a-fA-F]+$/.test(text)) return this.bad(`size of a chunk '${text.slice(0, 20)}'`);
    this.buffer = this.buffer.slice(at + 2);
    this.left = parseInt(text, 16);
    this.state = this.left === 0 ? 'trailer' : 'chunk';
    return true;
  }
  end() { this.state = 'head'; this.onEnd(); return true; }
  bad(what) { this.state = 'bad'; this.onError(what); return false; }
}
