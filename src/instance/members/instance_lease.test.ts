import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {
  createInstanceLease,
  createLeaseObserver,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  releasePredecessor,
} from './instance_lease.js';

describe('instance lease', () => {
  it('is not taken over while it is renewed', async () => {
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a');
    const observer = createLeaseObserver(table);
    for (
      let now = 0;
      now < 3 * LEASE_DURATION_MS;
      now += LEASE_RENEWAL_INTERVAL_MS
    ) {
      await lease.renew(now);
      assert.equal(await observer.checkExpired('run-a', now), false);
    }
  });

  it('fences an owner that was paused past its lease', async () => {
    // Guards against an item that is answered twice: an owner is paused, its
    // row stays unchanged for the duration of a lease, another instance expires
    // the row and takes over, then the first one resumes and commits. Its
    // commit checks the row, which now says `expired`, so the table refuses it.
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a');
    const observer = createLeaseObserver(table);
    await lease.renew(0);
    assert.equal(await observer.checkExpired('run-a', 0), false);
    assert.equal(await observer.checkExpired('run-a', LEASE_DURATION_MS), true);
    const outcome = await table.transact([lease.buildCheck()]);
    assert.deepEqual(outcome, {kind: 'conflict', index: 0});
    await lease.renew(LEASE_DURATION_MS);
    assert.equal(lease.isHeld(LEASE_DURATION_MS), false);
  });

  it('continues after a renewal whose response was lost', async () => {
    // Guards against stopping a healthy instance: the renewal takes effect, its
    // response is lost, and the next renewal conflicts with it. That conflict
    // is no takeover.
    const platform = createMemoryPlatform();
    const lease = createInstanceLease(platform.table, 'run-a');
    await lease.renew(0);
    platform.faults.answersToLose = 1;
    await assert.rejects(lease.renew(LEASE_RENEWAL_INTERVAL_MS));
    await lease.renew(2 * LEASE_RENEWAL_INTERVAL_MS);
    await lease.renew(2 * LEASE_RENEWAL_INTERVAL_MS + 1);
    assert.equal(
      lease.isHeld(LEASE_DURATION_MS + LEASE_RENEWAL_INTERVAL_MS),
      true,
    );
  });

  it('continues under a new incarnation after a lost lease', async () => {
    const {table} = createMemoryPlatform();
    const lease = createInstanceLease(table, 'run-a', () => 'run-b');
    const observer = createLeaseObserver(table);
    await lease.renew(0);
    await observer.checkExpired('run-a', 0);
    await observer.checkExpired('run-a', LEASE_DURATION_MS);
    await lease.renew(LEASE_DURATION_MS);
    await lease.renew(LEASE_DURATION_MS + 1);
    assert.equal(lease.incarnation, 'run-b');
    assert.equal(lease.isHeld(LEASE_DURATION_MS + 2), true);
    const old = await table.transact([lease.buildCheck('run-a')]);
    assert.deepEqual(old, {kind: 'conflict', index: 0});
    const current = await table.transact([lease.buildCheck()]);
    assert.equal(current.kind, 'committed');
  });

  it('survives a store outage in which no owner could renew', async () => {
    // The store is down for an hour. The first observer that reads it again
    // sees a row unchanged for an hour. Expiring it would take away everything
    // that every instance owns, although all of them are alive.
    const platform = createMemoryPlatform();
    const lease = createInstanceLease(platform.table, 'run-a');
    const observer = createLeaseObserver(platform.table);
    await lease.renew(0);
    await observer.checkExpired('run-a', 0);
    platform.faults.down = true;
    await assert.rejects(observer.checkExpired('run-a', 1_800_000));
    platform.faults.down = false;
    assert.equal(await observer.checkExpired('run-a', 3_600_000), false);
    await lease.renew(3_600_500);
    assert.equal(lease.isHeld(3_601_000), true);
  });

  it('ends at once when a successor binds its address', async () => {
    // An instance dies and is replaced on the same address within a second.
    // No instance has to wait until its lease expires, because only one process
    // can listen on an address.
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
    assert.equal(await observer.checkExpired('run-a', 1), true);
  });
});
