/** Where each item of one bundle stands; what of them to commit or to keep. */
import type {BundleItem, ItemResult} from './bundle_types.js';
import {MAX_COMMIT_BYTES, MAX_RESULTS_PER_COMMIT} from './constants.js';
import type {BundleProgress} from './item_progress.js';
import {createItemText, type ItemText} from './item_text.js';

/** One item while its bundle is open. */
export interface ItemState {
  index: number;
  item: BundleItem;
  state: 'waiting' | 'running' | 'ended' | 'listed';
  text: ItemText;
  tries: number;
  /** Answers of endpoints that ran it and failed. */
  failures: number;
  avoid: string[];
  /** Monotonic time before which it is not tried again. */
  notBefore: number;
  result?: ItemResult;
}

/** Items that go on from what `progress` says was done of them. */
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
    tries: 0,
    failures: 0,
    avoid: [],
    notBefore: 0,
  }));
  for (const index of listed) states[index].state = 'listed';
  for (const state of states) {
    const isWhole = progress[state.index]?.isWhole;
    if (!isWhole || state.state === 'listed') continue;
    state.state = 'ended';
    state.result = buildCompleteResult(state);
  }
  return states;
}

/** Ended items that fit into one transaction. */
export function selectForCommit(states: readonly ItemState[]): ItemState[] {
  const chosen: ItemState[] = [];
  let bytes = 0;
  for (const state of states) {
    if (state.state !== 'ended') continue;
    bytes += state.result!.text.length;
    const isFull =
      chosen.length >= MAX_RESULTS_PER_COMMIT || bytes > MAX_COMMIT_BYTES;
    if (chosen.length > 0 && isFull) break;
    chosen.push(state);
  }
  return chosen;
}

/** What was done of the items that are not listed. */
export function collectProgress(states: readonly ItemState[]): BundleProgress {
  const kept = states.filter(
    ({state, text}) => state !== 'listed' && text.lastId !== undefined,
  );
  return Object.fromEntries(
    kept.map(({index, text, result}) => [
      index,
      {...text, isWhole: result?.state === 'complete'},
    ]),
  );
}

/** The result of an item whose text is whole. */
export function buildCompleteResult({item, text}: ItemState): ItemResult {
  return {itemId: item.id, state: 'complete', text: text.pieces.join('\n')};
}

function decodeText(progress: BundleProgress[string] | undefined): ItemText {
  if (!progress) return createItemText();
  return {lastId: progress.lastId, pieces: progress.pieces};
}
