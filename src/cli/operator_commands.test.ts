/** Runs the operators' commands one after another as processes, against two instances. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {createSystemClock} from '../common/clock.js';
import {createSilentLog} from '../common/log.js';
import {startInstance, type Instance} from '../instance/instance.js';
import type {ListedInstance} from '../stores/instance_list.js';
import {ENGINE_DOCUMENT, makeSettings} from '../testing/fixtures.js';
import {
  buildSettingsText,
  startConnectedPlatform,
} from '../testing/platforms.js';
import {EXIT_CODES} from './exit_codes.js';

const MAIN = join(import.meta.dirname, '..', 'main.js');

interface CommandResult {
  code: number;
  stdout: string;
  stderr: string;
}

function runCommand(...argv: string[]): Promise<CommandResult> {
  return new Promise(resolve => {
    execFile(process.execPath, [MAIN, ...argv], (error, stdout, stderr) => {
      resolve({code: Number(error?.code ?? 0), stdout, stderr});
    });
  });
}

describe("operators' commands", () => {
  const directory = mkdtempSync(join(tmpdir(), 'operator-'));
  const settingsFile = join(directory, 'entry.ini');
  const documentFile = join(directory, 'drum-reader.ini');
  const instances: Instance[] = [];
  let tested: Awaited<ReturnType<typeof startConnectedPlatform>>;

  function listEntry(name: string, address: string): ListedInstance {
    return {
      name,
      role: 'entry',
      address,
      region: 'klang',
      failureDomain: 'klang-a',
      state: 'live',
    };
  }

  const run = (...argv: string[]) =>
    runCommand(...argv, '--settings', settingsFile);

  before(async () => {
    tested = await startConnectedPlatform();
    writeFileSync(settingsFile, buildSettingsText(tested.settings));
    writeFileSync(documentFile, ENGINE_DOCUMENT);
    for (const name of ['entry-1', 'entry-2']) {
      instances.push(
        await startInstance({
          settings: makeSettings(name),
          platform: tested.platform,
          clock: createSystemClock(),
          log: createSilentLog(),
        }),
      );
    }
    tested.memory.setInstances(
      instances.map(({peersAddress}, index) =>
        listEntry(`entry-${index + 1}`, peersAddress),
      ),
    );
  });

  after(async () => {
    await Promise.all(instances.map(instance => instance.stop()));
    await tested.close();
    rmSync(directory, {recursive: true});
  });

  it('apply a document, wait until it is active and show its history', async () => {
    const first = await run('apply', documentFile, '--wait', '--author', 'ana');
    assert.equal(first.code, 0, first.stderr);
    assert.equal(
      first.stdout,
      'drum-reader: applied, version 1\nin force on 2 of 2 instances\n',
    );
    const again = await run('apply', documentFile, '--json');
    assert.equal(JSON.parse(again.stdout).kind, 'unchanged');
    writeFileSync(documentFile, ENGINE_DOCUMENT.replace('50/s', '60/s'));
    const conflicting = await run('apply', documentFile, '--base', '0');
    assert.equal(conflicting.code, EXIT_CODES.conflict);
    assert.match(conflicting.stderr, /version 1 by ana is in force/);
    const shown = await run('services', 'show', 'drum-reader');
    assert.equal(shown.stdout, ENGINE_DOCUMENT);
    const history = await run('services', 'history', 'drum-reader', '--json');
    assert.deepEqual(
      JSON.parse(history.stdout).map(({author}: {author: string}) => author),
      ['ana'],
    );
  });

  it('reject an invalid document and name the section and key', async () => {
    writeFileSync(documentFile, ENGINE_DOCUMENT.replace('50/s', 'fast'));
    const refused = await run('apply', documentFile);
    assert.equal(refused.code, EXIT_CODES.failure);
    assert.match(refused.stderr, /account\.gate \/ rate/);
  });

  it('give and withdraw a key, and name the instances that have not confirmed', async () => {
    const given = JSON.parse(
      (await run('key', 'give', 'gate', '--wait', '--json')).stdout,
    );
    assert.match(given.secret, /^mr-/);
    const listed = await run('key', 'list', '--account', 'gate');
    assert.equal(listed.stdout, `gate\t${given.keyId}\tvalid\n`);
    const withdrawn = await run('key', 'withdraw', given.keyId);
    assert.equal(withdrawn.code, 0, withdrawn.stderr);
    assert.match(withdrawn.stdout, /in force on 2 of 2 instances/);
    // The withdrawal is repeated when it is already active on both instances, so that
    // the 1 s timeout does not depend on how fast they confirm on a busy machine.
    const unreachable = listEntry('entry-3', '127.0.0.1:1');
    tested.memory.setInstances([...tested.memory.getInstances(), unreachable]);
    const args = ['key', 'withdraw', given.keyId, '--timeout', '1'];
    const again = await run(...args);
    assert.equal(again.code, EXIT_CODES.unconfirmed);
    assert.match(again.stdout, /in force on 2 of 3 instances/);
    assert.match(again.stdout, /not on entry-3 \(klang-a\): no-answer/);
    const missing = await run('key', 'withdraw', 'key-of-nobody');
    assert.equal(missing.code, EXIT_CODES.failure);
  });

  it('report that the platform did not answer when it is down', async () => {
    tested.memory.faults.down = true;
    const failed = await run('key', 'list');
    tested.memory.faults.down = false;
    assert.equal(failed.code, EXIT_CODES.failure);
    assert.match(failed.stderr, /the platform gave no answer/);
  });
});
