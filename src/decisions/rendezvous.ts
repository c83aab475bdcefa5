/**
 * Rendezvous hashing: every instance with the same view ranks candidates for a
 * key in the same order, and a candidate that comes or goes moves only the keys
 * it wins or had won.
 */
import murmurhash from 'murmurhash';

/** Candidates for `key`, best first; equal scores go by name. */
export function rankByKey<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  getName: (candidate: Candidate) => string,
): Candidate[] {
  return candidates
    .map(candidate => {
      const name = getName(candidate);
      return {candidate, name, score: murmurhash.v3(`${name}\n${key}`)};
    })
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({candidate}) => candidate);
}
