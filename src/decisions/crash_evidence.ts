/**
 * The evidence of crashes, and which subjects explain them. A subject is what the runs of
 * a cause have in common: the content of a request, or a part of its prompt.
 */
import {groupBy} from '../common/collections.js';

/** A run that was lost when its endpoint crashed, or one that clears parts of prompts. */
export interface CrashRecord {
  /** Identifies the requested content. */
  content: string;
  /** Ids of the parts of its prompt that other prompts may share, in order. */
  parts?: readonly string[];
  endpoint: string;
  /** When the run ended, by the fleet's shared clock, in ms. */
  endedAt: number;
  /** Whether part of the answer had been received. */
  hadAnswer: boolean;
  /** Whether the run was a trial. */
  isTrial?: boolean;
  /** Whether the run was answered, so that no part of its prompt crashes endpoints. */
  wasAnswered?: boolean;
}

/** The quarantine of a subject, which is not sent to endpoints. */
export interface QuarantinedSubject {
  crashes: number;
  /** When the quarantine ends, by the shared clock, in ms. */
  until: number;
}

/** Weight of a crash for a subject whose answer had begun. */
export const ANSWERED_WEIGHT = 3;
/** Weight of a crash for a subject whose answer had not begun. */
export const UNANSWERED_WEIGHT = 5;

/** Minimum weight for a quarantine: three crashes before the answer began. */
export const QUARANTINE_WEIGHT = 15;

/** Crashes that nothing else explains after which a subject runs in trials. */
export const TRIAL_CRASHES = 3;

/** Minimum number of crashes in which a quarantined subject weighs the most. */
export const MIN_LEADS = 2;

/**
 * Weight from which subjects that were always lost together are quarantined.
 */
export const TIE_WEIGHT = 25;

/** Losses at one endpoint within this time belong to the same crash, in ms. */
export const SAME_CRASH_MS = 2000;

/** Duration of the first quarantine of a subject, in ms. */
export const FIRST_QUARANTINE_MS = 15_000;

/**
 * Duration of later quarantines in ms. The crashes of a subject also count
 * until this time after its last one.
 */
export const QUARANTINE_MS = 3_600_000;

/**
 * Time after an answer in which a crash does not count against its subject, in
 * ms.
 */
export const ANSWER_VALIDITY_MS = 10_000;

/** One crash of an endpoint. */
export interface Crash {
  endedAt: number;
  /** Weight of the crash for each subject that was lost in it. */
  weights: Map<string, number>;
}

/**
 * Whether an answer clears a subject of a crash. It does if it came later, or
 * less than ANSWER_VALIDITY_MS before: several callers may request the same
 * content, and one that was just answered is unlikely to be the cause.
 */
export function isCleared(
  {endedAt}: Pick<CrashRecord, 'endedAt'>,
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

/** Groups the lost runs by crash, the earliest crash first. */
export function groupByCrash(records: readonly CrashRecord[]): CrashRecord[][] {
  const crashes: CrashRecord[][] = [];
  const lost = records.filter(({wasAnswered}) => !wasAnswered);
  for (const own of groupBy(lost, ({endpoint}) => endpoint).values()) {
    let last = -Infinity;
    for (const record of own.toSorted((a, b) => a.endedAt - b.endedAt)) {
      if (record.endedAt - last > SAME_CRASH_MS) crashes.push([]);
      last = record.endedAt;
      crashes.at(-1)!.push(record);
    }
  }
  return crashes.sort(([a], [b]) => a.endedAt - b.endedAt);
}

/** Returns the weight of a lost run as evidence against what it asked for. */
export function computeWeight({hadAnswer, isTrial}: CrashRecord): number {
  if (isTrial) return QUARANTINE_WEIGHT;
  return hadAnswer ? ANSWERED_WEIGHT : UNANSWERED_WEIGHT;
}

/** Sums the weights of each subject over all crashes. */
export function sumWeights(crashes: readonly Crash[]): Map<string, number> {
  const sums = new Map<string, number>();
  for (const {weights} of crashes) {
    for (const [subject, weight] of weights) {
      sums.set(subject, (sums.get(subject) ?? 0) + weight);
    }
  }
  return sums;
}

/** Lists the subjects that weigh enough for a quarantine. */
export function listCandidates(crashes: readonly Crash[]): string[] {
  return [...sumWeights(crashes)]
    .filter(([, weight]) => weight >= QUARANTINE_WEIGHT)
    .map(([subject]) => subject);
}

/** Selects the crashes in which none of the subjects was lost. */
export function selectUnexplained(
  crashes: readonly Crash[],
  subjects: readonly string[],
): Crash[] {
  return crashes.filter(
    ({weights}) => !subjects.some(subject => weights.has(subject)),
  );
}

/**
 * Selects the candidates that caused crashes. The crashes of each cause found
 * are explained, and the other candidates are weighed without them.
 */
export function selectCauses(
  candidates: readonly string[],
  crashes: readonly Crash[],
): string[] {
  const sums = sumWeights(crashes);
  const found = candidates.filter(candidate =>
    isCause(candidate, crashes, sums),
  );
  if (found.length === 0) return [];
  const others = candidates.filter(candidate => !found.includes(candidate));
  const unexplained = selectUnexplained(crashes, found);
  return [...found, ...selectCauses(others, unexplained)];
}

/** Describes the quarantine of a cause, which is short as long as it is the first. */
export function describeQuarantine(
  subject: string,
  crashes: readonly Crash[],
): QuarantinedSubject {
  const own = crashes
    .filter(({weights}) => weights.has(subject))
    .toSorted((a, b) => a.endedAt - b.endedAt);
  const last = own.at(-1)!;
  const before = sumWeights(own.slice(0, -1)).get(subject) ?? 0;
  const wasQuarantined = before >= QUARANTINE_WEIGHT;
  const until =
    last.endedAt + (wasQuarantined ? QUARANTINE_MS : FIRST_QUARANTINE_MS);
  return {crashes: own.length, until};
}

function isCause(
  subject: string,
  crashes: readonly Crash[],
  sums: ReadonlyMap<string, number>,
): boolean {
  const leads = crashes
    .filter(({weights}) => weights.has(subject))
    .map(({weights}) => compareToOthers(subject, weights, sums));
  if (leads.filter(lead => lead > 0).length >= MIN_LEADS) return true;
  const isTied = leads.every(lead => lead >= 0);
  return isTied && (sums.get(subject) ?? 0) >= TIE_WEIGHT;
}

/** Returns a value above 0 if the subject weighs more than all others lost. */
function compareToOthers(
  subject: string,
  weights: Crash['weights'],
  sums: ReadonlyMap<string, number>,
): number {
  const others = [...weights.keys()].filter(each => each !== subject);
  const strongest = Math.max(0, ...others.map(each => sums.get(each)!));
  return sums.get(subject)! - strongest;
}
