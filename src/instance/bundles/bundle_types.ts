/** Bundles as this product keeps them. */
import * as z from 'zod';

/** One item: a request that is run when there is room. */
export const bundleItemSchema = z.object({
  id: z.string(),
  /** Path with the query. */
  target: z.string(),
  /** Names and values, alternating. */
  headers: z.array(z.string()),
  /** Base64. */
  body: z.string(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  /** What it counts for against its account's bound on waiting tokens. */
  tokens: z.number().default(0),
});

/** The items of one bundle. */
export const bundleItemsSchema = z.array(bundleItemSchema);

/** Type of the schema of the same name. */
export type BundleItem = z.infer<typeof bundleItemSchema>;

/** `open` until every item is listed or its account ends it. */
export const bundleStateSchema = z.enum(['open', 'complete', 'ended']);

/** The fields of a bundle's row. Times are shared times in ms. */
export const bundleFieldsSchema = z.object({
  account: z.string(),
  /** Name of its route, and the version of routing it was accepted under. */
  route: z.string(),
  routingVersion: z.number(),
  state: bundleStateSchema,
  total: z.number(),
  /** Of all its items. */
  tokens: z.number().default(0),
  /** Item indexes in the order in which they were listed, joined by commas. */
  listed: z.string(),
  /** Number of the last change of owner: an earlier owner commits nothing. */
  epoch: z.number(),
  acceptedAt: z.number(),
  /** Name of the object that holds the items. */
  object: z.string(),
  /** SHA-256 of the items. */
  digest: z.string(),
});

/** A bundle's row. */
export type BundleFields = z.infer<typeof bundleFieldsSchema>;

/** The fields of the row that says who works on an open bundle. */
export const ownerFieldsSchema = z.object({
  /** Name of the instance; empty when it was handed back. */
  owner: z.string(),
  incarnation: z.string(),
  epoch: z.number(),
});

/** Who works on a bundle. */
export type OwnerFields = z.infer<typeof ownerFieldsSchema>;

/** How an item ended. */
export interface ItemResult {
  itemId: string;
  state: 'complete' | 'given-up';
  /** Data of all its events, joined by line feeds. */
  text: string;
}

/** The fields of a result's row: the text, or the object that holds it. */
export const resultFieldsSchema = z.object({
  itemId: z.string(),
  state: z.enum(['complete', 'given-up']),
  text: z.string().optional(),
  object: z.string().optional(),
});

/** Item indexes in the order of listing. */
export function decodeListed(listed: string): number[] {
  return listed === '' ? [] : listed.split(',').map(Number);
}

/** Item indexes as a row keeps them. */
export function encodeListed(indexes: readonly number[]): string {
  return indexes.join(',');
}
