/**
 * Intents: one row in the platform's table for each non-idempotent call that
 * came with an Idempotency-Key, written before the call runs.
 *
 * Failure it answers: the caller loses the answer and sends the call again, to
 * another instance, perhaps while the first is still at it or after it died.
 * Symptom: the call takes effect twice. The row is inserted only if absent, so
 * of all instances one runs the call; the others find how it ended, or that
 * nobody knows. A row whose instance died stays `started`; after its time it
 * is reported as may-have-run, and the call is never run again.
 */
import * as z from 'zod';
import {hashText} from '../../common/ids.js';
import type {Metrics} from '../../common/metrics.js';
import {verdictSchema} from '../../common/verdict.js';
import {
  StoreError,
  type Fields,
  type Row,
  type TableStore,
  type WriteOperation,
} from '../../stores/table_store.js';
import {
  buildExpiryOperations,
  createIntentSweeper,
  INTENT_PARTITION,
} from './intent_expiry.js';
import {
  failInProgress,
  failReused,
  failStore,
  failUnknown,
} from './intent_failures.js';

/** Answers up to this size are recorded, well inside a row's limit. */
export const MAX_RECORDED_BYTES = 32 * 1024;

/** Added to a call's deadline before it counts as ended without a trace. */
const UNKNOWN_AFTER_MS = 10_000;

/** How a call ended. */
export const recordedEndSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('answered'),
    status: z.number(),
    headers: z.record(z.string(), z.string()),
    /** Base64; undefined when it was too large to record. */
    body: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal('failed'),
    code: z.string(),
    message: z.string(),
    verdict: verdictSchema,
  }),
]);

/** A recorded end. */
export type RecordedEnd = z.infer<typeof recordedEndSchema>;

/** Which call is meant. */
export interface IntentCall {
  account: string;
  service: string;
  /** The caller's Idempotency-Key. */
  key: string;
  /** Digest of method, path and body. */
  fingerprint: string;
  /** Longest time it may still run, in ms. */
  remainingMs: number;
}

/** What is to be done with a call. */
export type IntentStart =
  /** It is this instance's to run; `finish` is called once. */
  | {kind: 'run'; finish(end: RecordedEnd): Promise<void>}
  /** It ran before and ended so. */
  | {kind: 'recorded'; end: RecordedEnd};

/** The intents in the platform's table. */
export interface Intents {
  /**
   * Throws RouterError when the call runs elsewhere, when its outcome is
   * unknown, when the key came with another call, or without the store.
   */
  start(call: IntentCall, wallNow: number): Promise<IntentStart>;
}

/** `table` is the platform's. */
export function createIntents(table: TableStore, metrics: Metrics): Intents {
  const sweeper = createIntentSweeper(table);
  const counter = metrics.createCounter(
    'intents_total',
    'Non-idempotent calls with an Idempotency-Key, by what was found.',
    ['outcome'],
  );

  async function insertIntent(
    call: IntentCall,
    wallNow: number,
    held: Row | undefined,
  ): Promise<IntentStart | undefined> {
    const id = hashIntent(call);
    const operations: WriteOperation[] = [
      {
        kind: 'put',
        key: {partition: INTENT_PARTITION, sort: id},
        fields: {
          state: 'started',
          fingerprint: call.fingerprint,
          endsBy: wallNow + call.remainingMs + UNKNOWN_AFTER_MS,
        },
        condition: held
          ? {kind: 'version', version: held.version}
          : {kind: 'absent'},
      },
      ...(held ? [] : buildExpiryOperations(id, wallNow)),
    ];
    const outcome = await table.transact(operations);
    if (outcome.kind === 'conflict') return undefined;
    counter.inc({outcome: 'run'});
    const version = (held?.version ?? 0) + 1;
    return {kind: 'run', finish: end => finishIntent(call, version, end)};
  }

  async function finishIntent(
    call: IntentCall,
    version: number,
    end: RecordedEnd,
  ) {
    const isFree = end.kind === 'failed' && end.verdict === 'not-run';
    const fields: Fields = {
      state: isFree ? 'not-run' : 'ended',
      fingerprint: call.fingerprint,
      end: JSON.stringify(end),
    };
    const key = {partition: INTENT_PARTITION, sort: hashIntent(call)};
    try {
      await table.transact([
        {kind: 'put', key, fields, condition: {kind: 'version', version}},
      ]);
    } catch {
      // The caller still gets its answer; a resend finds the row as started
      // and is told may-have-run, which is true.
      counter.inc({outcome: 'unrecorded'});
    }
  }

  function readIntent(row: Row, wallNow: number): IntentStart | undefined {
    const {state, end, endsBy} = row.fields;
    if (state === 'not-run') return undefined;
    if (state === 'ended') {
      counter.inc({outcome: 'recorded'});
      const parsed = recordedEndSchema.parse(JSON.parse(String(end)));
      return {kind: 'recorded', end: parsed};
    }
    const isOver = wallNow > Number(endsBy);
    counter.inc({outcome: isOver ? 'unknown' : 'in-progress'});
    throw isOver ? failUnknown() : failInProgress();
  }

  async function findIntent(call: IntentCall): Promise<Row | undefined> {
    const sort = hashIntent(call);
    const row = await table.get({partition: INTENT_PARTITION, sort});
    if (row && row.fields.fingerprint !== call.fingerprint) throw failReused();
    return row;
  }

  async function startIntent(
    call: IntentCall,
    wallNow: number,
  ): Promise<IntentStart> {
    const inserted = await insertIntent(call, wallNow, undefined);
    if (inserted) return inserted;
    const row = await findIntent(call);
    const found = row && readIntent(row, wallNow);
    if (found) return found;
    const again = await insertIntent(call, wallNow, row);
    if (again) return again;
    throw failInProgress();
  }

  return {
    async start(call, wallNow) {
      try {
        const started = await startIntent(call, wallNow);
        if (started.kind === 'run') sweeper.note(wallNow);
        return started;
      } catch (thrown) {
        if (thrown instanceof StoreError) throw failStore(thrown);
        throw thrown;
      }
    },
  };
}

/** Callers choose keys freely, so an account's keys are its own. */
function hashIntent({account, service, key}: IntentCall): string {
  return hashText(`${account}\n${service}\n${key}`);
}
