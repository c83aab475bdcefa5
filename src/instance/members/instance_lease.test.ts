import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {
  createInstanceLease,
  createLeaseObserver,
  LEASE_DURATION_MS,
} from './instance_lease.js';

describe('instance lease', () => {
  it('is not taken over while it is renewed', async () => {
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a');
    const observer = createLeaseObserver(table);
    for (let now = 0; now < 3 * LEASE_DURATION_MS; now += 3000) {
      await lease.renew(now);
      assert.equal(await observer.checkOver('run-a', now), false);
    }
  });

  it('fences an owner that was paused past its lease', async () => {
    // The caller would see an item answered twice. The owner is paused, its
    // row stays unchanged for a lease, another expires it and takes over;
    // then the first wakes and commits. Its commit checks the row, which now
    // says expired, so the table refuses it.
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a');
    const observer = createLeaseObserver(table);
    await lease.renew(0);
    assert.equal(await observer.checkOver('run-a', 0), false);
    assert.equal(await observer.checkOver('run-a', LEASE_DURATION_MS), true);
    const outcome = await table.transact([lease.buildCheck()]);
    assert.deepEqual(outcome, {kind: 'conflict', index: 0});
    await lease.renew(LEASE_DURATION_MS);
    assert.equal(lease.isHeld(LEASE_DURATION_MS), false);
  });

  it('goes on after a renewal whose answer was lost', async () => {
    // The renewal takes effect, its answer is lost; the next one conflicts
    // with it. Taking that for a takeover would stop a healthy instance.
    const platform = createMemoryPlatform();
    const lease = createInstanceLease(platform.table, 'run-a');
    await lease.renew(0);
    platform.faults.answersToLose = 1;
    await assert.rejects(lease.renew(3000));
    await lease.renew(6000);
    await lease.renew(6001);
    assert.equal(lease.isHeld(12_000), true);
  });
});
