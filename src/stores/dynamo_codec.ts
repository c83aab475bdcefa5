/**
 * Encodes and decodes rows, conditions and transactions of the DynamoDB JSON
 * protocol. A row is an item with its key (`pk`, `sk`), version (`v`), write id
 * (`w`) and the map of its fields (`f`).
 */
import * as z from 'zod';
import {
  computePutVersion,
  type Condition,
  type Fields,
  type FieldValue,
  type Row,
  type RowKey,
  type WriteOperation,
} from './table_store.js';

const attributeSchema = z.union([
  z.strictObject({S: z.string()}),
  z.strictObject({N: z.string()}),
  z.strictObject({BOOL: z.boolean()}),
]);

/** A scalar on the wire. */
export type Attribute = z.infer<typeof attributeSchema>;

/** Schema of a row on the wire. */
export const itemSchema = z.object({
  pk: z.strictObject({S: z.string()}),
  sk: z.strictObject({S: z.string()}),
  v: z.strictObject({N: z.string()}),
  w: z.strictObject({S: z.string()}),
  f: z.strictObject({M: z.record(z.string(), attributeSchema)}),
});

/** A row on the wire. */
export type Item = z.infer<typeof itemSchema>;

const ENCODERS: Record<string, (value: FieldValue) => Attribute> = {
  string: value => ({S: String(value)}),
  number: value => ({N: String(value)}),
  boolean: value => ({BOOL: Boolean(value)}),
};

/** Encodes a scalar. */
export function encodeAttribute(value: FieldValue): Attribute {
  return ENCODERS[typeof value](value);
}

/** Decodes a scalar. */
export function decodeAttribute(attribute: Attribute): FieldValue {
  if ('S' in attribute) return attribute.S;
  if ('N' in attribute) return Number(attribute.N);
  return attribute.BOOL;
}

/** Encodes a row's key. */
export function encodeKey(key: RowKey) {
  return {pk: {S: key.partition}, sk: {S: key.sort}};
}

/** Decodes a row's key. */
export function decodeKey(item: Pick<Item, 'pk' | 'sk'>): RowKey {
  return {partition: item.pk.S, sort: item.sk.S};
}

/** Encodes a row. */
export function encodeItem(row: Row): Item {
  const fields = Object.entries(row.fields).map(
    ([name, value]) => [name, encodeAttribute(value)] as const,
  );
  return {
    ...encodeKey(row.key),
    v: {N: String(row.version)},
    w: {S: row.writeId},
    f: {M: Object.fromEntries(fields)},
  };
}

/** Decodes a row; throws ZodError for one that this program did not write. */
export function decodeItem(received: unknown): Row {
  const item = itemSchema.parse(received);
  const fields: Fields = {};
  for (const [name, attribute] of Object.entries(item.f.M)) {
    fields[name] = decodeAttribute(attribute);
  }
  return {
    key: decodeKey(item),
    version: Number(item.v.N),
    writeId: item.w.S,
    fields,
  };
}

/** A condition on the wire. */
export interface EncodedCondition {
  ConditionExpression: string;
  ExpressionAttributeNames?: Record<string, string>;
  ExpressionAttributeValues?: Record<string, Attribute>;
}

const CONDITION_ENCODERS: {
  [Kind in Condition['kind']]: (
    condition: Extract<Condition, {kind: Kind}>,
  ) => EncodedCondition;
} = {
  absent: () => ({ConditionExpression: 'attribute_not_exists(pk)'}),
  version: ({version}) => ({
    ConditionExpression: 'v = :v',
    ExpressionAttributeValues: {':v': encodeAttribute(version)},
  }),
  fields: ({equals}) => encodeFieldsCondition(equals),
};

function encodeFieldsCondition(equals: Fields): EncodedCondition {
  const entries = Object.entries(equals);
  if (entries.length === 0) {
    return {ConditionExpression: 'attribute_exists(pk)'};
  }
  const names = entries.map(([name], at) => [`#f${at}`, name] as const);
  const values = entries.map(
    ([, value], at) => [`:f${at}`, encodeAttribute(value)] as const,
  );
  return {
    ConditionExpression: entries
      .map((_entry, at) => `f.#f${at} = :f${at}`)
      .join(' AND '),
    ExpressionAttributeNames: Object.fromEntries(names),
    ExpressionAttributeValues: Object.fromEntries(values),
  };
}

/** Encodes a condition. */
export function encodeCondition(condition: Condition): EncodedCondition {
  const encode = CONDITION_ENCODERS[condition.kind] as (
    condition: Condition,
  ) => EncodedCondition;
  return encode(condition);
}

const OPERATION_NAMES = {
  put: 'Put',
  delete: 'Delete',
  check: 'ConditionCheck',
} as const;

/** Encodes one operation of a transaction. */
export function encodeOperation(
  table: string,
  operation: WriteOperation,
  writeId: string,
): object {
  const {key, condition} = operation;
  const target =
    operation.kind === 'put'
      ? {
          Item: encodeItem({
            key,
            version: computePutVersion(operation),
            writeId,
            fields: operation.fields,
          }),
        }
      : {Key: encodeKey(key)};
  return {
    [OPERATION_NAMES[operation.kind]]: {
      TableName: table,
      ...target,
      ...encodeCondition(condition),
    },
  };
}
