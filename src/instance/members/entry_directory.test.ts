/** Rows of instances that start, leave, die and are cut off. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {createMemoryWatch} from '../../testing/memory_watch.js';
import {SILENT_ENTRY_ALONE_MS, SILENT_ENTRY_MS} from './constants.js';
import {createEntryDirectory} from './entry_directory.js';
import type {Members} from './members.js';

function createFleet() {
  const watch = createMemoryWatch(createMemoryPlatform().table);

  function join(name: string, incarnation = `${name}-run-1`) {
    return createEntryDirectory({
      self: {
        name,
        address: `10.0.0.${name.at(-1)}:80`,
        region: 'klang',
        failureDomain: 'klang-a',
        incarnation,
        startedAt: 1000,
        capacity: 1.35,
      },
      table: watch.table,
      watch,
      log: createSilentLog(),
      onChange() {},
    });
  }

  return {join};
}

/** What heartbeats tell: who is live, and who was found silent. */
function makeMembers(live: string[], silent: string[]): Members {
  return {
    listLive: () => live.map(name => ({name})),
    isSuspected: (name: string) => silent.includes(name),
  } as never;
}

const NAMES = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5'];

async function joinAll(names: readonly string[]) {
  const fleet = createFleet();
  const directories = names.map(name => fleet.join(name));
  for (const directory of directories) await directory.register();
  return {fleet, directories};
}

function listNames({list}: {list(): {name: string}[]}): string[] {
  return list().map(({name}) => name);
}

describe('the registered instances', () => {
  it('are known to all with what others need of them', async () => {
    const {directories} = await joinAll(NAMES.slice(0, 2));
    const [, found] = directories[0].list();
    assert.deepEqual(found, {
      name: 'entry-2',
      role: 'entry',
      address: '10.0.0.2:80',
      region: 'klang',
      failureDomain: 'klang-a',
      startedAt: 1000,
      capacity: 1.35,
      state: 'live',
    });
  });

  it('follow a restart and a graceful end', async () => {
    const {fleet, directories} = await joinAll(NAMES.slice(0, 2));
    await fleet.join('entry-2', 'entry-2-run-2').register();
    assert.equal(directories[0].findIncarnation('entry-2'), 'entry-2-run-2');
    // The run before ends late: it must not take the new one's row away.
    await directories[1].leave();
    assert.deepEqual(listNames(directories[0]), ['entry-1', 'entry-2']);
  });

  it('lose those that were silent for long, by one instance only', async () => {
    const {directories} = await joinAll(NAMES);
    const members = makeMembers(NAMES.slice(1), ['entry-1']);
    const [, ...others] = directories;
    for (const each of others) await each.removeSilent(members, 0);
    for (const each of others) {
      await each.removeSilent(members, SILENT_ENTRY_MS - 1);
    }
    assert.equal(others[0].list().length, 5);
    for (const each of others)
      await each.removeSilent(members, SILENT_ENTRY_MS);
    assert.deepEqual(listNames(others[0]), NAMES.slice(1));
  });

  it('come back when they were only cut off', async () => {
    const {directories} = await joinAll(NAMES);
    const members = makeMembers(NAMES.slice(1), ['entry-1']);
    for (const at of [0, SILENT_ENTRY_MS]) {
      for (const each of directories.slice(1))
        await each.removeSilent(members, at);
    }
    await directories[0].register();
    assert.equal(directories[1].list().length, 5);
  });

  it('are not taken for dead by the smaller side of a cut', async () => {
    // Two of five instances reach the store but not the others. Without the
    // longer wait each side would delete the other's rows, which would come
    // back at once, and all work would change hands with them.
    const {directories} = await joinAll(NAMES);
    const few = makeMembers(NAMES.slice(0, 2), NAMES.slice(2));
    for (const at of [0, SILENT_ENTRY_ALONE_MS - 1]) {
      await directories[0].removeSilent(few, at);
      await directories[1].removeSilent(few, at);
    }
    assert.equal(directories[0].list().length, 5);
    await directories[0].removeSilent(few, SILENT_ENTRY_ALONE_MS);
    await directories[1].removeSilent(few, SILENT_ENTRY_ALONE_MS);
    assert.deepEqual(listNames(directories[0]), NAMES.slice(0, 2));
  });
});
