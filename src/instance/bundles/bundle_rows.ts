/** Names and formats of the rows and objects in which bundles are stored. */
import murmurhash from 'murmurhash';
import {hashText} from '../../common/ids.js';
import {buildPartition} from '../../stores/collections.js';
import {splitByStoredBytes} from '../../stores/stored_size.js';
import type {Row, RowKey, WriteOperation} from '../../stores/table_store.js';
import {
  bundleFieldsSchema,
  ownerFieldsSchema,
  type BundleFields,
  type OwnerFields,
} from './bundle_types.js';
import {BUNDLE_SHARDS, MAX_TEXT_IN_ROW} from './constants.js';

/**
 * Collection of the owner rows of open bundles, which a few instances watch.
 */
export const OPEN_BUNDLES = 'open-bundles';

/** Collection of the rows of all bundles. */
export const BUNDLES = 'bundles';

/** Collection of waiting tokens, one row for each account and route. */
export const WAITING_TOKENS = 'waiting-tokens';

/** Collection of listed results, one row for each result. */
export const RESULTS = 'bundle-results';

/** Collection of items that are stored in rows. */
export const ITEMS = 'bundle-items';

const OBJECT_PREFIX = 'bundles';
const POSITION_DIGITS = 5;

/** Ids of items, which callers choose, that are a part of an object's name as they are. */
const PLAIN_NAME = /^[\w-]{1,64}$/;

/** Hexadecimal digits of a text's digest in the name of its object: 128 bits. */
const TEXT_DIGITS = 32;

/** What follows the prefix in the name of a text. */
const TEXT_NAME = new RegExp(`^[\\w-]+\\.[0-9a-f]{${TEXT_DIGITS}}$`);

/** A bundle's row with its version. */
export interface StoredBundle {
  id: string;
  version: number;
  fields: BundleFields;
}

/** Name of a bundle's shard. */
export function chooseShard(id: string): string {
  return String(murmurhash.v3(id) % BUNDLE_SHARDS);
}

/** Name of the object that contains a bundle's items. */
export function buildItemsName(id: string, digest: string): string {
  return `${OBJECT_PREFIX}.${id}.items.${digest.slice(0, 16)}`;
}

/**
 * Name of the object that contains a text too long for a row. An object is written
 * before the transaction that checks its writer's epoch. With the text's digest in
 * its name, a late owner cannot replace the text that the next owner has listed.
 */
export function buildTextName(
  id: string,
  itemId: string,
  text: string,
): string {
  const name = PLAIN_NAME.test(itemId) ? itemId : hashText(itemId);
  const digest = hashText(text).slice(0, TEXT_DIGITS);
  return `${buildTextPrefix(id)}${name}.${digest}`;
}

/** Start of the names of a bundle's texts, and of some objects of other bundles. */
export function buildTextPrefix(id: string): string {
  return `${OBJECT_PREFIX}.${id}.text.`;
}

/** Whether an object whose name starts with the prefix is a text of that bundle. */
export function isTextName(name: string, id: string): boolean {
  return TEXT_NAME.test(name.slice(buildTextPrefix(id).length));
}

/** Name of the object that contains the progress of items not listed yet. */
export function buildProgressName(id: string): string {
  return `${OBJECT_PREFIX}.${id}.progress`;
}

/** Key of the one row of a bundle in a collection. */
export function buildKey(collection: string, id: string): RowKey {
  return {partition: buildPartition(collection, chooseShard(id)), sort: id};
}

/** Key of the row for an account's waiting bundles on a route. */
export function buildWaitingKey(account: string, route: string): RowKey {
  return buildKey(WAITING_TOKENS, `${account}/${route}`);
}

/** Key of a listed result. Keys sort by position. */
export function buildResultKey(id: string, position: number): RowKey {
  return buildNumberedKey(RESULTS, id, position);
}

function buildNumberedKey(
  collection: string,
  id: string,
  position: number,
): RowKey {
  const digits = String(position).padStart(POSITION_DIGITS, '0');
  return {
    partition: buildPartition(collection, chooseShard(id)),
    sort: `${id}/${digits}`,
  };
}

/** Splits the items' JSON into rows of at most MAX_TEXT_IN_ROW. */
export function buildItemPuts(id: string, text: string): WriteOperation[] {
  return splitByStoredBytes(text, MAX_TEXT_IN_ROW).map((piece, index) => ({
    kind: 'put',
    key: buildNumberedKey(ITEMS, id, index),
    fields: {text: piece},
    condition: {kind: 'absent'},
  }));
}

/** Decodes a bundle's row; undefined when it is not one, but of another writer. */
export function findBundle(row: Row): StoredBundle | undefined {
  const fields = bundleFieldsSchema.safeParse(row.fields).data;
  return fields && {id: row.key.sort, version: row.version, fields};
}

/** Decodes a bundle's row; throws when the fields do not fit the schema. */
export function decodeBundleRow(row: Row): StoredBundle {
  const fields = bundleFieldsSchema.parse(row.fields);
  return {id: row.key.sort, version: row.version, fields};
}

/** Decodes an owner row; undefined when the fields do not fit the schema. */
export function decodeOwnerRow(row: Row): OwnerFields | undefined {
  return ownerFieldsSchema.safeParse(row.fields).data;
}
