/** The table service over the DynamoDB JSON protocol. */
import {z} from 'zod';
import {generateId} from '../common/ids.js';
import {
  computePutVersion,
  decodeItem,
  encodeKey,
  encodeOperation,
} from './dynamo_codec.js';
import {ConditionFailure, readDynamoAnswer} from './dynamo_errors.js';
import type {HttpTransport} from './http_transport.js';
import type {Retrier} from './retrier.js';
import type {Signer} from './signer.js';
import {isUnclear, StoreFailure} from './store_failure.js';
import type {
  QueryRange,
  Row,
  RowKey,
  TableStore,
  TransactionOutcome,
  WriteOperation,
} from './table_store.js';

const API_VERSION = 'DynamoDB_20120810';
const CONTENT_TYPE = 'application/x-amz-json-1.0';

const getAnswerSchema = z.object({Item: z.unknown().optional()});

const queryAnswerSchema = z.object({
  Items: z.array(z.unknown()),
  LastEvaluatedKey: z.record(z.string(), z.unknown()).optional(),
});

/** What the adapter works with. */
export interface DynamoTableDependencies {
  url: string;
  /** Name of the table in the service. */
  table: string;
  transport: HttpTransport;
  signer: Signer;
  retrier: Retrier;
}

/** Speaks to one table. */
export function createDynamoTable(
  dependencies: DynamoTableDependencies,
): TableStore {
  const {url, table, transport, signer, retrier} = dependencies;

  async function sendAction(action: string, input: object): Promise<unknown> {
    const request = await signer({
      method: 'POST',
      url,
      headers: {
        'content-type': CONTENT_TYPE,
        'x-amz-target': `${API_VERSION}.${action}`,
      },
      body: JSON.stringify(input),
    });
    return readDynamoAnswer(await transport.send(request));
  }

  async function fetchRow(key: RowKey): Promise<Row | undefined> {
    const answer = getAnswerSchema.parse(
      await sendAction('GetItem', {
        TableName: table,
        Key: encodeKey(key),
        ConsistentRead: true,
      }),
    );
    return answer.Item === undefined ? undefined : decodeItem(answer.Item);
  }

  async function queryPage(
    partition: string,
    range: QueryRange,
    startKey: object | undefined,
  ) {
    const prefix = range.prefix ?? '';
    const answer = await sendAction('Query', {
      TableName: table,
      ConsistentRead: true,
      ...encodeKeyCondition(partition, prefix),
      ...(startKey && {ExclusiveStartKey: startKey}),
      ...(range.limit !== undefined && {Limit: range.limit}),
    });
    return queryAnswerSchema.parse(answer);
  }

  /**
   * Settles a transaction whose answer did not come. Rows it put carry its
   * write id; a row at a later version may hide it, which stays unclear.
   */
  async function findUnclearOutcome(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<'committed' | 'not-seen' | 'hidden'> {
    const put = operations.find(operation => operation.kind === 'put');
    if (!put) return 'hidden';
    const row = await fetchRow(put.key);
    if (row?.writeId === writeId) return 'committed';
    const version = computePutVersion(put);
    if (!row) return version === 1 ? 'not-seen' : 'hidden';
    return row.version <= version ? 'not-seen' : 'hidden';
  }

  /** One try; `unclear` tells that an earlier one may have taken effect. */
  async function transactOnce(
    operations: readonly WriteOperation[],
    writeId: string,
    unclear: boolean,
  ): Promise<TransactionOutcome> {
    const committed = {kind: 'committed', writeId} as const;
    if (unclear) {
      const outcome = await findUnclearOutcome(operations, writeId);
      if (outcome === 'committed') return committed;
    }
    try {
      await sendAction('TransactWriteItems', {
        ClientRequestToken: writeId,
        TransactItems: operations.map(operation =>
          encodeOperation(table, operation, writeId),
        ),
      });
      return committed;
    } catch (error) {
      if (!(error instanceof ConditionFailure)) throw error;
      const conflict = {kind: 'conflict', index: error.index} as const;
      if (!unclear) return conflict;
      const outcome = await findUnclearOutcome(operations, writeId);
      if (outcome === 'committed') return committed;
      if (outcome === 'not-seen') return conflict;
      throw new StoreFailure('the outcome of a write cannot be told', {
        effect: 'unknown',
        retryable: false,
        cause: error,
      });
    }
  }

  return {
    get: key => retrier.run(() => fetchRow(key)),
    async query(partition, range = {}) {
      const {prefix = '', after = '', limit = Infinity} = range;
      if (after > prefix && !after.startsWith(prefix)) return [];
      let startKey: object | undefined =
        after >= prefix && after !== ''
          ? encodeKey({partition, sort: after})
          : undefined;
      const rows: Row[] = [];
      do {
        const page = await retrier.run(() =>
          queryPage(partition, range, startKey),
        );
        rows.push(...page.Items.map(decodeItem));
        startKey = page.LastEvaluatedKey;
      } while (startKey && rows.length < limit);
      return rows.slice(0, limit);
    },
    async transact(operations) {
      const writeId = generateId('write');
      let unclear = false;
      try {
        return await retrier.run(async () => {
          try {
            return await transactOnce(operations, writeId, unclear);
          } catch (error) {
            unclear ||= isUnclear(error);
            throw error;
          }
        });
      } catch (error) {
        if (!unclear || isUnclear(error)) throw error;
        // A later try failed cleanly; the earlier one is still unclear.
        throw new StoreFailure((error as Error).message, {
          effect: 'unknown',
          retryable: false,
          cause: error,
        });
      }
    },
  };
}

function encodeKeyCondition(partition: string, prefix: string) {
  const values = {':p': {S: partition}};
  if (prefix === '') {
    return {
      KeyConditionExpression: 'pk = :p',
      ExpressionAttributeValues: values,
    };
  }
  return {
    KeyConditionExpression: 'pk = :p AND begins_with(sk, :prefix)',
    ExpressionAttributeValues: {...values, ':prefix': {S: prefix}},
  };
}
