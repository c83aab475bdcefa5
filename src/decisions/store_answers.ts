/**
 * Since when the platform's store has been answering, and whether a missing
 * registration may have lapsed.
 *
 * Pattern of load: registrations lapse while the store is away and return soon
 * after it. An instance that drops what is missing at once refuses every
 * request; one that keeps it sends requests to endpoints that have left. Only a
 * silence towards everybody makes registrations lapse. So what counts is when
 * the store answered any instance, not when this one noticed: it may have been
 * without the store alone, and notices seconds late.
 */

/** Time in which lapsed registrations return once the store is back, in ms. */
export const REGISTRATION_RETURN_MS = 2000;

/** From the first to the last answer known, without a long silence, in ms. */
export interface AnswerRun {
  from: number;
  to: number;
}

/**
 * The newer of two runs; one run when no silence of `lapseMs` lies between, the
 * shortest in which a registration can lapse.
 */
export function mergeRuns(
  held: AnswerRun | undefined,
  told: AnswerRun,
  lapseMs: number,
): AnswerRun {
  if (!held || held.to + lapseMs <= told.from) return told;
  if (told.to + lapseMs <= held.from) return held;
  return {
    from: Math.min(held.from, told.from),
    to: Math.max(held.to, told.to),
  };
}

/** Whether a registration that is missing may have lapsed, its endpoint live. */
export function shouldKeepMissing(
  {from, to}: AnswerRun,
  lapseMs: number,
  now: number,
): boolean {
  const isSilent = now - to >= lapseMs;
  return isSilent || now - from < REGISTRATION_RETURN_MS;
}
