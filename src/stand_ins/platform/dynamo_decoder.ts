/** Decodes the operations of transactions from DynamoDB JSON. */
import * as z from 'zod';
import {
  decodeAttribute,
  decodeItem,
  decodeKey,
  itemSchema,
  type Attribute,
} from '../../stores/dynamo_codec.js';
import {
  computePutVersion,
  type Condition,
  type WriteOperation,
} from '../../stores/table_store.js';
import {LimitError} from './memory_table.js';

/** Schema of an encoded row key. */
export const keySchema = itemSchema.pick({pk: true, sk: true});
const attributesSchema = z.record(z.string(), z.unknown()).default({});

const conditionSchema = z.object({
  ConditionExpression: z.string(),
  ExpressionAttributeNames: z.record(z.string(), z.string()).default({}),
  ExpressionAttributeValues: attributesSchema,
});

/** Schema of an encoded operation. */
export const operationSchema = z.union([
  z.strictObject({Put: conditionSchema.extend({Item: itemSchema})}),
  z.strictObject({Delete: conditionSchema.extend({Key: keySchema})}),
  z.strictObject({ConditionCheck: conditionSchema.extend({Key: keySchema})}),
]);

type EncodedCondition = z.infer<typeof conditionSchema>;

/** Decodes an operation; throws LimitError if this product never writes it. */
export function decodeOperation(
  operation: z.infer<typeof operationSchema>,
): WriteOperation {
  if ('Put' in operation) return decodePut(operation.Put);
  const [kind, step] =
    'Delete' in operation
      ? (['delete', operation.Delete] as const)
      : (['check', operation.ConditionCheck] as const);
  return {kind, key: decodeKey(step.Key), condition: decodeCondition(step)};
}

function decodePut(
  put: EncodedCondition & {Item: z.infer<typeof itemSchema>},
): WriteOperation {
  const condition = decodeCondition(put);
  const row = decodeItem(put.Item);
  if (condition.kind === 'fields') throw createLimitError('a put of a row');
  const operation = {
    kind: 'put',
    key: row.key,
    fields: row.fields,
    condition,
  } as const;
  if (row.version === computePutVersion(operation)) return operation;
  throw createLimitError('a version that does not follow');
}

const COMPARISON = /^f\.(#\w+) = (:\w+)$/;

/** Decodes the expressions that this product writes; throws on any other. */
function decodeCondition(encoded: EncodedCondition): Condition {
  const {ConditionExpression: expression} = encoded;
  const readValue = (name: string) =>
    decodeAttribute(encoded.ExpressionAttributeValues[name] as Attribute);
  if (expression === 'attribute_not_exists(pk)') return {kind: 'absent'};
  if (expression === 'attribute_exists(pk)') {
    return {kind: 'fields', equals: {}};
  }
  if (expression === 'v = :v') {
    return {kind: 'version', version: Number(readValue(':v'))};
  }
  const pairs = expression.split(' AND ').map(part => {
    const match = COMPARISON.exec(part);
    if (!match) throw createLimitError(expression);
    const [, name, value] = match;
    return [encoded.ExpressionAttributeNames[name], readValue(value)] as const;
  });
  return {kind: 'fields', equals: Object.fromEntries(pairs)};
}

function createLimitError(what: string): LimitError {
  return new LimitError(`the stand-in does not take ${what}`);
}
