/**
 * The right to own segments: the instance's lease under the incarnation that
 * it had when a segment was claimed. A lease that was lost is never held again
 * under that incarnation, so what was claimed through it stays fenced.
 */
import type {WriteOperation} from '../../platform/table_store.js';
import type {InstanceLease} from '../members/instance_lease.js';

/** Ownership under one incarnation of the lease. */
export interface Ownership {
  incarnation: string;
  /** In a transaction, makes it commit only while the lease is held. */
  check: WriteOperation;
  /** Aborted when the lease was lost: nothing owned through it can commit. */
  lost: AbortSignal;
}

/** Follows the lease of this instance. */
export interface OwnershipWatch {
  /** Undefined while the lease may not be used at `now`. */
  find(now: number): Ownership | undefined;
  /** Notes a change of incarnation; called often. */
  poll(): void;
}

/** The lease is renewed elsewhere. */
export function createOwnershipWatch(lease: InstanceLease): OwnershipWatch {
  let {incarnation} = lease;
  let lost = new AbortController();

  function poll() {
    if (lease.incarnation === incarnation) return;
    ({incarnation} = lease);
    lost.abort();
    lost = new AbortController();
  }

  return {
    find(now) {
      poll();
      if (!lease.isHeld(now)) return undefined;
      const check = lease.buildCheck(incarnation);
      return {incarnation, check, lost: lost.signal};
    },
    poll,
  };
}
