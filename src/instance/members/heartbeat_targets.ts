/**
 * Selects the peers to which an instance sends heartbeats: a bounded number at
 * any fleet size.
 */
import {chooseByRendezvous} from '../../decisions/instance_ranking.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {MAX_SUSPECTED_PROBES, RING_NEIGHBOURS} from './constants.js';

/** The instance that selects its witnesses. */
export interface WitnessSelector {
  name: string;
  failureDomain: string;
}

/**
 * Selects the next neighbours on the ring that are not suspected, however many
 * suspected ones lie before them. `ring` begins after this instance. Of those
 * suspected ones, a few get a heartbeat in each round, in turn, so that their
 * recovery is noticed.
 */
export function selectRingNeighbours(
  ring: readonly ListedInstance[],
  isSuspected: (name: string) => boolean,
  round: number,
): ListedInstance[] {
  const watched: ListedInstance[] = [];
  const suspected: ListedInstance[] = [];
  for (const candidate of ring) {
    if (watched.length === RING_NEIGHBOURS) break;
    (isSuspected(candidate.name) ? suspected : watched).push(candidate);
  }
  return [...watched, ...selectInTurn(suspected, round)];
}

function selectInTurn(
  suspected: readonly ListedInstance[],
  round: number,
): ListedInstance[] {
  const count = Math.min(MAX_SUSPECTED_PROBES, suspected.length);
  return Array.from(
    {length: count},
    (_, index) => suspected[(round * count + index) % suspected.length],
  );
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
