/**
 * Which instances watch for bundles whose owner is gone.
 *
 * Pattern of load: several bundles a second come and end, on a fleet of hundreds.
 * Where every instance follows all open bundles, each of these changes is told to
 * each of them: calls to the store and work grow with the size of the fleet times
 * its bundles, although owners seldom go. So a few instances watch, and tell the
 * one that ranks first for a bundle to take it over. Five are enough: it takes all
 * of them to be without the store at once before a bundle waits, and when they
 * die others rank first within seconds.
 */
import {
  rankByRendezvous,
  selectSettled,
  type Ranked,
} from './instance_ranking.js';

const WATCHERS = 5;
const KEY = 'open bundles';

/** The watchers among live instances, by facts that all views share. */
export function selectWatchers<
  Candidate extends Ranked & {startedAt?: number; capacity?: number},
>(live: readonly Candidate[]): Candidate[] {
  return rankByRendezvous(KEY, selectSettled(live)).slice(0, WATCHERS);
}
