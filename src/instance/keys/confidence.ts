/**
 * How sure an instance is that it knows of every withdrawn key.
 *
 * Failure it answers: an instance is cut off from the table, a key is
 * withdrawn, and the instance goes on to serve it. Refusing whenever the table
 * is silent would be no remedy: its outages are long, and then every instance
 * would refuse every caller. So an instance asks one witness in every failure
 * domain, its own included. A witness that reads the table passes on what it
 * read. If every domain answers and none reads the table, the table is out for
 * all, no withdrawal can commit, and serving goes on. If no one answers, the
 * instance is isolated and refuses. What lies between is doubt, and the
 * service document says what then holds. (After the isolation predicate and
 * the witness hosts of CUBRID's heartbeat; see docs/design/isolation.md.)
 */
import {CONFIRMATION_LIMIT_MS} from '../configuration/constants.js';

/**
 * - `confirmed`: the table was read, here or by a witness, a moment ago.
 * - `outage`: it is out for every failure domain.
 * - `doubt`: it is out here, and some failure domain is silent.
 * - `isolated`: nobody answers.
 */
export type Confidence = 'confirmed' | 'outage' | 'doubt' | 'isolated';

/** The last answer of a failure domain's witness. */
export interface WitnessAnswer {
  failureDomain: string;
  /** Monotonic time of asking, here. */
  askedAt: number;
}

/** What the decision rests on. All times are of this instance's own clock. */
export interface ConfidenceEvidence {
  /** The table's content is known as of this time, by whoever read it. */
  confirmedAt: number;
  answers: readonly WitnessAnswer[];
  /** Failure domains in which another instance is listed. */
  failureDomains: readonly string[];
}

/** Decides by the evidence at `now`. */
export function decideConfidence(
  {confirmedAt, answers, failureDomains}: ConfidenceEvidence,
  now: number,
): Confidence {
  if (now - confirmedAt < CONFIRMATION_LIMIT_MS) return 'confirmed';
  if (failureDomains.length === 0) return 'doubt';
  const answered = new Set(
    answers
      .filter(({askedAt}) => now - askedAt < CONFIRMATION_LIMIT_MS)
      .map(({failureDomain}) => failureDomain),
  );
  if (answered.size === 0) return 'isolated';
  const isSilent = failureDomains.some(domain => !answered.has(domain));
  return isSilent ? 'doubt' : 'outage';
}
