/**
 * Runs a non-idempotent call with an Idempotency-Key at most once in the fleet.
 *
 * A caller that loses the response resends the call to another instance, while
 * the first instance still runs it or after that instance crashed. Without
 * intents the call would take effect twice.
 *
 * An intent is a row in the platform's table that is written before the call
 * runs, and only if it is absent. So one instance runs the call, and the others
 * find its outcome or that it is unknown. The row of a crashed instance stays
 * `started`; once the call can no longer be running it is reported as
 * may-have-run, and the call is never run again.
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
  buildInProgressError,
  buildKeyReusedError,
  buildStoreUnavailableError,
  buildUnknownOutcomeError,
} from './intent_errors.js';

/**
 * Responses up to this size are recorded; well below the size limit of a row.
 */
export const MAX_RECORDED_BYTES = 32 * 1024;

/** Time after a call's deadline from which its outcome counts as unknown. */
const UNKNOWN_OUTCOME_DELAY_MS = 10_000;

/** Schema of the recorded outcome of a call. */
export const recordedEndSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('answered'),
    status: z.number(),
    headers: z.record(z.string(), z.string()),
    /** Base64; undefined if it was too large to record. */
    body: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal('failed'),
    code: z.string(),
    message: z.string(),
    verdict: verdictSchema,
  }),
]);

/** The recorded outcome of a call. */
export type RecordedEnd = z.infer<typeof recordedEndSchema>;

/** Identifies a call. */
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

/** Whether to run a call or to return its recorded outcome. */
export type IntentStart =
  /** This instance runs the call and then calls `finish` once. */
  | {kind: 'run'; finish(end: RecordedEnd): Promise<void>}
  /** The call ran before with this outcome. */
  | {kind: 'recorded'; end: RecordedEnd};

/** The intents in the platform's table. */
export interface Intents {
  /**
   * Starts a call. Throws RouterError if the call is already running, its
   * outcome is unknown, the key was used for another call, or the store fails.
   */
  start(call: IntentCall, wallNow: number): Promise<IntentStart>;
}

/** `table` is the platform's table service. */
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
    previous: Row | undefined,
  ): Promise<IntentStart | undefined> {
    const id = hashIntent(call);
    const operations: WriteOperation[] = [
      {
        kind: 'put',
        key: {partition: INTENT_PARTITION, sort: id},
        fields: {
          state: 'started',
          fingerprint: call.fingerprint,
          endsBy: wallNow + call.remainingMs + UNKNOWN_OUTCOME_DELAY_MS,
        },
        condition: previous
          ? {kind: 'version', version: previous.version}
          : {kind: 'absent'},
      },
      ...(previous ? [] : buildExpiryOperations(id, wallNow)),
    ];
    const outcome = await table.transact(operations);
    if (outcome.kind === 'conflict') return undefined;
    counter.inc({outcome: 'run'});
    const version = (previous?.version ?? 0) + 1;
    return {kind: 'run', finish: end => finishIntent(call, version, end)};
  }

  async function finishIntent(
    call: IntentCall,
    version: number,
    end: RecordedEnd,
  ) {
    const mayRunAgain = end.kind === 'failed' && end.verdict === 'not-run';
    const fields: Fields = {
      state: mayRunAgain ? 'not-run' : 'ended',
      fingerprint: call.fingerprint,
      end: JSON.stringify(end),
    };
    const key = {partition: INTENT_PARTITION, sort: hashIntent(call)};
    try {
      await table.transact([
        {kind: 'put', key, fields, condition: {kind: 'version', version}},
      ]);
    } catch {
      // The caller still gets its response. A resend finds the row as started
      // and correctly gets may-have-run.
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
    const hasExpired = wallNow > Number(endsBy);
    counter.inc({outcome: hasExpired ? 'unknown' : 'in-progress'});
    throw hasExpired ? buildUnknownOutcomeError() : buildInProgressError();
  }

  async function findIntent(call: IntentCall): Promise<Row | undefined> {
    const sort = hashIntent(call);
    const row = await table.get({partition: INTENT_PARTITION, sort});
    if (row && row.fields.fingerprint !== call.fingerprint)
      throw buildKeyReusedError();
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
    const restarted = await insertIntent(call, wallNow, row);
    if (restarted) return restarted;
    throw buildInProgressError();
  }

  return {
    async start(call, wallNow) {
      try {
        const started = await startIntent(call, wallNow);
        if (started.kind === 'run') sweeper.note(wallNow);
        return started;
      } catch (thrown) {
        if (thrown instanceof StoreError)
          throw buildStoreUnavailableError(thrown);
        throw thrown;
      }
    },
  };
}

/** Callers choose keys freely, so each account has its own key space. */
function hashIntent({account, service, key}: IntentCall): string {
  return hashText(`${account}\n${service}\n${key}`);
}
