/**
 * Decides which parts of prompts are quarantined because endpoints crash when they begin
 * to write an answer on them.
 *
 * Load pattern: requests of which no two are alike share one part of their prompts, and
 * each endpoint that begins to answer one of them crashes. Counted for each content,
 * every request is a first try, and a service loses its endpoints one after the other.
 * Sound requests share the account, the route and all other parts with the guilty ones.
 *
 * - A part that was answered lately, or later, is no cause: no answer to a prompt with the
 *   guilty part is ever complete. That clears what most prompts share.
 * - Further crashes under a content that was counted for a part weigh little, and
 *   MAX_REPEATS of them count. A content that crashes endpoints by itself is quarantined as
 *   a content, and its parts are not.
 * - A part of which some run had begun to be answered weighs less, and is a cause only of
 *   crashes that no part without such runs and no content explains: an endpoint that
 *   crashed cut off the answers to many prompts, but has begun none to the one that
 *   crashed it.
 * - Of parts that were always lost together, only the narrowest may be quarantined: the
 *   one with the fewest contents, and of equal ones the last of the prompt. If it was not
 *   the cause, the next crash has the other part without it.
 *
 * Weights, durations and trials are those of crash_suspects.ts.
 */
import {
  computeWeight,
  describeQuarantine,
  groupByCrash,
  isCleared,
  listCandidates,
  QUARANTINE_WEIGHT,
  selectCauses,
  selectRelevant,
  selectUnexplained,
  sumWeights,
  TRIAL_CRASHES,
  UNANSWERED_WEIGHT,
  type Crash,
  type CrashRecord,
  type QuarantinedSubject,
} from './crash_evidence.js';
import {decideQuarantined} from './crash_suspects.js';

/** Weight of a crash for a part if all its contents had been lost before. */
const REPEATED_WEIGHT = 2;

/** Number of such crashes that count for each content. */
const MAX_REPEATS = 2;

/** When a part was last answered completely, by the shared clock; undefined if never. */
export type AnswerFinder = (part: string) => number | undefined;

/** What is decided about parts. */
export interface PartDecision {
  /** Parts that are not sent to endpoints. */
  quarantined: Map<string, QuarantinedSubject>;
  /** Parts that may run only in a trial, also while quarantined. */
  suspects: Set<string>;
  /** The records of crashes that no quarantined part explains. */
  unexplained: CrashRecord[];
}

/** What is known of one part over all crashes. */
interface PartEvidence {
  contents: Set<string>;
  /** Numbers of the crashes in which it was lost. */
  crashes: Set<number>;
  /** Position in the prompt. */
  position: number;
  /** Whether some lost run with it had begun to be answered. */
  hadAnswer: boolean;
}

/** Decides by the records of the fleet, and by answers that this instance has seen. */
export function decideParts(
  records: readonly CrashRecord[],
  findAnswer: AnswerFinder,
  now: number,
): PartDecision {
  const relevant = selectRelevant(records, now);
  const findAnyAnswer = mergeAnswers(relevant, findAnswer);
  const lost = groupByCrash(relevant).map(runs =>
    runs.map(run => removeCleared(run, findAnyAnswer)),
  );
  const evidence = collectEvidence(lost);
  const crashes = removeDominated(collectCrashes(lost), evidence);
  const unanswered = findUnansweredCauses(crashes, evidence);
  const others = findOtherCauses(lost, unanswered, evidence, now);
  const causes = [...unanswered, ...others];
  return {
    quarantined: new Map(
      causes.map(part => [part, describeQuarantine(part, crashes)]),
    ),
    suspects: new Set([...causes, ...findSuspects(crashes, causes, evidence)]),
    unexplained: selectUnexplainedRuns(lost, causes).flat(),
  };
}

/** Counts the crashes under each part, cleared or not, and finds the last of them. */
export function countCrashes(
  records: readonly CrashRecord[],
): Map<string, {crashes: number; lastAt: number}> {
  const counts = new Map<string, {crashes: number; lastAt: number}>();
  for (const runs of groupByCrash(records)) {
    const {endedAt} = runs.at(-1)!;
    for (const part of new Set(runs.flatMap(({parts = []}) => parts))) {
      const crashes = (counts.get(part)?.crashes ?? 0) + 1;
      counts.set(part, {crashes, lastAt: endedAt});
    }
  }
  return counts;
}

/** Finds when other instances recorded an answer. */
export function collectAnswers(
  records: readonly CrashRecord[],
): Map<string, number> {
  const answeredAt = new Map<string, number>();
  for (const {parts = [], endedAt, wasAnswered} of records) {
    if (!wasAnswered) continue;
    for (const part of parts) {
      answeredAt.set(part, Math.max(endedAt, answeredAt.get(part) ?? endedAt));
    }
  }
  return answeredAt;
}

function mergeAnswers(
  records: readonly CrashRecord[],
  findAnswer: AnswerFinder,
): AnswerFinder {
  const recorded = collectAnswers(records);
  return part => {
    const latest = Math.max(
      recorded.get(part) ?? -Infinity,
      findAnswer(part) ?? -Infinity,
    );
    return Number.isFinite(latest) ? latest : undefined;
  };
}

function removeCleared(
  run: CrashRecord,
  findAnswer: AnswerFinder,
): CrashRecord {
  const parts = (run.parts ?? []).filter(
    part => !isCleared(run, findAnswer(part)),
  );
  return {...run, parts};
}

function collectEvidence(
  lost: readonly CrashRecord[][],
): Map<string, PartEvidence> {
  const evidence = new Map<string, PartEvidence>();
  for (const [crash, runs] of lost.entries()) {
    for (const {content, parts = [], hadAnswer} of runs) {
      for (const [position, part] of parts.entries()) {
        const known = evidence.get(part);
        evidence.set(part, {
          contents: (known?.contents ?? new Set()).add(content),
          crashes: (known?.crashes ?? new Set()).add(crash),
          position: Math.max(position, known?.position ?? 0),
          hadAnswer: hadAnswer || (known?.hadAnswer ?? false),
        });
      }
    }
  }
  return evidence;
}

/** Weighs each part in each crash. */
function collectCrashes(lost: readonly CrashRecord[][]): Crash[] {
  /** Crashes under each content, by part. */
  const counts = new Map<string, Map<string, number>>();
  return lost.map(runs => {
    const weights = new Map<string, number>();
    for (const part of new Set(runs.flatMap(({parts = []}) => parts))) {
      const before = counts.get(part) ?? new Map<string, number>();
      counts.set(part, before);
      const own = runs.filter(({parts}) => parts!.includes(part));
      const weight = computeRunsWeight(own, before);
      if (weight > 0) weights.set(part, weight);
      for (const content of new Set(own.map(each => each.content))) {
        before.set(content, (before.get(content) ?? 0) + 1);
      }
    }
    return {endedAt: runs[0].endedAt, weights};
  });
}

function computeRunsWeight(
  runs: readonly CrashRecord[],
  before: ReadonlyMap<string, number>,
): number {
  if (runs.some(({isTrial}) => isTrial)) return QUARANTINE_WEIGHT;
  const fresh = runs.filter(({content}) => !before.has(content));
  if (fresh.length > 0) return Math.min(...fresh.map(computeWeight));
  const isCounted = runs.some(
    ({content}) => before.get(content)! <= MAX_REPEATS,
  );
  return isCounted ? REPEATED_WEIGHT : 0;
}

/** Finds the causes among the parts without a run that had begun to be answered. */
function findUnansweredCauses(
  crashes: readonly Crash[],
  evidence: ReadonlyMap<string, PartEvidence>,
): string[] {
  const unanswered = crashes.map(({endedAt, weights}) => ({
    endedAt,
    weights: new Map(
      [...weights].filter(([part]) => !evidence.get(part)!.hadAnswer),
    ),
  }));
  return selectCauses(listCandidates(unanswered), unanswered);
}

/** Finds the causes of crashes that neither `explaining` parts nor contents explain. */
function findOtherCauses(
  lost: readonly CrashRecord[][],
  explaining: readonly string[],
  evidence: ReadonlyMap<string, PartEvidence>,
  now: number,
): string[] {
  const rest = selectUnexplainedRuns(lost, explaining);
  const contents = decideQuarantined(rest.flat(), now);
  const unexplained = rest.filter(
    runs => !runs.some(({content}) => contents.has(content)),
  );
  const crashes = removeDominated(collectCrashes(unexplained), evidence);
  return selectCauses(listCandidates(crashes), crashes);
}

/** Selects the crashes in which no run with one of the parts was lost. */
function selectUnexplainedRuns(
  lost: readonly CrashRecord[][],
  causes: readonly string[],
): CrashRecord[][] {
  return lost.filter(
    runs =>
      !runs.some(({parts = []}) => parts.some(part => causes.includes(part))),
  );
}

/** Finds the parts that run in trials before they weigh enough for a quarantine. */
function findSuspects(
  crashes: readonly Crash[],
  causes: readonly string[],
  evidence: ReadonlyMap<string, PartEvidence>,
): readonly string[] {
  const unexplained = selectUnexplained(crashes, causes);
  const least = TRIAL_CRASHES * UNANSWERED_WEIGHT;
  return [...sumWeights(unexplained)]
    .filter(([part, sum]) => sum >= least && !evidence.get(part)!.hadAnswer)
    .map(([part]) => part);
}

/** Removes the parts of which a narrower one was lost in all their crashes. */
function removeDominated(
  crashes: readonly Crash[],
  evidence: ReadonlyMap<string, PartEvidence>,
): Crash[] {
  function isNarrower(part: string, other: string): boolean {
    const [a, b] = [evidence.get(part)!, evidence.get(other)!];
    if (!isSubset(a.contents, b.contents)) return false;
    if (!isSubset(b.crashes, a.crashes)) return false;
    if (a.contents.size < b.contents.size) return true;
    return a.position > b.position;
  }
  const all = [...evidence.keys()];
  const dominated = new Set(
    all.filter(part =>
      all.some(other => other !== part && isNarrower(other, part)),
    ),
  );
  return crashes.map(({endedAt, weights}) => ({
    endedAt,
    weights: new Map([...weights].filter(([part]) => !dominated.has(part))),
  }));
}

function isSubset<Item>(
  part: ReadonlySet<Item>,
  whole: ReadonlySet<Item>,
): boolean {
  return [...part].every(each => whole.has(each));
}
