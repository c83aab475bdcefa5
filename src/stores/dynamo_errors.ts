/** Maps errors of the DynamoDB JSON protocol to their effect on a write. */
import * as z from 'zod';
import type {StoreResponse} from './http_transport.js';
import {StoreFailure} from './store_failure.js';

const errorSchema = z.object({
  __type: z.string().default(''),
  message: z.string().default(''),
  CancellationReasons: z.array(z.object({Code: z.string()})).default([]),
});

/**
 * Codes of a service that is up but throttles the request; nothing was written.
 */
const BUSY_CODES = new Set([
  'ProvisionedThroughputExceededException',
  'ThrottlingException',
  'RequestLimitExceeded',
  'TransactionConflictException',
  'ProvisionedThroughputExceeded',
  'ThrottlingError',
  'TransactionConflict',
]);

/**
 * Code for a first attempt that is still in progress: its outcome is not known
 * yet.
 */
const IN_PROGRESS_CODE = 'TransactionInProgressException';

const CONDITION_FAILED = 'ConditionalCheckFailed';

/**
 * A condition of a transaction did not hold; `index` is that of its operation.
 */
export class ConditionFailure extends Error {
  readonly index: number;

  constructor(index: number) {
    super('a condition did not hold');
    this.name = 'ConditionFailure';
    this.index = index;
  }
}

/**
 * Returns the body of a 200 response; throws ConditionFailure or StoreFailure
 * otherwise.
 */
export function readDynamoAnswer(response: StoreResponse): unknown {
  const text = response.body.toString('utf8');
  if (response.status === 200) return parseJson(text);
  if (response.status >= 500) {
    throw new StoreFailure(`the table answered ${response.status}`, {
      effect: 'unknown',
      retryable: true,
    });
  }
  const parsed = errorSchema.safeParse(parseJson(text));
  throw toDynamoError(parsed.data ?? errorSchema.parse({}), response.status);
}

function toDynamoError(
  error: z.infer<typeof errorSchema>,
  status: number,
): Error {
  const code = error.__type.split('#').at(-1) ?? '';
  const reasons = error.CancellationReasons.map(reason => reason.Code);
  const index = reasons.indexOf(CONDITION_FAILED);
  if (index >= 0) return new ConditionFailure(index);
  const isBusy = [code, ...reasons].some(each => BUSY_CODES.has(each));
  return new StoreFailure(`the table refused: ${code} ${error.message}`, {
    effect: code === IN_PROGRESS_CODE ? 'unknown' : 'none',
    retryable: isBusy || code === IN_PROGRESS_CODE || status === 429,
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new StoreFailure('the table sent no JSON', {
      effect: 'unknown',
      retryable: true,
      cause,
    });
  }
}
