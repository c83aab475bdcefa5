/** Schemas and types of stored bundles. */
import * as z from 'zod';

/** One item: a request that runs when an endpoint has a free slot. */
export const bundleItemSchema = z.object({
  id: z.string(),
  /** Path with the query. */
  target: z.string(),
  /** Alternating names and values. */
  headers: z.array(z.string()),
  /** Base64. */
  body: z.string(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  /** Tokens that count against the account's limit on waiting tokens. */
  tokens: z.number().default(0),
});

/** The items of one bundle. */
export const bundleItemsSchema = z.array(bundleItemSchema);

/** Type of the schema of the same name. */
export type BundleItem = z.infer<typeof bundleItemSchema>;

/** A bundle is `open` until all its items are listed or its account ends it. */
export const bundleStateSchema = z.enum(['open', 'complete', 'ended']);

/** The fields of a bundle's row. Times are shared time in ms. */
export const bundleFieldsSchema = z.object({
  account: z.string(),
  /** Name of the route, and the routing version at which it was accepted. */
  route: z.string(),
  /** Host of the route; absent in rows of earlier versions. */
  host: z.string().optional(),
  routingVersion: z.number(),
  state: bundleStateSchema,
  total: z.number(),
  /** Sum over all items. */
  tokens: z.number().default(0),
  /** Indexes of the listed items in the order of listing, joined by commas. */
  listed: z.string(),
  /** Incremented at each change of owner; earlier owners cannot commit. */
  epoch: z.number(),
  acceptedAt: z.number(),
  /** Name of the object that contains the items. */
  object: z.string(),
  /** SHA-256 of the items. */
  digest: z.string(),
});

/** A bundle's row. */
export type BundleFields = z.infer<typeof bundleFieldsSchema>;

/** The fields of the row that names the owner of an open bundle. */
export const ownerFieldsSchema = z.object({
  /** Name of the instance; empty after the owner released the bundle. */
  owner: z.string(),
  incarnation: z.string(),
  epoch: z.number(),
});

/** The owner of a bundle. */
export type OwnerFields = z.infer<typeof ownerFieldsSchema>;

/** How an item ended. */
export interface ItemResult {
  itemId: string;
  state: 'complete' | 'given-up';
  /** Data of all events, joined by line feeds. */
  text: string;
  /** Whether the store refused it as a row; it is then stored as an object. */
  isRefused?: boolean;
}

/** The fields of a result's row: the text, or the object that contains it. */
export const resultFieldsSchema = z.object({
  itemId: z.string(),
  state: z.enum(['complete', 'given-up']),
  text: z.string().optional(),
  object: z.string().optional(),
  /** Size of the object; absent in rows of earlier versions. */
  bytes: z.number().optional(),
});

/** Decodes the `listed` field to item indexes in the order of listing. */
export function decodeListed(listed: string): number[] {
  return listed === '' ? [] : listed.split(',').map(Number);
}

/** Encodes item indexes for the `listed` field. */
export function encodeListed(indexes: readonly number[]): string {
  return indexes.join(',');
}
