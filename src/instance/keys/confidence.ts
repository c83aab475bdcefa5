/**
 * Decides how sure an instance is that it knows of every withdrawn key.
 *
 * Failure: an instance loses access to the table, a key is withdrawn, and the
 * instance continues to serve it. Refusing whenever the table does not answer
 * would not help: its outages are long, and during them every instance would
 * refuse every caller.
 *
 * Therefore an instance asks one witness in every failure domain, its own
 * included. A witness that reads the table relays what it read. If every domain
 * answers and none of them reads the table, the table is unavailable to all, so
 * no withdrawal can commit and serving continues. If no domain answers, the
 * instance is isolated and refuses. Anything between is doubt, and the service
 * document says what to do then. (After the isolation predicate and the witness
 * hosts of CUBRID's heartbeat.)
 */
import {CONFIRMATION_LIMIT_MS} from '../configuration/constants.js';

/**
 * - `confirmed`: the table was read recently, by this instance or by a witness.
 * - `outage`: the table is unavailable in every failure domain.
 * - `doubt`: the table is unavailable here, and some failure domain is silent.
 * - `isolated`: no failure domain answers.
 */
export type Confidence = 'confirmed' | 'outage' | 'doubt' | 'isolated';

/** The last answer of a failure domain's witness. */
export interface WitnessAnswer {
  failureDomain: string;
  /** Monotonic time at which this instance sent the request. */
  askedAt: number;
}

/**
 * The evidence for the decision. All times are on this instance's own clock.
 */
export interface ConfidenceEvidence {
  /** Time as of which the table's content is known, whoever read it. */
  confirmedAt: number;
  answers: readonly WitnessAnswer[];
  /** Failure domains in which another instance is listed. */
  failureDomains: readonly string[];
}

/** Decides from the evidence at `now`. */
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
