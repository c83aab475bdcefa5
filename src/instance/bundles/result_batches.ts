/**
 * Chooses which results of a bundle are committed together.
 *
 * Failure: a store that refuses a transaction for what it contains refuses it each time.
 * Sent again unchanged, it would hold up all results of the bundle for good. Therefore
 * the batch after a failure is another one: half as large, down to one result; and one
 * that is refused alone is stored as an object, behind all others.
 */
import type {Log} from '../../common/log.js';
import {isRetryable, isUnclear} from '../../stores/store_failure.js';
import {computeStoredBytes} from '../../stores/stored_size.js';
import {MAX_RESULTS_PER_COMMIT} from './constants.js';
import {selectForCommit, type ItemState} from './item_states.js';

/** The batches of one bundle. */
export interface ResultBatches {
  /** Selects the ended items whose results are committed next. */
  select(states: readonly ItemState[]): ItemState[];
  noteCommitted(): void;
  noteFailed(batch: readonly ItemState[], error: Error): void;
  /** Number of batches that failed since the last one that did not. */
  countFailed(): number;
}

export function createResultBatches(id: string, log: Log): ResultBatches {
  let failed = 0;
  let maxResults = MAX_RESULTS_PER_COMMIT;

  function noteRefused(state: ItemState, error: Error) {
    state.refusedCommits++;
    const result = state.result!;
    if (result.isRefused || isRetryable(error)) return;
    state.result = {...result, isRefused: true};
    const bytes = computeStoredBytes(result.text);
    log.warn(
      {bundle: id, item: result.itemId, bytes, err: error.message},
      'result refused by the store as a row; it is stored as an object',
    );
  }

  return {
    select: states => selectForCommit(states, maxResults),
    noteCommitted() {
      failed = 0;
      maxResults = MAX_RESULTS_PER_COMMIT;
    },
    noteFailed(batch, error) {
      failed++;
      maxResults = Math.max(1, Math.floor(batch.length / 2));
      log.warn(
        {bundle: id, results: batch.length, failed, err: error.message},
        'commit of results failed at the store; will be retried',
      );
      if (batch.length === 1 && !isUnclear(error)) noteRefused(batch[0], error);
    },
    countFailed: () => failed,
  };
}
