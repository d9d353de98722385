// Injectors for each kind of fault. Each fault ends by itself within a bounded time.

const MALFORMED_REQUESTS = ['noise\r\n\r\n', 'POST /v1/chat/completions HTTP/1.1\r\ncontent-length: -5\r\n\r\n',
  'POST /v1/chat/completions HTTP/1.1\r\nx-txn: z\r\nx-lane: chat\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n'];
const INCOMPLETE_REQUEST = 'POST /v1/chat/completions HTTP/1.1\r\nx-txn: half\r\nx-lane: chat\r\nx-org: acme\r\nx-remaining: 900m\r\ncontent-length: 50\r\n\r\nhalf';
const FLOOD_CONNECTIONS = 140;

// Returns the server of a role that a fault targets, among those that are listed.
function targetServer(harness, { role, rank }) {
  const candidates = harness.servers.filter((server) => server.role === role && server.health !== 'removed');
  return candidates[rank % candidates.length];
}
function applyForDuration(fault, start, stop) {
  start();
  setTimeout(stop, fault.durationMs);
}
const setServerMode = (name) => (harness, fault) => {
  const server = targetServer(harness, fault.server);
  const { mode } = server;  // belongs to this incarnation: a restart replaces it
  applyForDuration(fault, () => { mode[name] = true; }, () => { delete mode[name]; });
};
const serversOfRole = (harness, role) => harness.servers.filter((server) => server.role === role && server.health !== 'removed');
const SWALLOW_BOTH = { inward: 'swallow', outward: 'swallow' };
const MIN_CUT_MS = 1500;  // longer than any release timeout (`releaseWithin`)
function cutPaths(harness, fault, servers, options) {
  const cut = harness.paths.cut(servers, options);
  setTimeout(() => harness.paths.endCut(cut), MIN_CUT_MS + fault.durationMs);
}
const suspend = (harness, fault) => applyForDuration(fault, () => harness.gateways[fault.gateway].signal('SIGSTOP'), () => harness.gateways[fault.gateway].signal('SIGCONT'));

// Sends many requests in a short time, so that some are in progress while a fault takes effect.
function startBurst(harness, fault, durationMs) {
  const { clients } = harness.gateways[fault.gateway];
  const until = harness.now() + durationMs;
  const sendNext = () => {
    if (harness.loadEnded || harness.now() > until) return;
    clients.submit();
    setTimeout(sendNext, 8);
  };
  sendNext();
}

// Restarts a server at its address, cold, after a drain or a crash.
async function replaceServer(harness, server, drainFirst) {
  if (server.replacing) return;
  server.replacing = true;
  if (drainFirst) {
    harness.discovery.publish(server, 'draining');
    await harness.sleep(1500);
  }
  server.crash();
  await harness.sleep(drainFirst ? 300 : 1000);
  if (!harness.runEnded) {
    await server.restart();
    harness.discovery.publish(server, 'up');
  }
  server.replacing = false;
}

// Drains, removes and stops a server; a replacement with a new name and address joins cold.
async function swapServer(harness, leaving) {
  if (leaving.replacing) return;
  leaving.replacing = true;
  harness.discovery.publish(leaving, 'draining');
  await harness.sleep(1500);
  harness.discovery.publish(leaving, 'removed');
  await harness.sleep(leaving.role === 'read' ? 600 : 100);
  leaving.crash();
  if (harness.runEnded) return;
  const replacement = harness.addServer(leaving.role, leaving.zone, leaving.block);
  if (!replacement) return;
  replacement.health = 'removed';  // until it is published
  await Promise.all([replacement.restart(), replacement.reachable]);
  harness.discovery.publish(replacement, 'up');
}

const INJECTORS = {
  term: (harness, fault) => {
    harness.gateways[fault.gateway].restart(false);
    startBurst(harness, fault, 4000);
  },
  // Suspends the process repeatedly during its shutdown, so that data is waiting unread when its timers fire.
  'term-stalled': async (harness, fault) => {
    const gateway = harness.gateways[fault.gateway];
    if (!gateway.running || gateway.restarting) return;
    const { incarnation } = gateway;
    gateway.restart(false);
    startBurst(harness, fault, 4000);
    while (incarnation.ended < 0 && !harness.loadEnded) {
      await harness.sleep(60);
      gateway.signal('SIGSTOP');
      await harness.sleep(40);
      gateway.signal('SIGCONT');
    }
  },
  burst: (harness, fault) => startBurst(harness, fault, Math.min(1500, fault.durationMs)),
  // All clients disconnect while the process is suspended, for less than the stall allowed between its clock read and a write
  // (CLOCK_TO_WRITE_STALL_MS in oracle.mjs).
  'leave-stalled': async (harness, fault) => {
    const gateway = harness.gateways[fault.gateway];
    startBurst(harness, fault, 300);
    await harness.sleep(200);
    gateway.signal('SIGSTOP');
    await harness.sleep(5);
    for (const connection of [...gateway.clients.connections]) connection.abandon();
    await harness.sleep(125);
    gateway.signal('SIGCONT');
  },
  kill: (harness, fault) => { harness.gateways[fault.gateway].restart(true); },
  hup: (harness, fault) => harness.gateways[fault.gateway].reload(),
  'hup-row': (harness, fault) => {
    for (let reload = 0; reload < 4; ++reload) setTimeout(() => { if (!harness.loadEnded) harness.gateways[fault.gateway].reload(); }, reload * fault.durationMs / 12);
  },
  'hup-torn': (harness, fault) => harness.gateways[fault.gateway].reload(Math.min(400, fault.durationMs), fault.offsetMs % 2 === 0),
  stop: suspend,
  'stop-short': suspend,
  drain: (harness, fault) => {
    const server = targetServer(harness, fault.server);
    if (server.replacing) return;
    server.replacing = true;
    harness.discovery.publish(server, 'draining');
    setTimeout(() => { server.replacing = false; harness.discovery.publish(server, 'up'); }, fault.durationMs + 2000);
  },
  'cold-start': (harness, fault) => { replaceServer(harness, targetServer(harness, fault.server), true); },
  'restart-server': (harness, fault) => { replaceServer(harness, targetServer(harness, fault.server), false); },
  silent: setServerMode('unresponsive'),
  'silent-role': (harness, fault) => {
    const modes = harness.servers.filter((server) => server.role === fault.server.role).slice(1).map((server) => server.mode);
    applyForDuration(fault, () => modes.forEach((mode) => { mode.unresponsive = true; }), () => modes.forEach((mode) => { delete mode.unresponsive; }));
  },
  slow: setServerMode('slow'),
  errors: setServerMode('errors'),
  full: setServerMode('full'),
  'reset-requests': setServerMode('resetRequests'),
  'reset-streams': setServerMode('resetStreams'),
  spoil: setServerMode('spoil'),
  'second-answer': (harness, fault) => {
    const modes = harness.servers.map((server) => server.mode);
    applyForDuration(fault, () => modes.forEach((mode) => { mode.secondAnswer = true; }), () => modes.forEach((mode) => { delete mode.secondAnswer; }));
    startBurst(harness, fault, fault.durationMs);
  },
  interim: setServerMode('interim'),
  'close-after': setServerMode('closeAfter'),
  'close-idle': (harness, fault) => {
    for (const connection of [...targetServer(harness, fault.server).connections]) if (!connection.currentAttempt) { if (fault.offsetMs % 2) connection.reset('idle'); else connection.socket.end(); }
  },
  'watch-silent': (harness, fault) => {
    for (const connection of harness.gateways[fault.gateway].agent.connections) connection.unresponsiveSince = harness.now();
  },
  'watch-reset': (harness, fault) => harness.gateways[fault.gateway].agent.reset(),
  'watch-slow': (harness, fault) => {
    const { agent } = harness.gateways[fault.gateway];
    applyForDuration(fault, () => { agent.mode ||= 'slow'; }, () => { if (agent.mode === 'slow') agent.mode = ''; });
  },
  'watch-refused': (harness, fault) => {
    const { agent } = harness.gateways[fault.gateway];
    if (agent.mode !== '') return;
    applyForDuration(fault, () => {
      agent.mode = 'refused';
      agent.setRefusing(true);
      if (agent.reloadRecord) agent.reloadRecord.refused = true;
    }, () => { agent.mode = ''; agent.setRefusing(false); });
  },
  'discovery-down': (harness, fault) => applyForDuration(fault, () => harness.discovery.setDown(true), () => harness.discovery.setDown(false)),
  // The next request on a connection that is idle now is answered by a reset.
  'forget-idle': (harness, fault) => { for (const connection of targetServer(harness, fault.server).connections) if (!connection.currentAttempt) connection.peerStateLost = true; },
  // The server's machine stops responding; when it returns, the connections that were open are reset.
  vanish: (harness, fault) => {
    const server = targetServer(harness, fault.server);
    const cut = harness.paths.cut([server], { inward: 'swallow', outward: 'swallow' });
    setTimeout(() => harness.paths.endCut(cut, true), fault.durationMs);
  },
  swap: (harness, fault) => { swapServer(harness, targetServer(harness, fault.server)); },
  'discovery-long': (harness, fault) => {
    harness.discovery.setDown(true);
    setTimeout(() => harness.discovery.setDown(false), 4000 + fault.durationMs);
    setTimeout(() => { if (!harness.runEnded) INJECTORS.drain(harness, fault); }, 4000 + fault.durationMs + 40 * fault.offsetMs);
  },
  quiet: (harness, fault) => {
    harness.loadPausedUntil = Math.max(harness.loadPausedUntil, harness.now() + 1000 + fault.durationMs);
    setTimeout(() => startBurst(harness, fault, 800), 1000 + fault.durationMs);
  },
  // All servers of a role are unresponsive for the whole of a gateway's shutdown.
  'term-hang': (harness, fault) => {
    const modes = harness.servers.filter((server) => server.role === fault.server.role).map((server) => server.mode);
    modes.forEach((mode) => { mode.unresponsive = true; });
    setTimeout(() => modes.forEach((mode) => { delete mode.unresponsive; }), 4200);
    setTimeout(() => INJECTORS.term(harness, fault), fault.offsetMs * 20);
  },
  // A gateway starts while discovery is down and servers begin to drain; it learns of the drains when discovery returns.
  'start-in-outage': async (harness, fault) => {
    const gateway = harness.gateways[fault.gateway];
    harness.discovery.setDown(true);
    gateway.restart(true);
    await harness.sleep(900);
    for (const role of ['read', 'write']) if (!harness.runEnded) INJECTORS.drain(harness, { ...fault, server: { ...fault.server, role }, durationMs: fault.durationMs + 2000 });
    await harness.sleep(600 + fault.durationMs / 2);
    startBurst(harness, fault, 1200);
    await harness.sleep(300 + 10 * fault.offsetMs);
    harness.discovery.setDown(false);
  },
  // All decode servers become unresponsive; the gateway is suspended while they resume, so that their events wait unread in its
  // sockets.
  'stop-over-return': async (harness, fault) => {
    startBurst(harness, fault, 400);
    await harness.sleep(400);
    const modes = harness.servers.filter((server) => server.role === 'write').map((server) => server.mode);
    modes.forEach((mode) => { mode.unresponsive = true; });
    await harness.sleep(2600);
    harness.gateways[fault.gateway].signal('SIGSTOP');
    await harness.sleep(400);
    modes.forEach((mode) => { delete mode.unresponsive; });
    await harness.sleep(1300);
    harness.gateways[fault.gateway].signal('SIGCONT');
  },
  // A reload, followed by a drain that only the new discovery address reports.
  'hup-drain': (harness, fault) => {
    harness.gateways[fault.gateway].reload();
    setTimeout(() => { if (!harness.runEnded) INJECTORS.drain(harness, fault); }, fault.offsetMs * 10);
  },
  'cut-server': (harness, fault) => cutPaths(harness, fault, [targetServer(harness, fault.server)], SWALLOW_BOTH),
  'cut-role': (harness, fault) => cutPaths(harness, fault, serversOfRole(harness, fault.server.role), SWALLOW_BOTH),
  'cut-zone': (harness, fault) => cutPaths(harness, fault, harness.servers.filter((server) => server.zone === (fault.offsetMs % 2 ? 'a' : 'b')), SWALLOW_BOTH),
  // Open connections stop carrying data without an error; new ones work.
  'cut-open': (harness, fault) => cutPaths(harness, fault, fault.offsetMs % 2 ? harness.servers : serversOfRole(harness, fault.server.role), { ...SWALLOW_BOTH, openOnly: true }),
  'cut-one-way': (harness, fault) => cutPaths(harness, fault, serversOfRole(harness, fault.server.role), fault.offsetMs % 2 ? { inward: 'swallow' } : { outward: 'swallow' }),
  // Bytes written during the cut are delivered when it ends.
  'cut-hold': (harness, fault) => cutPaths(harness, fault, serversOfRole(harness, fault.server.role), fault.offsetMs % 3 ? { inward: 'hold', outward: 'hold' } : { inward: 'hold' }),
  // All decode servers and all prefill servers but one.
  'cut-most': (harness, fault) => cutPaths(harness, fault, [...serversOfRole(harness, 'write'), ...serversOfRole(harness, 'read').slice(1)], SWALLOW_BOTH),
  'term-in-cut': (harness, fault) => {
    startBurst(harness, fault, 600);
    cutPaths(harness, { ...fault, durationMs: 4000 }, serversOfRole(harness, 'write'), SWALLOW_BOTH);
    setTimeout(() => { if (!harness.loadEnded) INJECTORS.term(harness, fault); }, 60 * fault.offsetMs);
  },
  // Each request that begins in the window meets several faults in a row (step_faults.mjs).
  'fault-sequence': (harness, fault) => {
    const from = harness.now();
    harness.stepFaults.add({ steps: fault.steps, from, to: from + fault.durationMs });
    startBurst(harness, fault, Math.min(1000, fault.durationMs));
  },
  // Several signals in quick succession.
  'hup-term': (harness, fault) => {
    harness.gateways[fault.gateway].reload();
    setTimeout(() => { if (!harness.loadEnded) INJECTORS.term(harness, fault); }, 2 * fault.offsetMs);
  },
  'hup-term-hup': (harness, fault) => {
    const gateway = harness.gateways[fault.gateway];
    for (const delayMs of [0, 30]) setTimeout(() => { if (!harness.loadEnded) gateway.reload(); }, delayMs);
    setTimeout(() => { if (!harness.loadEnded) INJECTORS.term(harness, fault); }, 60);
    setTimeout(() => { if (!harness.loadEnded && gateway.running) gateway.signal('SIGHUP'); }, 400 + 20 * fault.offsetMs);
  },
  leave: (harness, fault) => { harness.gateways[fault.gateway].clients.abandonNextAfterMs = fault.offsetMs * 4; },
  half: (harness, fault) => { for (let i = 0; i < 3; ++i) harness.gateways[fault.gateway].clients.sendMalformed(INCOMPLETE_REQUEST, 'an incomplete request'); },
  pipeline: (harness, fault) => { for (let i = 0; i < 3; ++i) harness.gateways[fault.gateway].clients.pipeline(2 + i); },
  flood: (harness, fault) => {
    harness.floods.push({ gateway: fault.gateway, from: harness.now(), to: harness.now() + 2500 });
    for (let i = 0; i < FLOOD_CONNECTIONS; ++i) harness.gateways[fault.gateway].clients.sendMalformed('', 'no request');
  },
  'slow-write': (harness, fault) => {
    const { clients } = harness.gateways[fault.gateway];
    applyForDuration(fault, () => { clients.writeSlowly = true; }, () => { clients.writeSlowly = false; });
  },
  noise: (harness, fault) => { for (const bytes of MALFORMED_REQUESTS) harness.gateways[fault.gateway].clients.sendMalformed(bytes, 'a malformed request'); },
  clock: (harness, fault) => harness.gateways[fault.gateway].callFaults.stepWallClock(fault.clockStepMs),
  calls: (harness, fault) => {
    const gateway = harness.gateways[fault.gateway];
    const [systemCall, error, probability] = fault.systemCall;
    const callFault = { gateway: fault.gateway, systemCall, error, from: harness.now(), to: harness.now() + fault.durationMs };
    harness.callFaultWindows.push(callFault);
    applyForDuration(fault, () => gateway.callFaults.set(systemCall, error, probability), () => gateway.callFaults.clear(systemCall));
  },
};

// Starts a fault of the schedule.
export function injectFault(harness, fault) { INJECTORS[fault.kind](harness, fault); }
