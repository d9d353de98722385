// Assigns a loopback address to each process and path of a run, derived from the process id, so that concurrent runs do not
// collide. The fixed port cannot be taken by the source port of an outgoing connection, as those leave from 127.0.0.1.
export const PORT = 5000;
const FIRST_HOST = { gateway: 1, agent: 42, server: 124, path: 166 };  // last octet; room for 40 gateways, 80 agents, 40 servers, 40 paths

export class Addresses {
  constructor(id) { this.base = `127.${10 + id % 200}.${Math.floor(id / 200) % 256}`; }
  of(kind, index) { return `${this.base}.${FIRST_HOST[kind] + index}`; }
}
