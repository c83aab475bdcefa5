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
import {groupBy} from '../common/collections.js';

/** A request that was lost when its endpoint crashed. */
export interface CrashRecord {
  /** Identifies the requested content. */
  content: string;
  endpoint: string;
  /** When the endpoint crashed, by the fleet's shared clock, in ms. */
  endedAt: number;
  /** Whether part of the answer had been received. */
  hadAnswer: boolean;
  /** Whether the content ran there in a trial. */
  isTrial?: boolean;
}

/** The quarantine of a content, which is not sent to endpoints. */
export interface QuarantinedContent {
  crashes: number;
  /** When the quarantine ends, by the shared clock, in ms. */
  until: number;
}

/** Weight of a crash for a content whose answer had begun. */
export const ANSWERED_WEIGHT = 3;
/** Weight of a crash for a content whose answer had not begun. */
export const UNANSWERED_WEIGHT = 5;

/** Minimum weight for a quarantine: three crashes before the answer began. */
export const QUARANTINE_WEIGHT = 15;

/** Crashes that nothing else explains after which a content runs in trials. */
export const TRIAL_CRASHES = 3;

/** Minimum number of crashes in which a quarantined content weighs the most. */
export const MIN_LEADS = 2;

/**
 * Weight from which contents that were always lost together are quarantined.
 */
export const TIE_WEIGHT = 25;

/** Losses at one endpoint within this time belong to the same crash, in ms. */
export const SAME_CRASH_MS = 2000;

/** Duration of the first quarantine of a content, in ms. */
export const FIRST_QUARANTINE_MS = 15_000;

/**
 * Duration of later quarantines in ms. The crashes of a content also count
 * until this time after its last one.
 */
export const QUARANTINE_MS = 3_600_000;

/**
 * Time after an answer in which a crash does not count against its content, in
 * ms.
 */
export const ANSWER_VALIDITY_MS = 10_000;

/** One crash of an endpoint. */
interface Crash {
  endedAt: number;
  /** Weight of the crash for each lost content. */
  contents: Map<string, number>;
}

/** Returns the quarantined contents at `now`, by the shared clock. */
export function decideQuarantined(
  records: readonly CrashRecord[],
  now: number,
): Map<string, QuarantinedContent> {
  const crashes = collectCrashes(selectRelevant(records, now));
  const weights = sumWeights(crashes);
  const candidates = [...weights.keys()].filter(
    content => weights.get(content)! >= QUARANTINE_WEIGHT,
  );
  return new Map(
    selectCauses(candidates, crashes).map(content => [
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
  const causes = decideQuarantined(records, now);
  const unexplained = crashes.filter(
    ({contents}) => ![...contents.keys()].some(content => causes.has(content)),
  );
  const counts = new Map<string, number>();
  for (const content of unexplained.flatMap(({contents}) => [
    ...contents.keys(),
  ])) {
    counts.set(content, (counts.get(content) ?? 0) + 1);
  }
  const suspects = [...counts.keys()].filter(
    content => counts.get(content)! >= TRIAL_CRASHES,
  );
  return new Set([...causes.keys(), ...suspects]);
}

function describeQuarantine(
  content: string,
  crashes: readonly Crash[],
): QuarantinedContent {
  const own = crashes
    .filter(({contents}) => contents.has(content))
    .toSorted((a, b) => a.endedAt - b.endedAt);
  const last = own.at(-1)!;
  const before = sumWeights(own.slice(0, -1)).get(content) ?? 0;
  const wasQuarantined = before >= QUARANTINE_WEIGHT;
  const until =
    last.endedAt + (wasQuarantined ? QUARANTINE_MS : FIRST_QUARANTINE_MS);
  return {crashes: own.length, until};
}

/**
 * Selects the candidates that caused crashes. The crashes of each cause found
 * are explained, and the other candidates are weighed without them.
 */
function selectCauses(
  candidates: readonly string[],
  crashes: readonly Crash[],
): string[] {
  const weights = sumWeights(crashes);
  const found = candidates.filter(content =>
    isCause(content, crashes, weights),
  );
  if (found.length === 0) return [];
  const others = candidates.filter(content => !found.includes(content));
  const unexplained = crashes.filter(
    ({contents}) => !found.some(content => contents.has(content)),
  );
  return [...found, ...selectCauses(others, unexplained)];
}

/**
 * Whether an answer clears a content of a crash. It does if it came later, or
 * less than ANSWER_VALIDITY_MS before: several callers may request the same
 * content, and one that was just answered is unlikely to be the cause.
 */
export function isCleared(
  {endedAt}: CrashRecord,
  answeredAt: number | undefined,
): boolean {
  return answeredAt !== undefined && endedAt - answeredAt < ANSWER_VALIDITY_MS;
}

/** Selects the records of contents whose last crash still counts. */
export function selectRelevant<Item extends CrashRecord>(
  records: readonly Item[],
  now: number,
): Item[] {
  return [...groupBy(records, ({content}) => content).values()]
    .filter(own => own.some(({endedAt}) => endedAt + QUARANTINE_MS > now))
    .flat();
}

function collectCrashes(records: readonly CrashRecord[]): Crash[] {
  const crashes: Crash[] = [];
  for (const own of groupBy(records, ({endpoint}) => endpoint).values()) {
    const inOrder = own.toSorted((a, b) => a.endedAt - b.endedAt);
    let last = -Infinity;
    for (const record of inOrder) {
      const {content, endedAt} = record;
      if (endedAt - last > SAME_CRASH_MS) {
        crashes.push({endedAt, contents: new Map()});
      }
      last = endedAt;
      const {contents} = crashes.at(-1)!;
      const weight = Math.max(
        computeWeight(record),
        contents.get(content) ?? 0,
      );
      contents.set(content, weight);
    }
  }
  return crashes;
}

function computeWeight({hadAnswer, isTrial}: CrashRecord): number {
  if (isTrial) return QUARANTINE_WEIGHT;
  return hadAnswer ? ANSWERED_WEIGHT : UNANSWERED_WEIGHT;
}

function sumWeights(crashes: readonly Crash[]): Map<string, number> {
  const weights = new Map<string, number>();
  for (const {contents} of crashes) {
    for (const [content, weight] of contents) {
      weights.set(content, (weights.get(content) ?? 0) + weight);
    }
  }
  return weights;
}

function isCause(
  content: string,
  crashes: readonly Crash[],
  weights: ReadonlyMap<string, number>,
): boolean {
  const leads = crashes
    .filter(({contents}) => contents.has(content))
    .map(({contents}) => compareToOthers(content, contents, weights));
  if (leads.filter(lead => lead > 0).length >= MIN_LEADS) return true;
  const isTied = leads.every(lead => lead >= 0);
  return isTied && (weights.get(content) ?? 0) >= TIE_WEIGHT;
}

/** Returns a value above 0 if the content weighs more than all others lost. */
function compareToOthers(
  content: string,
  contents: Crash['contents'],
  weights: ReadonlyMap<string, number>,
): number {
  const others = [...contents.keys()].filter(each => each !== content);
  const strongest = Math.max(0, ...others.map(each => weights.get(each)!));
  return weights.get(content)! - strongest;
}
