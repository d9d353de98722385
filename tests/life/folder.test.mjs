// `gorsenotch serve` with a persistent state directory whose writes, syncs or reads fail temporarily. The system calls are made to
// fail by the preloaded fault injection library of the soak test.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { Faults } from '../soak/faults.mjs';
import { findFreePort, program, sleep, waitUntil } from './platform.mjs';

const root = new URL('../../', import.meta.url).pathname;
const example = readFileSync(path.join(root, 'examples/local.xml'), 'utf8');
const engines = [...example.matchAll(/<engine [^>]*>/g)].map((match) => match[0]);
const renderFleet = (count) => `<fleet xmlns="urn:gorsenotch:1">\n${engines.slice(0, count).join('\n')}\n</fleet>\n`;

// A process of `gorsenotch serve` with its settings, fleet file and state in one temporary directory.
class ServeProcess {
  stderr = '';
  async prepare() {
    this.dir = mkdtempSync(path.join(tmpdir(), 'gorsenotch-folder-'));
    this.settingsFile = path.join(this.dir, 'settings.xml');
    this.fleetFile = path.join(this.dir, 'fleet.xml');
    this.stateDir = this.dir;
    writeFileSync(this.settingsFile, example.replace('127.0.0.1:8080', `127.0.0.1:${await findFreePort()}`));
    this.writeFleet(10);
    this.faults = new Faults(path.join(this.dir, 'faults'), 1);
    return this;
  }
  // Replaces the fleet file atomically by one with `count` engines.
  writeFleet(count) {
    writeFileSync(`${this.fleetFile}.new`, renderFleet(count));
    renameSync(`${this.fleetFile}.new`, this.fleetFile);
  }
  run(options = []) {
    this.child = spawn(program, ['serve', this.settingsFile, '--fleet', this.fleetFile, '--state', this.stateDir, ...options], {
      stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LD_PRELOAD: process.env.FAULTS_LIBRARY, FAULTS_FILE: this.faults.file,
        ASAN_OPTIONS: 'verify_asan_link_order=0:detect_leaks=0' } });
    this.child.stderr.on('data', (chunk) => { this.stderr += chunk; });
    this.exited = new Promise((resolve) => this.child.on('close', (code) => resolve(code)));
    process.on('exit', () => this.child.kill('SIGKILL'));
  }
  // The texts of the saved fleet snapshots.
  savedFleets() {
    return ['a', 'b'].map((suffix) => path.join(this.stateDir, `fleet.${suffix}`)).filter(existsSync)
      .map((file) => readFileSync(file, 'utf8'));
  }
  async stop() {
    this.child.kill('SIGTERM');
    assert.equal(await this.exited, 0, this.stderr);
    assert.doesNotMatch(this.stderr, /Sanitizer|runtime error/);
  }
}

test('an endpoint list whose save fails temporarily is saved once writes succeed again', async () => {
  for (const [call, error] of [['writeFile', 'ENOSPC'], ['syncFile', 'EIO']]) {
    const serve = await new ServeProcess().prepare();
    serve.faults.set(call, error, 1);
    serve.run();
    await waitUntil(`a save that failed with ${error}`, () => serve.faults.given(call) > 0);
    await sleep(500);
    serve.faults.clear(call);
    await waitUntil(`the save after ${error}`, () => serve.savedFleets().some((text) => text.includes('<engine')), 4000);
    await serve.stop();
  }
});

test('a fleet file whose read fails temporarily is read once reads succeed again', async () => {
  const serve = await new ServeProcess().prepare();
  serve.run();
  await waitUntil('the first list', () => /"engines":10/.test(serve.stderr));
  serve.faults.set('openFile', 'EIO', 1);
  serve.writeFleet(7);
  await waitUntil('a failed read', () => serve.faults.given('openFile') > 0);
  await sleep(300);
  serve.faults.clear('openFile');
  await waitUntil('the new list', () => /"engines":7/.test(serve.stderr), 2000);
  await serve.stop();
});

test('a journal on a disk that is full temporarily logs the failure and can still be replayed', async () => {
  const serve = await new ServeProcess().prepare();
  const journal = path.join(serve.dir, 'journal.ndjson');
  serve.run(['--journal', journal]);
  await waitUntil('the first list', () => /"engines":10/.test(serve.stderr));
  serve.faults.set('writeFile', 'ENOSPC', 1);
  for (let i = 0; i < 30; ++i) { serve.writeFleet(3 + i % 7); await sleep(25); }
  await waitUntil('the log line about the journal', () => /"journal"/.test(serve.stderr), 4000);
  serve.faults.clear('writeFile');
  await serve.stop();
  const replay = spawn(program, ['replay', serve.settingsFile, journal], { stdio: 'ignore' });
  assert.equal(await new Promise((resolve) => replay.on('close', resolve)), 0);
});
