/**
 * The changes of configuration and keys. Taking one in is idempotent and the
 * order does not matter: a document's higher version wins and a withdrawn key
 * stays withdrawn. So changes may come from the store or from any peer, late
 * or twice, and nothing ever goes back.
 */
import * as z from 'zod';

const documentChangeSchema = z.strictObject({
  kind: z.literal('document'),
  service: z.string(),
  version: z.number().int().positive(),
  text: z.string(),
  author: z.string(),
});

const keyChangeSchema = z.strictObject({
  kind: z.literal('key'),
  keyHash: z.string(),
  keyId: z.string(),
  account: z.string(),
  state: z.enum(['valid', 'withdrawn']),
});

/** A document's new version, or a key given or withdrawn. */
export const changeSchema = z.discriminatedUnion('kind', [
  documentChangeSchema,
  keyChangeSchema,
]);

/** One change. */
export type Change = z.infer<typeof changeSchema>;

/** A document as stored. */
export type DocumentChange = z.infer<typeof documentChangeSchema>;

/** A key as stored: its hash, never the key. */
export type KeyChange = z.infer<typeof keyChangeSchema>;

/** Part of what brings another instance up to a generation. */
export const updateSchema = z.strictObject({
  generation: z.number().int().nonnegative(),
  /** Generation that the changes follow one by one; null: they are all. */
  from: z.number().int().nonnegative().nullable(),
  changes: z.array(changeSchema),
  /** Where the next part begins; absent in the last one. */
  next: z.number().int().optional(),
});

/** All of it. */
export type Update = Pick<
  z.infer<typeof updateSchema>,
  'generation' | 'from' | 'changes'
>;
