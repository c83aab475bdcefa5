/**
 * The changes of configuration and keys. Applying them is idempotent and their
 * order does not matter: the higher version of a document wins, and a withdrawn
 * key stays withdrawn. So changes may come from the store or from any peer,
 * late or twice, and no document or key reverts to an earlier state.
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

/** A new version of a document, or a key that was given or withdrawn. */
export const changeSchema = z.discriminatedUnion('kind', [
  documentChangeSchema,
  keyChangeSchema,
]);

export type Change = z.infer<typeof changeSchema>;

/** A document as stored. */
export type DocumentChange = z.infer<typeof documentChangeSchema>;

/** A key as stored: its hash, never the key itself. */
export type KeyChange = z.infer<typeof keyChangeSchema>;

/** One part of the changes that bring another instance to a generation. */
export const updateSchema = z.strictObject({
  generation: z.number().int().nonnegative(),
  /**
   * Generation that the changes follow, one generation per change. Null if they
   * are the complete state.
   */
  from: z.number().int().nonnegative().nullable(),
  changes: z.array(changeSchema),
  /** Position at which the next part begins; absent in the last part. */
  next: z.number().int().optional(),
});

/** All parts of an update together. */
export type ConfigurationUpdate = Pick<
  z.infer<typeof updateSchema>,
  'generation' | 'from' | 'changes'
>;
