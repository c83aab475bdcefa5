/**
 * Decides which instance is responsible for a key, by rendezvous hashing.
 *
 * Load pattern: instances come and go all day (740 restarts a day at 360
 * instances) while requests for the same bucket or pool arrive everywhere. With
 * a scheme such as `hash modulo count`, each change moves most keys, and
 * buckets and queues are rebuilt everywhere at once. Rendezvous hashing moves
 * only the keys of the instance that came or went, 1/n of all; the test
 * measures that share.
 */
import murmurhash from 'murmurhash';

/** A candidate that can be responsible for keys. */
export interface Ranked {
  name: string;
}

const nameHashes = new WeakMap<Ranked, number>();

/**
 * Returns the hash of a candidate's name, computed once for each object.
 * Hashing 360 names for each request would take longer than the decision
 * itself.
 */
function getNameHash(candidate: Ranked): number {
  const held = nameHashes.get(candidate);
  if (held !== undefined) return held;
  const hash = murmurhash.v3(candidate.name);
  nameHashes.set(candidate, hash);
  return hash;
}

/** Combines the hashes of key and candidate with MurmurHash3's finalizer. */
function computeWeight(keyHash: number, candidate: Ranked): number {
  let mixed = keyHash ^ Math.imul(getNameHash(candidate), 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Sorts candidates by rank for `key`, the responsible one first. */
export function rankByRendezvous<Candidate extends Ranked>(
  key: string,
  candidates: readonly Candidate[],
): Candidate[] {
  const keyHash = murmurhash.v3(key);
  return candidates
    .map(candidate => ({candidate, weight: computeWeight(keyHash, candidate)}))
    .sort(
      (a, b) =>
        b.weight - a.weight || compareNames(a.candidate.name, b.candidate.name),
    )
    .map(({candidate}) => candidate);
}

/** Returns only the responsible candidate, in one pass without sorting. */
export function chooseByRendezvous<Candidate extends Ranked>(
  key: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const keyHash = murmurhash.v3(key);
  let best: Candidate | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = computeWeight(keyHash, candidate);
    const isTie = weight === bestWeight && best !== undefined;
    if (weight < bestWeight) continue;
    if (isTie && compareNames(candidate.name, best!.name) > 0) continue;
    best = candidate;
    bestWeight = weight;
  }
  return best;
}

/**
 * Instances that started at most this long after the median count as settled,
 * in ms. Wall clocks differ by up to 2 s, and a fleet starts within 3 s.
 */
export const SETTLED_START_TOLERANCE_MS = 5000;

/** Share of the strongest instance's cores that fleet-wide work requires. */
export const MIN_CAPACITY_SHARE = 0.5;

/**
 * Selects the candidates for work whose state is lost with its instance, such
 * as queues and buckets.
 *
 * Load pattern: instances restart one after the other while requests arrive. By
 * rank alone, a restarting instance loses its work and takes it back a second
 * later without the state, which makes two handovers for each restart. So
 * instances that started later than most are left out. This depends only on
 * start times, so that all instances agree and the result does not change as
 * time passes. After a restart of the whole fleet, no instance is left out.
 *
 * Instances with less than MIN_CAPACITY_SHARE of the strongest one's cores are
 * left out as well. A dispatcher decides for every request of its pool, and on
 * a third of a core each decision would wait for the previous one.
 */
export function selectSettled<
  Candidate extends {startedAt?: number; capacity?: number},
>(candidates: readonly Candidate[]): readonly Candidate[] {
  const strongest = Math.max(...candidates.map(({capacity = 1}) => capacity));
  const capable = candidates.filter(
    ({capacity = 1}) => capacity >= MIN_CAPACITY_SHARE * strongest,
  );
  const starts = capable
    .map(({startedAt}) => startedAt ?? 0)
    .sort((a, b) => a - b);
  const median = starts[Math.floor((starts.length - 1) / 2)] ?? 0;
  return capable.filter(
    ({startedAt = 0}) => startedAt <= median + SETTLED_START_TOLERANCE_MS,
  );
}

/** Returns the share of `keys` whose responsible candidate differs. */
export function measureMovedShare(
  keys: readonly string[],
  before: readonly Ranked[],
  after: readonly Ranked[],
): number {
  const moved = keys.filter(
    key =>
      chooseByRendezvous(key, before)?.name !==
      chooseByRendezvous(key, after)?.name,
  );
  return moved.length / keys.length;
}

/**
 * Orders the other candidates by hash for the ring of heartbeats, starting
 * after `name`. Neighbours on the ring are unrelated to neighbours in a rack.
 */
export function orderRing<Candidate extends Ranked>(
  name: string,
  candidates: readonly Candidate[],
): Candidate[] {
  const start = murmurhash.v3(name);
  return candidates
    .filter(candidate => candidate.name !== name)
    .map(candidate => ({
      candidate,
      place: (getNameHash(candidate) - start + 2 ** 32) % 2 ** 32,
    }))
    .sort(
      (a, b) =>
        a.place - b.place || compareNames(a.candidate.name, b.candidate.name),
    )
    .map(({candidate}) => candidate);
}

function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
