/**
 * Which instance is responsible for a key, by rendezvous hashing.
 *
 * Load pattern: instances come and go all day (740 restarts a day at 360
 * instances) while requests for the same bucket or pool arrive everywhere.
 * Without it, each change would move most keys (as `hash modulo count` does),
 * and buckets and queues would be rebuilt everywhere at once. With it, a change
 * moves only the keys of the instance that came or went, 1/n of them; the test
 * measures that share.
 */
import murmurhash from 'murmurhash';

/** Something that can be responsible for keys. */
export interface Ranked {
  name: string;
}

const nameHashes = new WeakMap<Ranked, number>();

/**
 * Hash of a candidate's name, worked out once for each object: hashing 360
 * names anew for each request would take longer than the request's decision.
 */
function getNameHash(candidate: Ranked): number {
  const held = nameHashes.get(candidate);
  if (held !== undefined) return held;
  const hash = murmurhash.v3(candidate.name);
  nameHashes.set(candidate, hash);
  return hash;
}

/** Weight of a candidate for a hashed key: MurmurHash3's finalizer of both. */
function computeWeight(keyHash: number, candidate: Ranked): number {
  let mixed = keyHash ^ Math.imul(getNameHash(candidate), 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Candidates by preference for `key`, the responsible one first. */
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

/** The responsible candidate alone: one pass, without sorting. */
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
 * Among the instances that run longest, those started later than the median by
 * no more than this, in ms, count as well: wall clocks differ by up to 2 s, and
 * a fleet starts within 3.
 */
export const SETTLED_SPREAD_MS = 5000;

/** Of the strongest instance's cores, what work for all needs. */
export const MIN_CAPACITY_SHARE = 0.5;

/**
 * Candidates for work whose state is lost with the instance (queues, buckets).
 *
 * Load pattern: instances restart one after the other while requests arrive.
 * By rank alone, an instance that restarts loses its work and takes it back a
 * second later, with empty hands: two handovers for each restart. Those that
 * started later than most are left out, by start times alone, so that all
 * views agree and nobody's place changes as time passes. After a restart of
 * the whole fleet nobody is left out.
 *
 * Instances with less than MIN_CAPACITY_SHARE of the strongest one's cores are
 * left out as well: a dispatcher decides for every request of its pool, and on
 * a third of a core each decision would wait for the one before.
 */
export function selectSettled<
  Candidate extends {startedAt?: number; capacity?: number},
>(candidates: readonly Candidate[]): readonly Candidate[] {
  const strongest = Math.max(...candidates.map(({capacity = 1}) => capacity));
  const able = candidates.filter(
    ({capacity = 1}) => capacity >= MIN_CAPACITY_SHARE * strongest,
  );
  const starts = able
    .map(({startedAt}) => startedAt ?? 0)
    .sort((a, b) => a - b);
  const median = starts[Math.floor((starts.length - 1) / 2)] ?? 0;
  return able.filter(
    ({startedAt = 0}) => startedAt <= median + SETTLED_SPREAD_MS,
  );
}

/** Share of `keys` whose responsible candidate differs between two fleets. */
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
 * The ring of heartbeats: candidates in the order of their hash, beginning
 * after `name`. Neighbours on it are unrelated to neighbours in a rack.
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
