/**
 * Decides which requests are quarantined because endpoints crash while they
 * run.
 *
 * Load pattern: the same content is requested again and again, under new ids
 * and at any instance, and each endpoint that starts to run it crashes. Each
 * retry chooses the next healthy endpoint, so without a quarantine a service
 * loses its endpoints one after the other.
 *
 * The evidence of a crash is the set of contents that ran there; all but one of
 * them are innocent. A crash has a higher weight for a content whose answer had
 * not begun, since in a series of crashes long answers are interrupted again
 * and again in their middle. A content with a weight of QUARANTINE_WEIGHT is
 * quarantined if nothing else explains its crashes, that is, if it weighs more
 * than any other content in MIN_LEADS of them. The crashes of a quarantined
 * content count against no other content.
 *
 * Contents that were always lost together cannot be distinguished. Each may run
 * until it is answered, which clears it, or crashes an endpoint alone, which
 * gives it the lead. From TIE_WEIGHT on, both are quarantined.
 *
 * The first quarantine lasts only FIRST_QUARANTINE_MS. After it, an innocent
 * content is answered and thereby cleared. A content that crashes another
 * endpoint is quarantined for QUARANTINE_MS.
 *
 * A suspect runs only in a trial, which one run of the fleet holds at a time.
 * Suspects are contents whose first quarantine is over, and those with
 * TRIAL_CRASHES crashes that no quarantined content explains. Otherwise all callers
 * that wait for the end of a quarantine, or that ask before the last crash is
 * known everywhere, would each crash an endpoint. A crash in a trial suffices for a
 * quarantine. If it came in the middle of the answer, that is again the short one: an
 * innocent long answer may be interrupted four times by a series of crashes.
 */
import {
  computeWeight,
  describeQuarantine,
  groupByCrash,
  listCandidates,
  selectCauses,
  selectRelevant,
  selectUnexplained,
  TRIAL_CRASHES,
  type Crash,
  type CrashRecord,
  type QuarantinedSubject,
} from './crash_evidence.js';

/** Returns the quarantined contents at `now`, by the shared clock. */
export function decideQuarantined(
  records: readonly CrashRecord[],
  now: number,
): Map<string, QuarantinedSubject> {
  const crashes = collectCrashes(selectRelevant(records, now));
  return new Map(
    selectCauses(listCandidates(crashes), crashes).map(content => [
      content,
      describeQuarantine(content, crashes),
    ]),
  );
}

/** Returns the contents that may run only in a trial, also while quarantined. */
export function decideTrials(
  records: readonly CrashRecord[],
  now: number,
): Set<string> {
  const crashes = collectCrashes(selectRelevant(records, now));
  const causes = [...decideQuarantined(records, now).keys()];
  const counts = new Map<string, number>();
  for (const {weights} of selectUnexplained(crashes, causes)) {
    for (const content of weights.keys()) {
      counts.set(content, (counts.get(content) ?? 0) + 1);
    }
  }
  const suspects = [...counts.keys()].filter(
    content => counts.get(content)! >= TRIAL_CRASHES,
  );
  return new Set([...causes, ...suspects]);
}

function collectCrashes(records: readonly CrashRecord[]): Crash[] {
  return groupByCrash(records).map(lost => {
    const weights = new Map<string, number>();
    for (const record of lost) {
      const {content} = record;
      const weight = Math.max(computeWeight(record), weights.get(content) ?? 0);
      weights.set(content, weight);
    }
    return {endedAt: lost[0].endedAt, weights};
  });
}
