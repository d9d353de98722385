// Incremental HTTP/1.1 parsers for requests and responses. They are strict: malformed input is an error and is never skipped.

// Parses consecutive requests with or without a Content-Length. Calls `onFirstByte` at the first byte of each request and
// `onRequest` when its body is complete.
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
        if (this.buffer.length > 0 && !this.firstByteSeen) { this.firstByteSeen = true; this.onFirstByte(); }
        const endAt = this.buffer.indexOf('\r\n\r\n');
        if (endAt < 0) return;
        const [startLine, ...headerLines] = this.buffer.slice(0, endAt).split('\r\n');
        const [method, target] = startLine.split(' ');
        const headers = {};
        for (const headerLine of headerLines) {
          const colon = headerLine.indexOf(':');
          headers[headerLine.slice(0, colon).toLowerCase()] = headerLine.slice(colon + 1).trim();
        }
        this.head = { method, target, headers };
        this.buffer = this.buffer.slice(endAt + 4);
      }
      const length = Number(this.head.headers['content-length'] ?? 0);
      if (!(length >= 0)) return this.onError('invalid content-length');
      if (this.buffer.length < length) return;
      const request = { ...this.head, body: this.buffer.slice(0, length) };
      this.buffer = this.buffer.slice(length);
      this.head = null;
      this.firstByteSeen = false;
      this.onRequest(request);
    }
  }
}

// Parses consecutive responses. Calls back with the status and headers, the body bytes, and the end of each.
export class ResponseReader {
  constructor({ onHead, onBody, onEnd, onError }) {
    Object.assign(this, { onHead, onBody, onEnd, onError });
    this.buffer = '';
    this.state = 'head';
    this.bytesLeft = 0;
  }
  atMessageBoundary() { return this.state === 'head' && this.buffer.length === 0; }
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
      if (!this.buffer.startsWith('\r\n')) return this.fail('expected CRLF at the end of the trailer section');
      this.buffer = this.buffer.slice(2);
      return this.end();
    }
    if (this.state === 'chunkEnd') {
      if (this.buffer.length < 2) return false;
      if (!this.buffer.startsWith('\r\n')) return this.fail('expected CRLF after the chunk data');
      this.buffer = this.buffer.slice(2);
      this.state = 'size';
      return true;
    }
    const bodyPart = this.buffer.slice(0, this.bytesLeft);
    this.buffer = this.buffer.slice(bodyPart.length);
    this.bytesLeft -= bodyPart.length;
    this.onBody(bodyPart);
    if (this.bytesLeft > 0) return false;
    if (this.state === 'chunk') { this.state = 'chunkEnd'; return true; }
    return this.end();
  }
  readHead() {
    const endAt = this.buffer.indexOf('\r\n\r\n');
    if (endAt < 0) return this.buffer.length > 65536 ? this.fail('header section over 65536 bytes') : false;
    const [startLine, ...headerLines] = this.buffer.slice(0, endAt).split('\r\n');
    const match = /^HTTP\/1\.1 (\d{3})/.exec(startLine);
    if (!match) return this.fail(`invalid status line '${startLine.slice(0, 60)}'`);
    const headers = {};
    for (const headerLine of headerLines) {
      const colon = headerLine.indexOf(':');
      headers[headerLine.slice(0, colon).toLowerCase()] = headerLine.slice(colon + 1).trim();
    }
    this.buffer = this.buffer.slice(endAt + 4);
    this.onHead(Number(match[1]), headers);
    if (headers['transfer-encoding'] === 'chunked') this.state = 'size';
    else {
      this.bytesLeft = Number(headers['content-length'] ?? 0);
      if (this.bytesLeft === 0) return this.end();
      this.state = 'body';
    }
    return true;
  }
  readSize() {
    const endAt = this.buffer.indexOf('\r\n');
    if (endAt < 0) return this.buffer.length > 64 ? this.fail('chunk size line over 64 bytes') : false;
    const sizeText = this.buffer.slice(0, endAt);
    if (!/^[0-9a-fA-F]+$/.test(sizeText)) return this.fail(`invalid chunk size '${sizeText.slice(0, 20)}'`);
    this.buffer = this.buffer.slice(endAt + 2);
    this.bytesLeft = parseInt(sizeText, 16);
    this.state = this.bytesLeft === 0 ? 'trailer' : 'chunk';
    return true;
  }
  end() { this.state = 'head'; this.onEnd(); return true; }
  fail(what) { this.state = 'bad'; this.onError(what); return false; }
}
