/** Which peers an instance sends heartbeats to: a fixed number, never all. */
import {chooseByRendezvous} from '../../decisions/instance_ranking.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {MAX_RING_PROBES, RING_NEIGHBOURS} from './constants.js';

/** The instance that chooses. */
export interface Chooser {
  name: string;
  failureDomain: string;
}

/**
 * The next neighbours of `ring`, which begins after this instance: suspected ones are probed too, so that they
 * are found again, but do not count as watched neighbours.
 */
export function selectRingNeighbours(
  ring: readonly ListedInstance[],
  isSuspected: (name: string) => boolean,
): ListedInstance[] {
  const targets: ListedInstance[] = [];
  let live = 0;
  for (const candidate of ring) {
    if (live === RING_NEIGHBOURS || targets.length === MAX_RING_PROBES) break;
    targets.push(candidate);
    if (!isSuspected(candidate.name)) live++;
  }
  return targets;
}

/** One live instance in each other failure domain. */
export function selectWitnesses(
  self: Chooser,
  candidates: readonly ListedInstance[],
): ListedInstance[] {
  const domains = new Map<string, ListedInstance[]>();
  for (const candidate of candidates) {
    if (candidate.failureDomain === self.failureDomain) continue;
    const held = domains.get(candidate.failureDomain) ?? [];
    held.push(candidate);
    domains.set(candidate.failureDomain, held);
  }
  return [...domains.values()].map(members =>
    chooseByRendezvous(self.name, members)!,
  );
}
