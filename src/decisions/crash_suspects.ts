/**
 * Which requests are not sent any more, because endpoints end under them.
 *
 * Pattern of load: one content comes again and again, under new ids and at any
 * instance, and each endpoint that begins to run it ends. The endpoint is passed
 * over, the next healthy one is chosen, and a service loses its endpoints one
 * after the other.
 *
 * What is at hand for each crash is the contents that ran there; all but one were
 * only beside it. A crash weighs more on a content whose answer had not begun: in
 * a herd of crashes, long answers are cut again and again in their middle. A
 * content of HOLD_WEIGHT is held if nothing else explains its crashes: in
 * LEAD_LIMIT of them it weighs more than any other content there. The crashes of a
 * content that is held count against no other.
 * Contents that were lost together each time cannot be told apart: each may run
 * until one is answered, which clears it, or crashes alone, which makes it lead;
 * from TIE_WEIGHT on both are held.
 *
 * Held first for PROBE_MS only: an innocent one is answered then, and cleared. One
 * that crashes another endpoint is held for HOLD_MS.
 */
import {groupBy} from '../common/collections.js';

/** A run that was lost with its endpoint. */
export interface CrashRecord {
  /** Names what was asked for. */
  content: string;
  endpoint: string;
  /** When the endpoint ended, by a clock that all instances share, in ms. */
  endedAt: number;
  /** Whether a part of the answer had come. */
  hadAnswer: boolean;
}

/** A content that is not sent. */
export interface HeldContent {
  crashes: number;
  /** When it may be sent again, by the shared clock, in ms. */
  until: number;
}

/** What a crash weighs on a content whose answer had, or had not, begun. */
export const ANSWERED_WEIGHT = 3;
export const UNANSWERED_WEIGHT = 5;

/** Weight from which a content may be held: three crashes before an answer. */
export const HOLD_WEIGHT = 15;

/** Crashes that it must lead to be held. */
export const LEAD_LIMIT = 2;

/** Weight from which those that were always lost together are held. */
export const TIE_WEIGHT = 25;

/** Losses at one endpoint no further apart are of one crash, in ms. */
export const SAME_CRASH_MS = 2000;

/** After so long a content that is held for the first time may run again, in ms. */
export const PROBE_MS = 15_000;

/** A content is held, and its crashes count, for so long after the last, in ms. */
export const HOLD_MS = 3_600_000;

/** A crash so soon after an answer says nothing of its content, in ms. */
export const ANSWER_MEMORY_MS = 10_000;

/** One end of an endpoint. */
interface Crash {
  endedAt: number;
  /** Whether its answer had begun, for each content that was lost. */
  contents: Map<string, boolean>;
}

/** The contents that are held at `now`, by the shared clock. */
export function decideHeld(
  records: readonly CrashRecord[],
  now: number,
): Map<string, HeldContent> {
  const crashes = collectCrashes(selectCounting(records, now));
  const weights = sumWeights(crashes);
  const candidates = [...weights.keys()].filter(
    content => weights.get(content)! >= HOLD_WEIGHT,
  );
  return new Map(
    selectCauses(candidates, crashes).map(content => [
      content,
      describeHeld(content, crashes),
    ]),
  );
}

function describeHeld(content: string, crashes: readonly Crash[]): HeldContent {
  const own = crashes
    .filter(({contents}) => contents.has(content))
    .toSorted((a, b) => a.endedAt - b.endedAt);
  const last = own.at(-1)!;
  const before = sumWeights(own.slice(0, -1)).get(content) ?? 0;
  const wasHeld = before >= HOLD_WEIGHT;
  const until = last.endedAt + (wasHeld ? HOLD_MS : PROBE_MS);
  return {crashes: own.length, until};
}

/** Those found first explain their crashes; the rest is weighed without these. */
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
 * Whether an answer clears a content of a crash: it came later, or so little before
 * that the content, which many may ask for, ran beside the cause.
 */
export function isCleared(
  {endedAt}: CrashRecord,
  answeredAt: number | undefined,
): boolean {
  return answeredAt !== undefined && endedAt - answeredAt < ANSWER_MEMORY_MS;
}

/** Contents whose last crash is too old count no more. */
export function selectCounting<Item extends CrashRecord>(
  records: readonly Item[],
  now: number,
): Item[] {
  return [...groupBy(records, ({content}) => content).values()]
    .filter(own => own.some(({endedAt}) => endedAt + HOLD_MS > now))
    .flat();
}

function collectCrashes(records: readonly CrashRecord[]): Crash[] {
  const crashes: Crash[] = [];
  for (const own of groupBy(records, ({endpoint}) => endpoint).values()) {
    const inOrder = own.toSorted((a, b) => a.endedAt - b.endedAt);
    let last = -Infinity;
    for (const {content, endedAt, hadAnswer} of inOrder) {
      if (endedAt - last > SAME_CRASH_MS) {
        crashes.push({endedAt, contents: new Map()});
      }
      last = endedAt;
      const {contents} = crashes.at(-1)!;
      contents.set(content, hadAnswer && (contents.get(content) ?? true));
    }
  }
  return crashes;
}

function computeWeight({contents}: Crash, content: string): number {
  return contents.get(content) ? ANSWERED_WEIGHT : UNANSWERED_WEIGHT;
}

function sumWeights(crashes: readonly Crash[]): Map<string, number> {
  const weights = new Map<string, number>();
  for (const crash of crashes) {
    for (const content of crash.contents.keys()) {
      const sum = (weights.get(content) ?? 0) + computeWeight(crash, content);
      weights.set(content, sum);
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
  if (leads.filter(lead => lead > 0).length >= LEAD_LIMIT) return true;
  const isTied = leads.every(lead => lead >= 0);
  return isTied && (weights.get(content) ?? 0) >= TIE_WEIGHT;
}

/** Above 0 where it weighs more than all others that were lost. */
function compareToOthers(
  content: string,
  contents: Crash['contents'],
  weights: ReadonlyMap<string, number>,
): number {
  const others = [...contents.keys()].filter(each => each !== content);
  const strongest = Math.max(0, ...others.map(each => weights.get(each)!));
  return weights.get(content)! - strongest;
}
