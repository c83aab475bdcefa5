/**
 * What the owner of a segment does next, and the records that it writes. Pure.
 *
 * Failure answered: an item that kills whoever runs it, or an item that may
 * not run twice, in a segment whose owner was lost. Symptom without it: one
 * item takes down instance after instance, or an order is carried out twice.
 * Before a group of items begins, the intent to run it is recorded; a new
 * owner sees which items may have been begun. Groups shrink with each loss,
 * until the item at fault is alone in one, and ends with an error line.
 */
import {CAREFUL_GROUP_ITEMS, INTENT_GROUP_ITEMS} from './constants.js';
import type {ResultPart, SegmentRecord} from './records.js';

/** Marks a whole segment as suspect while its number of items is unknown. */
const WHOLE_SEGMENT = Number.MAX_SAFE_INTEGER;

/** What the service says of its items. */
export interface SegmentRules {
  /** Whether an item may be run again after an unclear outcome. */
  idempotent: boolean;
}

/** The next step; items are counted from 0 and `to` is not included. */
export type SegmentStep =
  | {kind: 'run'; from: number; to: number; recordIntent: boolean}
  /** They were begun by an owner that was lost and are not begun again. */
  | {kind: 'settle'; from: number; to: number}
  | {kind: 'finished'};

/** The record of a new owner; `previous` is what the row holds, if any. */
export function buildClaim(
  previous: SegmentRecord | undefined,
  owner: string,
): SegmentRecord {
  if (!previous) return {...EMPTY_SEGMENT, owner, epoch: 1};
  const next: SegmentRecord = {
    ...previous,
    state: 'owned',
    owner,
    epoch: previous.epoch + 1,
  };
  if (previous.state === 'released') return next;
  const isGroupKnown = previous.intent > previous.done;
  return {
    ...next,
    losses: previous.losses + 1,
    suspectEnd: isGroupKnown ? previous.intent : WHOLE_SEGMENT,
  };
}

const EMPTY_SEGMENT: Omit<SegmentRecord, 'owner' | 'epoch'> = {
  state: 'owned',
  done: 0,
  intent: 0,
  losses: 0,
  suspectEnd: 0,
  parts: [],
};

/** Decides the next step of a segment of `items` items. */
export function planStep(
  record: SegmentRecord,
  items: number,
  rules: SegmentRules,
): SegmentStep {
  const {done, intent} = record;
  if (done >= items) return {kind: 'finished'};
  if (intent > done && !isRunnableAgain(record, rules)) {
    return {kind: 'settle', from: done, to: Math.min(intent, items)};
  }
  const to = Math.min(items, done + chooseGroupSize(record, rules));
  const recordIntent = !rules.idempotent || record.losses > 0;
  return {kind: 'run', from: done, to, recordIntent};
}

function isRunnableAgain(record: SegmentRecord, rules: SegmentRules): boolean {
  if (!rules.idempotent) return false;
  const isAlone = record.intent - record.done === 1;
  return !isAlone || record.losses < CAREFUL_GROUP_ITEMS.length;
}

function chooseGroupSize(record: SegmentRecord, rules: SegmentRules): number {
  const last = CAREFUL_GROUP_ITEMS.length - 1;
  const careful = CAREFUL_GROUP_ITEMS[Math.min(record.losses, last)];
  return rules.idempotent ? careful : Math.min(careful, INTENT_GROUP_ITEMS);
}

/** The record before items up to `to` are begun. */
export function buildIntent(record: SegmentRecord, to: number): SegmentRecord {
  return {...record, intent: to};
}

/** The record with the results of the next items, of `items` in all. */
export function buildProgress(
  record: SegmentRecord,
  part: ResultPart,
  items: number,
): SegmentRecord {
  const done = record.done + part.items;
  return {
    ...record,
    state: done >= items ? 'done' : 'owned',
    done,
    intent: done,
    losses: done >= record.suspectEnd ? 0 : record.losses,
    parts: [...record.parts, part],
  };
}

/**
 * The record when an owner gives a segment back. Items that were begun and
 * have no result stay marked where they may not run twice.
 */
export function buildRelease(
  record: SegmentRecord,
  begun: number,
  rules: SegmentRules,
): SegmentRecord {
  const intent = rules.idempotent ? record.done : Math.max(record.done, begun);
  return {...record, state: 'released', intent};
}
