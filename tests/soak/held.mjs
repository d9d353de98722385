// Scenarios of leaked KV leases: one gateway, 4 prefill servers and 5 decode servers, each behind the fault proxy; 40 requests
// per second, half of them repeatable and half `once`, where the scenario sets nothing else. After 3 s its paths swallow bytes for
// 4.5 s, or the messages of each request meet the scenario's steps one after another (step_faults.mjs).
// Prints for each scenario how many leases were created during the fault, how many were held too long, the longest, and the
// request outcomes.
//
//     node tests/soak/held.mjs [SCENARIO...]     GORSENOTCH and FAULTS_LIBRARY as for scripts/soak
//
// Exits with 1 on any violation, on a `once` request executed twice, or where too few requests were answered.
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Harness } from './world.mjs';

const CUT_MS = 4500;
const decodeServers = (harness) => harness.servers.filter((server) => server.role === 'write');
const prefillServers = (harness) => harness.servers.filter((server) => server.role === 'read');
const SWALLOW_BOTH = { inward: 'swallow', outward: 'swallow' };

const SCENARIOS = {
  'all-writers': { cut: (harness) => [decodeServers(harness), SWALLOW_BOTH] },
  'after-quiet': { pauseMs: 9000, cut: (harness) => [decodeServers(harness), SWALLOW_BOTH] },
  'writers-and-readers': { cut: (harness) => [[...decodeServers(harness), ...prefillServers(harness).slice(1)], SWALLOW_BOTH] },
  'term': { termAfterMs: 700, cut: (harness) => [decodeServers(harness), SWALLOW_BOTH] },
  'four-of-five': { cut: (harness) => [decodeServers(harness).slice(1), SWALLOW_BOTH] },
  'four-of-five-short': { releaseWithin: 300, deadline: 2000, lanes: ['chat', 'key'], cut: (harness) => [decodeServers(harness).slice(1), SWALLOW_BOTH] },
  'open-connections': { cut: (harness) => [harness.servers, { ...SWALLOW_BOTH, openOnly: true }] },
  // A decode that arrives and is never answered, then further attempts that are lost on their own connections while their servers
  // answer everything else.
  'hung-decode-then-swallowed': { requestsPerS: 20, lanes: ['chat'], steps: ['ok', 'hang'], last: 'swallow' },
  'hung-decode-then-swallowed-short': { requestsPerS: 20, lanes: ['chat'], releaseWithin: 300, steps: ['ok', 'hang'], last: 'swallow' },
  'hung-decode-seen-late-then-swallowed': { requestsPerS: 20, lanes: ['chat'], steps: ['ok', 'hang-late'], last: 'swallow' },
  'two-of-five-hang-then-swallowed': { lanes: ['chat'], steps: ['ok', 'hang'], last: 'swallow', hangAt: 2 },
  'hung-decode-then-hung-prefill': { requestsPerS: 20, lanes: ['chat'], steps: ['ok', 'hang', 'hang', 'swallow'], last: 'ok' },
  'lost-prefill-then-swallowed': { requestsPerS: 20, lanes: ['chat'], steps: ['no-answer'], last: 'swallow' },
  'three-swallowed-prefills': { requestsPerS: 20, lanes: ['chat'], steps: ['no-answer', 'swallow', 'swallow', 'swallow'], last: 'ok' },
  'hung-decode-then-sound': { requestsPerS: 20, lanes: ['chat'], steps: ['ok', 'hang'], last: 'ok' },
  // Healthy servers that are slow to the first token: they must not be abandoned as unresponsive.
  'slow-writers': { requestsPerS: 4, firstToken: 1800, aim: 4000, seconds: 34 },
  'slow-writers-short': { requestsPerS: 4, firstToken: 1800, aim: 4000, seconds: 8, minAnsweredFraction: 0.55 },
};

function buildSchedule(scenario) {
  const deadline = scenario.deadline ?? 5000;
  return { seed: 90000, seconds: scenario.seconds ?? (3000 + CUT_MS + 1500 + (scenario.pauseMs ?? 0)) / 1000, gateways: 1, faults: [],
    settings: { aim: scenario.aim, resume: true, drainGrace: 250, releaseWithin: scenario.releaseWithin ?? 1000, deadlines: [deadline, deadline, deadline], window: 1500,
      idleClose: 15000, dialTimeout: 250, warmWithin: 8000, startCapacity: 0.3, fallMultiple: 2.5, fallWindow: 2000, retryAfter: false, group: 'all' },
    peerBehavior: { forms: false, dropShort: false, changes: true, retry: false, discoveryDelay: 0, firstToken: scenario.firstToken },
    load: { readers: 4, writers: 5, perGateway: scenario.requestsPerS ?? 40, leave: 0, keep: 0.8, lanes: scenario.lanes ?? ['chat', 'pay'], patient: true } };
}

function addSteps(harness, { steps, last, hangAt }, faultWindow) {
  const hangServers = hangAt ? new Set(decodeServers(harness).slice(0, hangAt).map((server) => server.name)) : null;
  faultWindow.from = harness.now();
  faultWindow.to = faultWindow.from + CUT_MS;
  harness.stepFaults.add({ steps, last, hangServers, ...faultWindow });
}

async function runScenario(name) {
  const scenario = SCENARIOS[name];
  const schedule = buildSchedule(scenario);
  const harness = new Harness(schedule, { program: process.env.GORSENOTCH, library: process.env.FAULTS_LIBRARY, dir: mkdtempSync(path.join(tmpdir(), `held-${name}-`)) });
  const faultWindow = { from: Infinity, to: -Infinity };
  harness.onLoadStart = async () => {
    if (!scenario.cut && !scenario.steps) return;
    await harness.sleep(3000);
    if (scenario.steps) return addSteps(harness, scenario, faultWindow);
    if (scenario.pauseMs) { harness.loadPausedUntil = harness.now() + scenario.pauseMs; await harness.sleep(scenario.pauseMs + 30); }
    const [servers, options] = scenario.cut(harness);
    const cut = harness.paths.cut(servers, options);
    faultWindow.from = harness.now();
    if (scenario.termAfterMs) setTimeout(() => harness.gateways[0].restart(false), scenario.termAfterMs);
    await harness.sleep(CUT_MS);
    harness.paths.endCut(cut);
    faultWindow.to = harness.now();
  };
  const verdict = await harness.run();
  const { requests, leases, attempts } = harness.records;
  const leasesInFault = leases.filter((lease) => lease.at >= faultWindow.from && lease.at <= faultWindow.to);
  const heldTooLong = verdict.violations.filter((violation) => violation.rule === 'pinned').length;
  const answered = requests.filter((request) => request.status === 200).length;
  const runsByTxn = new Map();
  for (const attempt of attempts) if (attempt.role === 'write' && attempt.ran) runsByTxn.set(attempt.txn, (runsByTxn.get(attempt.txn) ?? 0) + 1);
  const executedTwice = requests.filter((request) => request.lane === 'pay' && runsByTxn.get(request.txn) > 1).length;
  const otherViolations = verdict.violations.filter((violation) => violation.rule !== 'pinned');
  const withoutState = attempts.filter((attempt) => attempt.outcome === 'turned away 410').length;
  console.log(`${name}: ${leasesInFault.length} leases created during the fault, ${heldTooLong} held too long, longest ${verdict.longestLeaseMs.toFixed(0)} ms of ${schedule.settings.releaseWithin + 350}; ` +
    `${answered} of ${requests.length} requests answered, ${executedTwice} requests of effect once executed twice, ${harness.records.releases.length} releases, ` +
    `${attempts.length} attempts, ${withoutState} decodes answered 410, other violations ${otherViolations.length}`);
  for (const violation of verdict.violations.slice(0, 5)) console.log(`  ${violation.rule} ${violation.txn}: ${violation.why}`);
  console.log(`  logs in ${harness.dir}`);
  harness.close();
  return verdict.violations.length + executedTwice + (answered < (scenario.minAnsweredFraction ?? 0) * requests.length ? 1 : 0);
}

let failures = 0;
const names = process.argv.slice(2);
for (const name of names.length > 0 ? names : Object.keys(SCENARIOS)) failures += await runScenario(name);
process.exit(failures === 0 ? 0 : 1);
