/**
 * Selects the peers to which an instance sends heartbeats: a bounded number at
 * any fleet size.
 */
import {chooseByRendezvous} from '../../decisions/instance_ranking.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {MAX_RING_PROBES, RING_NEIGHBOURS} from './constants.js';

/** The instance that selects its witnesses. */
export interface WitnessSelector {
  name: string;
  failureDomain: string;
}

/**
 * Selects the next neighbours on the ring. `ring` begins after this instance.
 * Suspected neighbours get heartbeats too, so that their recovery is noticed,
 * but they do not count as watched neighbours.
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

/** Selects one live instance in each other failure domain. */
export function selectWitnesses(
  self: WitnessSelector,
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
