/**
 * Tracks the lease under which this instance owns segments. A segment is owned
 * through the incarnation that the lease had when the segment was claimed.
 * While the lease is renewed, no other instance takes the segment over. A lost
 * lease is acquired again only under a new incarnation.
 */
import type {InstanceLease} from '../members/instance_lease.js';

/** Ownership under one incarnation of the lease. */
export interface Ownership {
  incarnation: string;
  /**
   * Aborted when the lease is lost; owned segments cannot be committed then.
   */
  lost: AbortSignal;
}

/** Watches the lease of this instance. */
export interface OwnershipWatch {
  /** The current ownership; undefined if the lease is not held at `now`. */
  find(now: number): Ownership | undefined;
  /** Detects a change of incarnation; called periodically. */
  poll(): void;
}

/** Watches `lease`, which another module renews. */
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
