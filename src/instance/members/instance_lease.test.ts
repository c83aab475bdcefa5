import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {
  createInstanceLease,
  createLeaseObserver,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_MS,
  releasePredecessor,
} from './instance_lease.js';

describe('instance lease', () => {
  it('is not taken over while it is renewed', async () => {
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a');
    const observer = createLeaseObserver(table);
    for (let now = 0; now < 3 * LEASE_DURATION_MS; now += LEASE_RENEWAL_MS) {
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
    await assert.rejects(lease.renew(LEASE_RENEWAL_MS));
    await lease.renew(2 * LEASE_RENEWAL_MS);
    await lease.renew(2 * LEASE_RENEWAL_MS + 1);
    assert.equal(lease.isHeld(LEASE_DURATION_MS + LEASE_RENEWAL_MS), true);
  });

  it('goes on under a new incarnation after a lost lease', async () => {
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a', () => 'run-b');
    const observer = createLeaseObserver(table);
    await lease.renew(0);
    await observer.checkOver('run-a', 0);
    await observer.checkOver('run-a', LEASE_DURATION_MS);
    await lease.renew(LEASE_DURATION_MS);
    await lease.renew(LEASE_DURATION_MS + 1);
    assert.equal(lease.incarnation, 'run-b');
    assert.equal(lease.isHeld(LEASE_DURATION_MS + 2), true);
    const old = await table.transact([lease.buildCheck('run-a')]);
    assert.deepEqual(old, {kind: 'conflict', index: 0});
    const current = await table.transact([lease.buildCheck()]);
    assert.equal(current.kind, 'committed');
  });

  it('outlives an outage that no owner could renew in', async () => {
    // The store is down for an hour. The first observer to read it again sees
    // a row unchanged for an hour; expiring it would take away everything that
    // every instance owns, while all of them are alive.
    const platform = createMemoryPlatform();
    const lease = createInstanceLease(platform.table, 'run-a');
    const observer = createLeaseObserver(platform.table);
    await lease.renew(0);
    await observer.checkOver('run-a', 0);
    platform.faults.down = true;
    await assert.rejects(observer.checkOver('run-a', 1_800_000));
    platform.faults.down = false;
    assert.equal(await observer.checkOver('run-a', 3_600_000), false);
    await lease.renew(3_600_500);
    assert.equal(lease.isHeld(3_601_000), true);
  });

  it('is over at once when a successor binds its address', async () => {
    // An instance dies and is replaced on the same address within a second.
    // Nobody waits out its lease: only one process can listen on an address.
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a');
    await lease.renew(0);
    await releasePredecessor(table, '10.0.0.1:7000', 'run-a');
    const predecessor = await releasePredecessor(
      table,
      '10.0.0.1:7000',
      'run-b',
    );
    assert.equal(predecessor, 'run-a');
    const observer = createLeaseObserver(table);
    assert.equal(await observer.checkOver('run-a', 1), true);
  });
});
