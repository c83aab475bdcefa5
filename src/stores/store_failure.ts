/** Failures of single attempts of a call to the platform. */
import {StoreError, type StoreEffect} from './table_store.js';

interface FailureOptions {
  effect: StoreEffect;
  /** Whether another attempt may succeed. */
  retryable: boolean;
  cause?: unknown;
}

/** Failure of one attempt. */
export class StoreFailure extends StoreError {
  readonly retryable: boolean;

  constructor(message: string, options: FailureOptions) {
    super(message, options.effect, options.cause);
    this.retryable = options.retryable;
  }
}

/** Whether another attempt of the call may succeed. */
export function isRetryable(error: unknown): boolean {
  return error instanceof StoreFailure && error.retryable;
}

/** Whether the failed attempt may have changed the store. */
export function isUnclear(error: unknown): boolean {
  return error instanceof StoreError && error.effect === 'unknown';
}
