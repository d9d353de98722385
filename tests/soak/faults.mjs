// Writes the control file that tells the preloaded library which system calls of a process fail (see faults.c).
import { closeSync, openSync, readSync, writeSync } from 'node:fs';

const CALLS = ['accept', 'socket', 'connect', 'listen', 'poll', 'wait', 'read', 'write', 'readShort', 'writeShort',
  'connectHang', 'openFile', 'writeFile', 'syncFile', 'writeDelay', 'connectDelay'];
const HEADER_BYTES = 16, ENTRY_BYTES = 16;
export const ERRNO = { EINTR: 4, EIO: 5, EAGAIN: 11, ENOMEM: 12, ENFILE: 23, EMFILE: 24, ENOSPC: 28,
  EADDRNOTAVAIL: 99, ENETUNREACH: 101, ECONNABORTED: 103, ENOBUFS: 105, ETIMEDOUT: 110, EHOSTUNREACH: 113 };

// The control file of one process.
export class Faults {
  constructor(file, seed) {
    this.file = file;
    this.fd = openSync(file, 'w+');
    writeSync(this.fd, Buffer.alloc(4096), 0, 4096, 0);
    const seedBytes = Buffer.alloc(4);
    seedBytes.writeUInt32LE(seed >>> 0);
    writeSync(this.fd, seedBytes, 0, 4, 8);
  }
  // Makes a system call fail. `error`: a name of ERRNO; for short reads and writes the maximum number of bytes, for delayed calls
  // the delay in ms. `probability`: the fraction of calls that fail.
  set(call, error, probability) {
    const entry = Buffer.alloc(8);
    entry.writeInt32LE(typeof error === 'number' ? error : ERRNO[error], 0);
    entry.writeUInt32LE(Math.round(probability * 65536), 4);
    writeSync(this.fd, entry, 0, 8, HEADER_BYTES + ENTRY_BYTES * CALLS.indexOf(call));
  }
  clear(call) { this.set(call, 0, 0); }
  // How many calls have failed so far.
  given(call) {
    const countBytes = Buffer.alloc(4);
    readSync(this.fd, countBytes, 0, 4, HEADER_BYTES + ENTRY_BYTES * CALLS.indexOf(call) + 8);
    return countBytes.readUInt32LE();
  }
  // Shifts the wall clock of the process by this much from its true value.
  stepWallClock(ms) {
    const offsetBytes = Buffer.alloc(8);
    offsetBytes.writeBigInt64LE(BigInt(Math.round(ms)));
    writeSync(this.fd, offsetBytes, 0, 8, 0);
  }
  close() { closeSync(this.fd); }
}
