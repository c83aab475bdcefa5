/**
 * The right to own segments: the instance's lease under the incarnation that
 * it had when a segment was claimed. While it is renewed, nobody takes the
 * segments over; a lease that was lost is never held again under that name.
 */
import type {InstanceLease} from '../members/instance_lease.js';

/** Ownership under one incarnation of the lease. */
export interface Ownership {
  incarnation: string;
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
      return {incarnation, lost: lost.signal};
    },
    poll,
  };
}
