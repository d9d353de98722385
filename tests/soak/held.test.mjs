// Guards against leaked KV leases (incident of 2026-12-02): when network paths swallow bytes without an error, a decode attempt
// or a release never arrives, and the prefill server keeps the lease. Real processes behind the fault proxy; see held.mjs.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import test from 'node:test';
import { fileURLToPath } from 'node:url';

const script = fileURLToPath(new URL('./held.mjs', import.meta.url));
const CUT_SCENARIOS = ['all-writers', 'four-of-five-short', 'open-connections', 'term', 'slow-writers-short'];
const STEP_SCENARIOS = ['hung-decode-then-swallowed', 'hung-decode-then-swallowed-short', 'hung-decode-seen-late-then-swallowed',
  'two-of-five-hang-then-swallowed'];

function runScenario(scenario) {
  const child = spawn(process.execPath, [script, scenario], { stdio: ['ignore', 'pipe', 'inherit'] });
  let output = '';
  child.stdout.on('data', (chunk) => { output += chunk; });
  return new Promise((resolve) => child.on('close', (code) => resolve({ scenario, code, output })));
}

async function expectNoViolation(scenarios) {
  const results = await Promise.all(scenarios.map(runScenario));
  for (const { output } of results) console.log(output);
  for (const { scenario, code, output } of results) assert.equal(code, 0, `${scenario}: ${output}`);
}

test('KV leases are taken or released in time when network paths swallow bytes', () => expectNoViolation(CUT_SCENARIOS));

// Guards against the incident of 2026-12-03.
test('KV leases are released in time when a hung decode is followed by swallowed attempts', () => expectNoViolation(STEP_SCENARIOS));
