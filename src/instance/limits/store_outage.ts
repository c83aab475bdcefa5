/**
 * Whether the platform's store is down for the fleet, or only for this
 * instance.
 *
 * Failure it answers: a holder and its standbys are cut off from the store
 * together, go on by each other's promises, and an instance outside takes their
 * buckets over in the table. Symptom: an account is given twice its rate. A
 * holder goes on without a table lease only while the witnesses of more than
 * half of all failure domains say that they cannot reach the store and none
 * says that it can; whoever takes over in the table must see more than half
 * that can. Both would need one domain's witnesses to contradict each other
 * over the length of a lease.
 */
import type {WitnessReport} from '../members/members.js';

/** Reports older than this say nothing; witnesses are asked every 2 s then. */
export const REPORT_LIFETIME_MS = 6000;

/** What the failure domains report. */
export interface StoreReports {
  domains: number;
  reachable: number;
  unreachable: number;
}

/** This instance's own domain counts as it sees the store itself. */
export function countStoreReports(
  reports: readonly WitnessReport[],
  domains: ReadonlySet<string>,
  ownDomain: string,
  ownReachable: boolean,
  now: number,
): StoreReports {
  const seen = new Map<string, boolean>([[ownDomain, ownReachable]]);
  for (const {failureDomain, storeReachable, askedAt} of reports) {
    if (now - askedAt > REPORT_LIFETIME_MS) continue;
    const held = seen.get(failureDomain) ?? false;
    seen.set(failureDomain, held || storeReachable);
  }
  const values = [...seen.values()];
  const reachable = values.filter(Boolean).length;
  return {
    domains: Math.max(domains.size, seen.size),
    reachable,
    unreachable: values.length - reachable,
  };
}

/** Down for all: a holder may go on without its table lease. */
export function isStoreDownForAll(reports: StoreReports): boolean {
  return reports.reachable === 0 && reports.unreachable * 2 > reports.domains;
}

/** Up for most: nobody elsewhere can believe it down for all. */
export function isStoreUpForMost(reports: StoreReports): boolean {
  return reports.reachable * 2 > reports.domains;
}
