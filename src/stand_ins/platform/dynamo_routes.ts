/** Serves the in-memory table over the DynamoDB JSON protocol. */
import * as z from 'zod';
import {decodeKey, encodeItem, encodeKey} from '../../stores/dynamo_codec.js';
import {
  StoreError,
  type TransactionOutcome,
  type WriteOperation,
} from '../../stores/table_store.js';
import {decodeOperation, keySchema, operationSchema} from './dynamo_decoder.js';
import {
  buildJsonResponse,
  type PreparedResponse,
  type ReceivedRequest,
} from './http_messages.js';
import {LimitError, type MemoryTable} from './memory_table.js';
import {ThrottledError} from './platform_faults.js';

/** Maximum size of one page of a query. */
const QUERY_PAGE_BYTES = 1024 * 1024;

/** Time for which the service stores a client request token. */
const TOKEN_LIFETIME_MS = 600_000;

const getSchema = z.object({Key: keySchema});

const querySchema = z.object({
  KeyConditionExpression: z.enum([
    'pk = :p',
    'pk = :p AND begins_with(sk, :prefix)',
  ]),
  ExpressionAttributeValues: z.object({
    ':p': z.object({S: z.string()}),
    ':prefix': z.object({S: z.string()}).optional(),
  }),
  ExclusiveStartKey: keySchema.optional(),
  Limit: z.number().int().positive().optional(),
});

const transactSchema = z.object({
  ClientRequestToken: z.string().min(1).max(36),
  TransactItems: z.array(operationSchema),
});

interface StoredToken {
  body: string;
  at: number;
}

/** Handles requests of the table service's protocol. */
export type DynamoRoute = (
  request: ReceivedRequest,
) => Promise<PreparedResponse>;

/** Creates the route; `getNow` returns the time, in ms, that expires tokens. */
export function createDynamoRoute(
  table: MemoryTable,
  getNow: () => number,
): DynamoRoute {
  const tokens = new Map<string, StoredToken>();

  function expireTokens() {
    for (const [token, {at}] of tokens) {
      if (getNow() - at <= TOKEN_LIFETIME_MS) return;
      tokens.delete(token);
    }
  }

  async function transactItems(body: string): Promise<PreparedResponse> {
    const input = transactSchema.parse(JSON.parse(body));
    const token = input.ClientRequestToken;
    expireTokens();
    const stored = tokens.get(token);
    if (stored && stored.body !== body) {
      return buildErrorResponse('IdempotentParameterMismatchException');
    }
    if (stored) {
      // The real service still reads, so a repeat is subject to the faults too.
      await table.get({partition: '', sort: ''});
      return buildJsonResponse(200, {});
    }
    const operations = input.TransactItems.map(decodeOperation);
    const outcome = await transactOnce(token, body, operations);
    return outcome.kind === 'committed'
      ? buildJsonResponse(200, {})
      : buildCancelledResponse(outcome.index, operations.length);
  }

  async function transactOnce(
    token: string,
    body: string,
    operations: WriteOperation[],
  ): Promise<TransactionOutcome> {
    const storeToken = () => tokens.set(token, {body, at: getNow()});
    try {
      const outcome = await table.transactAs(
        operations,
        findWriteId(body, token),
      );
      if (outcome.kind === 'committed') storeToken();
      return outcome;
    } catch (error) {
      if (error instanceof StoreError && error.effect === 'unknown')
        storeToken();
      throw error;
    }
  }

  const actions: Record<string, (body: string) => Promise<PreparedResponse>> = {
    async GetItem(body) {
      const {Key} = getSchema.parse(JSON.parse(body));
      const row = await table.get(decodeKey(Key));
      return buildJsonResponse(200, row ? {Item: encodeItem(row)} : {});
    },
    async Query(body) {
      const input = querySchema.parse(JSON.parse(body));
      const {':p': partition, ':prefix': prefix} =
        input.ExpressionAttributeValues;
      const rows = await table.query(partition.S, {
        prefix: prefix?.S,
        after: input.ExclusiveStartKey?.sk.S,
      });
      const page = takePage(rows.map(encodeItem), input.Limit);
      const hasMore = page.length < rows.length;
      const last = hasMore
        ? {LastEvaluatedKey: encodeKey(rows[page.length - 1].key)}
        : {};
      return buildJsonResponse(200, {Items: page, ...last});
    },
    TransactWriteItems: transactItems,
  };

  return async request => {
    const action = request.headers['x-amz-target']?.split('.').at(-1) ?? '';
    if (!actions[action])
      return buildErrorResponse('UnknownOperationException');
    try {
      return await actions[action](request.body.toString('utf8'));
    } catch (error) {
      if (error instanceof ThrottledError) {
        return buildErrorResponse('ProvisionedThroughputExceededException');
      }
      if (error instanceof z.ZodError || error instanceof LimitError) {
        return buildErrorResponse(
          'ValidationException',
          (error as Error).message,
        );
      }
      throw error;
    }
  };
}

/** Returns the write id in the rows of a transaction; without rows, its token. */
function findWriteId(body: string, token: string): string {
  const items = transactSchema.parse(JSON.parse(body)).TransactItems;
  const put = items.find(item => 'Put' in item);
  return put && 'Put' in put ? put.Put.Item.w.S : token;
}

function takePage<Item>(items: Item[], limit = Infinity): Item[] {
  let bytes = 0;
  const overflowIndex = items.findIndex(item => {
    bytes += Buffer.byteLength(JSON.stringify(item));
    return bytes > QUERY_PAGE_BYTES;
  });
  const count = overflowIndex < 0 ? items.length : Math.max(1, overflowIndex);
  return items.slice(0, Math.min(count, limit));
}

function buildErrorResponse(code: string, message = code): PreparedResponse {
  const type = `com.amazonaws.dynamodb.v20120810#${code}`;
  return buildJsonResponse(400, {__type: type, message});
}

function buildCancelledResponse(
  index: number,
  count: number,
): PreparedResponse {
  const reasons = Array.from({length: count}, (_none, at) => ({
    Code: at === index ? 'ConditionalCheckFailed' : 'None',
  }));
  return buildJsonResponse(400, {
    __type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException',
    message: 'Transaction cancelled',
    CancellationReasons: reasons,
  });
}
