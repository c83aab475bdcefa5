/**
 * Decides what the owner of a segment does next, and builds the records that it
 * writes. Pure functions.
 *
 * A segment's owner may be lost because one of the items crashes the instance
 * that runs it, or while items are running that may not run twice. Without this
 * module, one item would crash instance after instance, or an order would be
 * carried out twice.
 *
 * Before a group of items is started, the intent to run it is recorded, so that
 * a new owner knows which items may have been started. Groups become smaller
 * with each lost owner, until the item that causes the crashes is alone in a
 * group. It then ends with an error line.
 */
import {GROUP_ITEMS_BY_LOSSES, MAX_INTENT_GROUP_ITEMS} from './constants.js';
import type {ResultPart, SegmentRecord} from './records.js';

/** End of the suspect items if all items of a segment are suspect. */
const ENTIRE_SEGMENT = Number.MAX_SAFE_INTEGER;

/** The service's rules for its items. */
export interface SegmentRules {
  /** Whether an item may run again after an unknown outcome. */
  idempotent: boolean;
}

/** The next step. Item indexes start at 0; `to` is exclusive. */
export type SegmentStep =
  | {kind: 'run'; from: number; to: number; recordIntent: boolean}
  /**
   * Ends items that a lost owner may have started and that may not run again.
   */
  | {kind: 'settle'; from: number; to: number}
  | {kind: 'finished'};

/**
 * Builds the record of a new owner; `previous` is the stored record, if any.
 */
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
    suspectEnd: isGroupKnown ? previous.intent : ENTIRE_SEGMENT,
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
  return !isAlone || record.losses < GROUP_ITEMS_BY_LOSSES.length;
}

function chooseGroupSize(record: SegmentRecord, rules: SegmentRules): number {
  const last = GROUP_ITEMS_BY_LOSSES.length - 1;
  const maxItems = GROUP_ITEMS_BY_LOSSES[Math.min(record.losses, last)];
  return rules.idempotent
    ? maxItems
    : Math.min(maxItems, MAX_INTENT_GROUP_ITEMS);
}

/** Builds the record that precedes the start of items up to `to`. */
export function buildIntent(record: SegmentRecord, to: number): SegmentRecord {
  return {...record, intent: to};
}

/** Builds the record that commits `part` in a segment of `items` items. */
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
 * Builds the record with which an owner releases a segment. If items may not
 * run twice, those that were started and have no result stay covered by the
 * intent.
 */
export function buildRelease(
  record: SegmentRecord,
  begun: number,
  rules: SegmentRules,
): SegmentRecord {
  const intent = rules.idempotent ? record.done : Math.max(record.done, begun);
  return {...record, state: 'released', intent};
}
