/** Messages between instances about rates. */
import * as z from 'zod';

const idSchema = z.string().max(160);
const countSchema = z.number().int().nonnegative();
const timeSchema = z.number().nonnegative();

/** A member of a view, as it is sent and stored. */
export const viewMemberSchema = z.strictObject({
  name: z.string().max(63),
  address: z.string().max(64),
  incarnation: z.string().max(64),
});

/** A view, as it is sent. */
export const viewSchema = z.strictObject({
  run: z.string().max(80),
  members: z.array(viewMemberSchema).min(1).max(3),
});

/** Rate and burst of an account in one version of a document. */
export const bucketLimitsSchema = z.strictObject({
  version: countSchema,
  rate: z.number().positive(),
  burst: z.number().positive(),
});

/** An instance asks for tokens of one bucket. */
export const drawSchema = z.strictObject({
  bucket: idSchema,
  wanted: z.number().int().positive().max(1024),
  limits: bucketLimitsSchema,
});

/** The holder's grant, or the addresses to ask instead. */
export type DrawReply =
  | {
      kind: 'granted';
      id: number;
      immediate: number;
      delayed: number;
      firstDelayMs: number;
      spacingMs: number;
      retryAfterMs: number;
      recovering: boolean;
      /** Tag of the holder's ledger, and the addresses of its standbys. */
      run: string;
      successors: string[];
    }
  | {kind: 'redirect'; addresses: string[]}
  /** `addresses` should be asked before the retry. */
  | {kind: 'unavailable'; retryAfterMs: number; addresses: string[]};

/** Finished grants of several buckets of one holder. */
export const settleSchema = z.strictObject({
  grants: z
    .array(
      z.strictObject({
        bucket: idSchema,
        run: z.string().max(80),
        grantId: countSchema,
        unspent: countSchema,
      }),
    )
    .max(256),
});

/** A bucket of a view, and the tokens reserved for its successor. */
const reserveSchema = z.strictObject({bucket: idSchema, tokens: countSchema});

/** A holder asks a standby for the promise not to take over. */
export const renewSchema = z.strictObject({
  view: viewSchema,
  to: z.string().max(64),
  /** Increases with each message; an older one that arrives late is ignored. */
  sequence: countSchema,
  /** Buckets that were added or whose reserve changed. */
  changes: z.array(reserveSchema).max(512),
});

/** A candidate asks for a vote. */
export const voteSchema = z.strictObject({
  run: z.string().max(80),
  to: z.string().max(64),
  candidate: z.string().max(64),
});

/** A holder that shuts down hands its buckets over. */
export const handOverSchema = z.strictObject({
  view: viewSchema,
  to: z.string().max(64),
  /** The holder owns the view, so no vote is needed. */
  owned: z.boolean(),
  buckets: z
    .array(
      z.strictObject({
        bucket: idSchema,
        limits: bucketLimitsSchema,
        tokens: z.number(),
        lent: timeSchema,
      }),
    )
    .max(4096),
});

export type DrawInput = z.infer<typeof drawSchema>;
export type SettleInput = z.infer<typeof settleSchema>;
export type RenewInput = z.infer<typeof renewSchema>;
export type VoteInput = z.infer<typeof voteSchema>;
export type HandOverInput = z.infer<typeof handOverSchema>;

/** A standby's response to a renewal. */
export type RenewReply =
  /** `applied` is false when newer changes have already been applied. */
  {kind: 'promised'; applied: boolean} | {kind: 'sealed'} | {kind: 'unknown'};

/** A vote, or the reason why there is none. */
export type VoteReply =
  | {kind: 'voted'; candidate: string}
  | {kind: 'wait'; retryAfterMs: number}
  | {kind: 'unknown'};

/** Builds the reply of an instance that cannot grant now. */
export function buildUnavailable(
  retryAfterMs: number,
  addresses: string[] = [],
): DrawReply {
  return {kind: 'unavailable', retryAfterMs, addresses};
}
