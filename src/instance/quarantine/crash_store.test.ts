import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import type {CrashRecord} from '../../decisions/crash_evidence.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import {createMemoryWatch} from '../../testing/memory_watch.js';
import {createCrashStore} from './crash_store.js';

const RECORD: CrashRecord = {
  content: 'c',
  endpoint: 'i-1',
  endedAt: 1000,
  hadAnswer: false,
};

/** Creates 2 stores on one table; `outage` makes writes of `one` fail. */
function createViews() {
  const watch = createMemoryWatch(createMemoryPlatform().table);
  const outage = {isOn: false};
  const first: TableStore = {
    ...watch.table,
    async transact(operations) {
      if (outage.isOn) throw new StoreError('away', 'none');
      return watch.table.transact(operations);
    },
  };
  const createView = (table: TableStore) =>
    createCrashStore({
      log: createSilentLog(),
      table,
      watch,
      shards: 2,
      onChange() {},
    });
  return {
    one: createView(first),
    other: createView(watch.table),
    outage,
    createView: () => createView(watch.table),
  };
}

describe('crash records', () => {
  it('are visible here at once, and elsewhere once they are written', async () => {
    const {one, other, createView} = createViews();
    one.add(RECORD);
    assert.deepEqual(one.list(), [RECORD]);
    await one.flush();
    assert.deepEqual(other.list(), [RECORD]);
    assert.deepEqual(createView().list(), [RECORD]);
  });

  it('keep the parts of prompts and the answers that clear them', async () => {
    const {one, other} = createViews();
    const lost = {...RECORD, parts: ['p', 'c']};
    const answered = {...lost, content: 'd', wasAnswered: true};
    one.add(lost);
    one.add(answered);
    await one.flush();
    assert.deepEqual(other.find('c'), [lost]);
    assert.deepEqual(other.find('d'), [answered]);
  });

  it('are written after an outage of the store', async () => {
    const {one, other, outage} = createViews();
    outage.isOn = true;
    one.add(RECORD);
    await one.flush();
    assert.deepEqual([one.list(), other.list()], [[RECORD], []]);
    outage.isOn = false;
    await one.flush();
    assert.deepEqual(other.list(), [RECORD]);
  });

  it('stay removed when several instances remove them', async () => {
    const {one, other} = createViews();
    one.add(RECORD);
    await one.flush();
    other.remove([RECORD]);
    one.remove([RECORD]);
    await Promise.all([one.flush(), other.flush()]);
    assert.deepEqual([one.list(), other.list()], [[], []]);
    assert.deepEqual(one.describeState(), {stored: 0, pending: 0});
    assert.deepEqual(other.describeState(), {stored: 0, pending: 0});
  });

  it('are not written when they were removed before', async () => {
    const {one, other, outage} = createViews();
    outage.isOn = true;
    one.add(RECORD);
    one.remove([RECORD]);
    outage.isOn = false;
    await one.flush();
    await one.flush();
    assert.deepEqual([one.list(), other.list()], [[], []]);
    assert.deepEqual(one.describeState(), {stored: 0, pending: 0});
  });
});
