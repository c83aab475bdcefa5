/**
 * State of each item of one bundle, the results to commit and the progress to
 * store.
 */
import {computeStoredBytes} from '../../stores/stored_size.js';
import type {BundleItem, ItemResult} from './bundle_types.js';
import {MAX_COMMIT_BYTES} from './constants.js';
import type {BundleProgress} from './item_progress.js';
import {createItemText, type ItemText} from './item_text.js';

/** One item while its bundle is open. */
export interface ItemState {
  index: number;
  item: BundleItem;
  state: 'waiting' | 'running' | 'ended' | 'listed';
  text: ItemText;
  attempts: number;
  /** Responses of endpoints that ran the item and failed. */
  failures: number;
  /** Runs in a row that were cut off at an endpoint without a new event. */
  fruitless: number;
  /** Failures after which it is given up; absent until its route is known here. */
  maxFailures?: number;
  /** Lifetime from the bundle's acceptance, in ms; absent until its route is known here. */
  lifetimeMs?: number;
  /** Endpoints that the next attempt avoids. */
  avoid: string[];
  /** Monotonic time before which the item is not retried. */
  notBefore: number;
  /** Commits of its result alone that the store refused. */
  refusedCommits: number;
  /** How its last attempt ended; absent if none has. */
  lastOutcome?: string;
  /** Monotonic time since which it has had no route. */
  unroutedSince?: number;
  result?: ItemResult;
}

/** Creates the states of all items; items in `progress` continue from there. */
export function createItemStates(
  items: readonly BundleItem[],
  listed: readonly number[],
  progress: BundleProgress,
): ItemState[] {
  const states = items.map((item, index): ItemState => ({
    index,
    item,
    state: 'waiting',
    text: decodeText(progress[index]),
    attempts: 0,
    failures: progress[index]?.failures ?? 0,
    fruitless: progress[index]?.fruitless ?? 0,
    refusedCommits: 0,
    avoid: [],
    notBefore: 0,
  }));
  for (const index of listed) states[index].state = 'listed';
  for (const state of states) {
    const result = restoreResult(state, progress[state.index]);
    if (!result || state.state === 'listed') continue;
    state.state = 'ended';
    state.result = result;
  }
  return states;
}

/** The result of an item that had ended when its progress was stored. */
function restoreResult(
  state: ItemState,
  progress: BundleProgress[string] | undefined,
): ItemResult | undefined {
  if (progress?.isWhole) return buildCompleteResult(state);
  return progress?.isGivenUp ? buildGivenUpResult(state) : undefined;
}

/**
 * Selects ended items whose results fit into one transaction, `maxCount` at most, those
 * first that the store has not refused.
 */
export function selectForCommit(
  states: readonly ItemState[],
  maxCount: number,
): ItemState[] {
  const selected: ItemState[] = [];
  let bytes = 0;
  const ended = states.filter(({state}) => state === 'ended');
  ended.sort((a, b) => a.refusedCommits - b.refusedCommits);
  for (const state of ended) {
    bytes += computeStoredBytes(state.result!.text);
    const isFull = selected.length >= maxCount || bytes > MAX_COMMIT_BYTES;
    if (selected.length > 0 && isFull) break;
    selected.push(state);
  }
  return selected;
}

/** Collects the progress of the items that are not listed. */
export function collectProgress(states: readonly ItemState[]): BundleProgress {
  const started = states.filter(
    ({state, text, failures, fruitless, result}) =>
      state !== 'listed' &&
      (text.lastId !== undefined ||
        failures + fruitless > 0 ||
        result !== undefined),
  );
  return Object.fromEntries(
    started.map(({index, text, failures, fruitless, result}) => [
      index,
      {
        ...text,
        failures,
        fruitless,
        isWhole: result?.state === 'complete',
        isGivenUp: result?.state === 'given-up',
      },
    ]),
  );
}

/** Counts the items that are not listed, by state, and by the last outcome if waiting. */
export function countPlaces(
  states: readonly ItemState[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {state, lastOutcome} of states) {
    if (state === 'listed') continue;
    const place =
      state === 'waiting' && lastOutcome ? `waiting: ${lastOutcome}` : state;
    counts[place] = (counts[place] ?? 0) + 1;
  }
  return counts;
}

/** The result of an item whose text is complete. */
export function buildCompleteResult({item, text}: ItemState): ItemResult {
  return {itemId: item.id, state: 'complete', text: text.pieces.join('\n')};
}

/** The result of an item that is not run any more. */
export function buildGivenUpResult({item}: ItemState): ItemResult {
  return {itemId: item.id, state: 'given-up', text: ''};
}

/** A text that is not complete goes on only if it is known where it began. */
function decodeText(progress: BundleProgress[string] | undefined): ItemText {
  const mayGoOn = progress?.isWhole || progress?.start !== undefined;
  if (!progress || !mayGoOn) return createItemText();
  const {lastId, pieces, start} = progress;
  return {lastId, pieces, start};
}
