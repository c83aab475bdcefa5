/** Errors of the DynamoDB JSON protocol, and what they mean for a write. */
import * as z from 'zod';
import type {StoreResponse} from './http_transport.js';
import {StoreFailure} from './store_failure.js';

const errorSchema = z.object({
  __type: z.string().default(''),
  message: z.string().default(''),
  CancellationReasons: z.array(z.object({Code: z.string()})).default([]),
});

/** The service is up but takes no more just now; nothing was written. */
const BUSY_CODES = new Set([
  'ProvisionedThroughputExceededException',
  'ThrottlingException',
  'RequestLimitExceeded',
  'TransactionConflictException',
  'ProvisionedThroughputExceeded',
  'ThrottlingError',
  'TransactionConflict',
]);

/** The first try is still being worked on: its outcome is not known yet. */
const IN_PROGRESS_CODE = 'TransactionInProgressException';

const CONDITION_FAILED = 'ConditionalCheckFailed';

/** A transaction's condition did not hold; `index` tells of which operation. */
export class ConditionFailure extends Error {
  readonly index: number;

  constructor(index: number) {
    super('a condition did not hold');
    this.name = 'ConditionFailure';
    this.index = index;
  }
}

/** The body of a good answer; throws ConditionFailure or StoreFailure. */
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
  const busy = [code, ...reasons].some(one => BUSY_CODES.has(one));
  return new StoreFailure(`the table refused: ${code} ${error.message}`, {
    effect: code === IN_PROGRESS_CODE ? 'unknown' : 'none',
    retryable: busy || code === IN_PROGRESS_CODE || status === 429,
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
