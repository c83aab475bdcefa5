/** How one try of a call to the platform failed. */
import {StoreError, type StoreEffect} from './table_store.js';

interface FailureOptions {
  effect: StoreEffect;
  /** Whether another try may succeed. */
  retryable: boolean;
  cause?: unknown;
}

/** One try failed. */
export class StoreFailure extends StoreError {
  readonly retryable: boolean;

  constructor(message: string, options: FailureOptions) {
    super(message, options.effect, options.cause);
    this.retryable = options.retryable;
  }
}

/** Whether another try of the call may succeed. */
export function isRetryable(error: unknown): boolean {
  return error instanceof StoreFailure && error.retryable;
}

/** Whether the failed try may have changed the store. */
export function isUnclear(error: unknown): boolean {
  return error instanceof StoreError && error.effect === 'unknown';
}
