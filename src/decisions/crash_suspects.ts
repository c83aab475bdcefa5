/**
 * Which requests are not sent any more, because endpoints end under them.
 *
 * Pattern of load: one content comes again and again, under new ids and at any
 * instance, and each endpoint that begins to run it ends. The endpoint is passed
 * over, the next healthy one is chosen, and a service loses its endpoints one
 * after the other.
 *
 * What is at hand for each crash is the contents that ran there; all but one were
 * only beside it. A content is held after CRASH_LIMIT crashes if nothing else
 * explains them: in LEAD_LIMIT of them it was in more crashes than any other
 * content there (among equals, one whose answer had not begun counts more). The
 * crashes of a content that is held count against no other.
 * Contents that were lost together each time cannot be told apart: each may run
 * until one is answered, which clears it, or crashes alone, which makes it lead;
 * after TIE_LIMIT crashes both are held.
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

/** Crashes after which a content may be held. */
export const CRASH_LIMIT = 3;

/** Crashes that it must lead to be held. */
export const LEAD_LIMIT = 2;

/** Crashes after which those that were always lost together are held. */
export const TIE_LIMIT = 5;

/** Losses at one endpoint no further apart are of one crash, in ms. */
export const SAME_CRASH_MS = 2000;

/** A content is held, and its crashes count, for so long after the last, in ms. */
export const HOLD_MS = 3_600_000;

/** Whether a content's answer had begun, for each that was lost in one crash. */
type Crash = Map<string, boolean>;

/** The contents that are held at `now`, by the shared clock. */
export function decideHeld(
  records: readonly CrashRecord[],
  now: number,
): Map<string, HeldContent> {
  const known = selectCounting(records, now);
  const crashes = collectCrashes(known);
  const counts = countCrashes(crashes);
  const candidates = [...counts.keys()].filter(
    content => counts.get(content)! >= CRASH_LIMIT,
  );
  return new Map(
    selectCauses(candidates, crashes).map(content => {
      const until = findLastEnd(known, content) + HOLD_MS;
      return [content, {crashes: counts.get(content)!, until}];
    }),
  );
}

/** Those found first explain their crashes; the rest is weighed without these. */
function selectCauses(
  candidates: readonly string[],
  crashes: readonly Crash[],
): string[] {
  const counts = countCrashes(crashes);
  const found = candidates.filter(content => isCause(content, crashes, counts));
  if (found.length === 0) return [];
  const others = candidates.filter(content => !found.includes(content));
  const unexplained = crashes.filter(
    crash => !found.some(content => crash.has(content)),
  );
  return [...found, ...selectCauses(others, unexplained)];
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
      if (endedAt - last > SAME_CRASH_MS) crashes.push(new Map());
      last = endedAt;
      const crash = crashes.at(-1)!;
      crash.set(content, hadAnswer && (crash.get(content) ?? true));
    }
  }
  return crashes;
}

function countCrashes(crashes: readonly Crash[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const crash of crashes) {
    for (const content of crash.keys()) {
      counts.set(content, (counts.get(content) ?? 0) + 1);
    }
  }
  return counts;
}

function isCause(
  content: string,
  crashes: readonly Crash[],
  counts: ReadonlyMap<string, number>,
): boolean {
  const leads = crashes
    .filter(crash => crash.has(content))
    .map(crash => compareToOthers(content, crash, counts));
  if (leads.filter(lead => lead > 0).length >= LEAD_LIMIT) return true;
  return leads.length >= TIE_LIMIT && leads.every(lead => lead >= 0);
}

/** Above 0 where it is suspected more than all others that were lost. */
function compareToOthers(
  content: string,
  crash: Crash,
  counts: ReadonlyMap<string, number>,
): number {
  const weigh = (each: string) =>
    2 * counts.get(each)! + (crash.get(each) ? 0 : 1);
  const others = [...crash.keys()].filter(each => each !== content);
  return weigh(content) - Math.max(0, ...others.map(weigh));
}

function findLastEnd(records: readonly CrashRecord[], content: string): number {
  const own = records.filter(record => record.content === content);
  return Math.max(...own.map(({endedAt}) => endedAt));
}
