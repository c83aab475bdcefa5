/**
 * Selects the instances that watch for bundles whose owner is gone.
 *
 * Load pattern: several bundles per second start and end, on a fleet of
 * hundreds of instances. If every instance follows all open bundles, each of
 * these changes is sent to each instance: store calls and work grow with the
 * size of the fleet times its bundles, although owners are seldom lost.
 *
 * So a few instances watch, and notify the instance that ranks first for a
 * bundle to take it over. Five are enough: a bundle waits only if all of them
 * lose the store at once, and if they die, others rank first within seconds.
 */
import {
  rankByRendezvous,
  selectSettled,
  type Ranked,
} from './instance_ranking.js';

const WATCHER_COUNT = 5;
const RANKING_KEY = 'open bundles';

/**
 * Selects the watchers among live instances, by facts that all instances share.
 */
export function selectWatchers<
  Candidate extends Ranked & {startedAt?: number; capacity?: number},
>(live: readonly Candidate[]): Candidate[] {
  return rankByRendezvous(RANKING_KEY, selectSettled(live)).slice(
    0,
    WATCHER_COUNT,
  );
}
