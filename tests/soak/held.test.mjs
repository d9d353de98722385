// Guards against leaked KV leases (incident of 2026-12-02): when network paths swallow bytes without an error, a decode attempt
// or a release never arrives, and the prefill server keeps the lease. Real processes behind the fault proxy; see held.mjs.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import test from 'node:test';
import { fileURLToPath } from 'node:url';

const script = fileURLToPath(new URL('./held.mjs', import.meta.url));
const SCENARIOS = ['all-writers', 'four-of-five-short', 'open-connections', 'term', 'slow-writers-short'];

function runScenario(scenario) {
  const child = spawn(process.execPath, [script, scenario], { stdio: ['ignore', 'pipe', 'inherit'] });
  let output = '';
  child.stdout.on('data', (chunk) => { output += chunk; });
  return new Promise((resolve) => child.on('close', (code) => resolve({ scenario, code, output })));
}

test('KV leases are taken or released in time when network paths swallow bytes', async () => {
  const results = await Promise.all(SCENARIOS.map(runScenario));
  for (const { output } of results) console.log(output);
  for (const { scenario, code, output } of results) assert.equal(code, 0, `${scenario}: ${output}`);
});
