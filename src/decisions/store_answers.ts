/**
 * Tracks since when the platform's store has been answering, and decides
 * whether a missing registration may have lapsed.
 *
 * Load pattern: registrations lapse while the store is unavailable and return
 * soon after it. An instance that drops missing registrations at once refuses
 * every request. An instance that retains them for long sends requests to
 * endpoints that have left.
 *
 * Registrations lapse only if the store answers no instance. So the time that
 * counts is when the store answered any instance, not when this instance
 * noticed: it may have been the only one without store access, and it notices
 * seconds late.
 */

/**
 * Time after the store recovers in which lapsed registrations return, in ms.
 */
export const REGISTRATION_RETURN_MS = 2000;

/** A period in which the store answered without a long silence, in ms. */
export interface AnswerPeriod {
  from: number;
  to: number;
}

/**
 * Merges two periods, or returns the newer one if a silence of at least
 * `lapseMs` lies between them, the shortest in which a registration can lapse.
 */
export function mergeAnswerPeriods(
  held: AnswerPeriod | undefined,
  received: AnswerPeriod,
  lapseMs: number,
): AnswerPeriod {
  if (!held || held.to + lapseMs <= received.from) return received;
  if (received.to + lapseMs <= held.from) return held;
  return {
    from: Math.min(held.from, received.from),
    to: Math.max(held.to, received.to),
  };
}

/**
 * Whether a missing registration may have lapsed while its endpoint is alive.
 */
export function shouldRetainMissing(
  {from, to}: AnswerPeriod,
  lapseMs: number,
  now: number,
): boolean {
  const isSilent = now - to >= lapseMs;
  return isSilent || now - from < REGISTRATION_RETURN_MS;
}
