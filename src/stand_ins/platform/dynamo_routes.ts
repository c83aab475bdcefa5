/** The table service's protocol (DynamoDB JSON) over the table in memory. */
import * as z from 'zod';
import {decodeKey, encodeItem, encodeKey} from '../../stores/dynamo_codec.js';
import {
  StoreError,
  type TransactionOutcome,
  type WriteOperation,
} from '../../stores/table_store.js';
import {decodeOperation, keySchema, operationSchema} from './dynamo_decoder.js';
import {
  buildJsonAnswer,
  type PreparedAnswer,
  type ReceivedRequest,
} from './http_answers.js';
import {LimitError, type MemoryTable} from './memory_table.js';
import {ThrottledError} from './platform_faults.js';

/** One answer of a query carries at most so much. */
const QUERY_PAGE_BYTES = 1024 * 1024;

/** How long the service remembers a client request token, in ms. */
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

interface RememberedToken {
  body: string;
  at: number;
}

/** Answers requests of the table's protocol. */
export type DynamoRoute = (request: ReceivedRequest) => Promise<PreparedAnswer>;

/** `getNow` is the time in ms by which client request tokens age. */
export function createDynamoRoute(
  table: MemoryTable,
  getNow: () => number,
): DynamoRoute {
  const tokens = new Map<string, RememberedToken>();

  function expireTokens() {
    for (const [token, {at}] of tokens) {
      if (getNow() - at <= TOKEN_LIFETIME_MS) return;
      tokens.delete(token);
    }
  }

  async function transactItems(body: string): Promise<PreparedAnswer> {
    const input = transactSchema.parse(JSON.parse(body));
    const token = input.ClientRequestToken;
    expireTokens();
    const remembered = tokens.get(token);
    if (remembered && remembered.body !== body) {
      return buildError('IdempotentParameterMismatchException');
    }
    if (remembered) {
      // The real service still reads: so a repeat meets the faults, too.
      await table.get({partition: '', sort: ''});
      return buildJsonAnswer(200, {});
    }
    const operations = input.TransactItems.map(decodeOperation);
    const outcome = await transactOnce(token, body, operations);
    return outcome.kind === 'committed'
      ? buildJsonAnswer(200, {})
      : buildCancelled(outcome.index, operations.length);
  }

  async function transactOnce(
    token: string,
    body: string,
    operations: WriteOperation[],
  ): Promise<TransactionOutcome> {
    const remember = () => tokens.set(token, {body, at: getNow()});
    try {
      const outcome = await table.transactAs(
        operations,
        findWriteId(body, token),
      );
      if (outcome.kind === 'committed') remember();
      return outcome;
    } catch (error) {
      if (error instanceof StoreError && error.effect === 'unknown') remember();
      throw error;
    }
  }

  const actions: Record<string, (body: string) => Promise<PreparedAnswer>> = {
    async GetItem(body) {
      const {Key} = getSchema.parse(JSON.parse(body));
      const row = await table.get(decodeKey(Key));
      return buildJsonAnswer(200, row ? {Item: encodeItem(row)} : {});
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
      const more = page.length < rows.length;
      const last = more
        ? {LastEvaluatedKey: encodeKey(rows[page.length - 1].key)}
        : {};
      return buildJsonAnswer(200, {Items: page, ...last});
    },
    TransactWriteItems: transactItems,
  };

  return async request => {
    const action = request.headers['x-amz-target']?.split('.').at(-1) ?? '';
    if (!actions[action]) return buildError('UnknownOperationException');
    try {
      return await actions[action](request.body.toString('utf8'));
    } catch (error) {
      if (error instanceof ThrottledError) {
        return buildError('ProvisionedThroughputExceededException');
      }
      if (error instanceof z.ZodError || error instanceof LimitError) {
        return buildError('ValidationException', (error as Error).message);
      }
      throw error;
    }
  };
}

/** The write id that the rows of a transaction carry; its token without rows. */
function findWriteId(body: string, token: string): string {
  const items = transactSchema.parse(JSON.parse(body)).TransactItems;
  const put = items.find(item => 'Put' in item);
  return put && 'Put' in put ? put.Put.Item.w.S : token;
}

function takePage<Item>(items: Item[], limit = Infinity): Item[] {
  let bytes = 0;
  const fitting = items.findIndex(item => {
    bytes += Buffer.byteLength(JSON.stringify(item));
    return bytes > QUERY_PAGE_BYTES;
  });
  const count = fitting < 0 ? items.length : Math.max(1, fitting);
  return items.slice(0, Math.min(count, limit));
}

function buildError(code: string, message = code): PreparedAnswer {
  const type = `com.amazonaws.dynamodb.v20120810#${code}`;
  return buildJsonAnswer(400, {__type: type, message});
}

function buildCancelled(index: number, count: number): PreparedAnswer {
  const reasons = Array.from({length: count}, (_none, at) => ({
    Code: at === index ? 'ConditionalCheckFailed' : 'None',
  }));
  return buildJsonAnswer(400, {
    __type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException',
    message: 'Transaction cancelled',
    CancellationReasons: reasons,
  });
}
