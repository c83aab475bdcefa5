/**
 * Decides whether an instance that drains takes in a request.
 *
 * Requests arrive until the notice is over, as the balancer sends them; after it, on
 * connections that are still open. One that is begun and does not end before draining
 * does is cut off, and its caller may not be allowed to send it again. A refusal costs
 * little, as another instance can serve the request at once, but during the notice it
 * would meet most of the new connections, and few requests take as long as they may.
 */

/** How an instance drains. Monotonic times, in ms. */
export interface DrainPeriod {
  /** By when the balancer sends nothing more. */
  noticeEndsAt: number;
  /** When running requests are ended. */
  endsAt: number;
}

/**
 * Whether a request is refused that may take until `deadline`. `period` is undefined
 * unless the instance drains.
 */
export function isRefusedByDrain(
  period: DrainPeriod | undefined,
  deadline: number,
  hasLivePeer: boolean,
  now: number,
): boolean {
  if (!period) return false;
  if (now >= period.endsAt) return true;
  const isAfterNotice = now >= period.noticeEndsAt;
  return isAfterNotice && hasLivePeer && deadline > period.endsAt;
}
