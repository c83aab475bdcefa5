/**
 * Decides which failure domains count as evacuated on one instance.
 *
 * Load pattern: an operator evacuates a failure domain while the store turns a part of
 * the instances away. What such an instance read last is old: it would go on sending to
 * the evacuated endpoints, or spare them after the evacuation was taken back.
 *
 * An instance that the store serves believes the store alone. One that is turned away
 * believes the newest report of a peer that the store serves, if that peer answered
 * after this instance lost the store.
 */

/** What a peer reported. Times are in ms. */
export interface EvacuationReport {
  askedAt: number;
  storeReachable: boolean;
  /** Undefined if the peer does not report evacuations. */
  evacuated?: readonly string[];
}

/** `storeLostAt` is undefined while the store serves this instance. */
export function selectEvacuated(
  read: readonly string[],
  storeLostAt: number | undefined,
  reports: readonly EvacuationReport[],
): readonly string[] {
  if (storeLostAt === undefined) return read;
  const newest = reports
    .filter(({storeReachable}) => storeReachable)
    .filter(({askedAt, evacuated}) => evacuated && askedAt > storeLostAt)
    .reduce<EvacuationReport | undefined>(
      (best, report) =>
        best && best.askedAt >= report.askedAt ? best : report,
      undefined,
    );
  return newest?.evacuated ?? read;
}
