/**
 * Tells whether the platform's store is down for the whole fleet, or only for
 * this instance.
 *
 * Without this distinction, a holder and its standbys that are cut off from the
 * store together would continue on each other's promises, while another
 * instance takes over their buckets in the table. An account would then get
 * twice its rate.
 *
 * Therefore a holder continues without a table lease only while the witnesses
 * of more than half of all failure domains report that they cannot reach the
 * store, and none reports that it can. An instance that takes over in the table
 * must see more than half of the domains reach the store. Both can hold at once
 * only if the witnesses of one domain contradict each other for the length of a
 * lease.
 */
import type {WitnessReport} from '../members/members.js';

/** Age in ms after which a report is ignored; witnesses are asked every 2 s. */
export const REPORT_LIFETIME_MS = 6000;

/** Number of failure domains, and how many of them report each state. */
export interface StoreReports {
  domains: number;
  reachable: number;
  unreachable: number;
}

/**
 * Counts the reports by failure domain. A domain counts as reachable when at
 * least one of its witnesses, or this instance for its own domain, reaches the
 * store.
 */
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

/** Whether a holder may continue without its table lease. */
export function isStoreDownForAll(reports: StoreReports): boolean {
  return reports.reachable === 0 && reports.unreachable * 2 > reports.domains;
}

/** Whether no other instance can regard the store as down for all. */
export function isStoreUpForMost(reports: StoreReports): boolean {
  return reports.reachable * 2 > reports.domains;
}
