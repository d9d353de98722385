// A process of clients that send readiness checks at full speed, each on a connection of its own, and read every answer.
//     node flood.mjs PORT CONNECTIONS SECONDS
import net from 'node:net';

const [port, connections, seconds] = process.argv.slice(2).map(Number);
const REQUESTS = 'GET /-/ready HTTP/1.1\r\n\r\n'.repeat(20);
for (let index = 0; index < connections; ++index) {
  const socket = net.connect(port, '127.0.0.1');
  const sendMore = () => {
    if (socket.write(REQUESTS)) setImmediate(sendMore);
    else socket.once('drain', sendMore);
  };
  socket.on('connect', sendMore);
  socket.on('data', () => {});
  socket.on('error', () => {});
}
setTimeout(() => process.exit(0), seconds * 1000);
