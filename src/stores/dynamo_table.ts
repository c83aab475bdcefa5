/** Client of the table service over the DynamoDB JSON protocol. */
import * as z from 'zod';
import {decodeItem, encodeKey, encodeOperation} from './dynamo_codec.js';
import {ConditionFailure, readDynamoAnswer} from './dynamo_errors.js';
import type {HttpTransport} from './http_transport.js';
import type {Retrier} from './retrier.js';
import type {Signer} from './signer.js';
import {createSettledTransact} from './settled_transaction.js';
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

/** Dependencies of the adapter. */
export interface DynamoTableDependencies {
  url: string;
  /** Name of the table in the service. */
  table: string;
  transport: HttpTransport;
  signer: Signer;
  retrier: Retrier;
}

/** Creates the client of one table. */
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

  async function sendTransaction(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<TransactionOutcome> {
    try {
      await sendAction('TransactWriteItems', {
        ClientRequestToken: writeId,
        TransactItems: operations.map(operation =>
          encodeOperation(table, operation, writeId),
        ),
      });
      return {kind: 'committed', writeId};
    } catch (error) {
      if (!(error instanceof ConditionFailure)) throw error;
      return {kind: 'conflict', index: error.index};
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
    transact: createSettledTransact(retrier, {fetchRow, sendTransaction}),
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
