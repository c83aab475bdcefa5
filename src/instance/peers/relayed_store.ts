/**
 * The store through a peer, for an instance that the store turns away while it
 * serves others.
 *
 * Failure it answers: the store refuses one instance for seconds. Symptom
 * without it: bundles that it works on list nothing and are late, and callers
 * that reach it are refused. The peer settles each write with the store; when
 * the peer's answer is lost, the write counts as unclear, as it would have
 * with the store itself.
 */
import * as z from 'zod';
import type {SharedTime} from '../../common/shared_time.js';
import type {SmallObjects} from '../../stores/object_store.js';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import {PeerCallError} from './call_bounds.js';
import {buildPeerRouterOf, peerProcedure} from './peer_procedures.js';

/** What is kept in the store. */
export interface KeptStore {
  table: TableStore;
  objects: SmallObjects;
}

/** The store as an instance reaches it by itself. */
export interface OwnStore extends KeptStore {
  /** The store's clock. */
  time: SharedTime;
}

const callSchema = z.strictObject({
  method: z.enum([
    'get',
    'query',
    'transact',
    'put',
    'fetch',
    'delete',
    'list',
  ]),
  /** JSON of the arguments; bytes as base64. */
  input: z.string(),
});

const answerSchema = z.union([
  /**
   * JSON of the result, absent for none; and the store's time, which an instance
   * that never reached the store cannot know otherwise.
   */
  z.strictObject({
    result: z.string().optional(),
    storeTime: z.number().optional(),
  }),
  z.strictObject({error: z.string(), effect: z.enum(['none', 'unknown'])}),
]);

/** A call on the store as it is sent to a peer. */
export type RelayedCall = z.infer<typeof callSchema>;
type RelayedAnswer = z.infer<typeof answerSchema>;

/** Sends a call to a peer that reaches the store; undefined when none does. */
export type CallRelay = (
  call: RelayedCall,
) => Promise<RelayedAnswer> | undefined;

type Arguments = Record<string, never>;

/** What a peer runs for each method. */
const HANDLERS: Record<
  RelayedCall['method'],
  (store: KeptStore, input: Arguments) => Promise<unknown>
> = {
  get: ({table}, {key}) => table.get(key),
  query: ({table}, {partition, range}) => table.query(partition, range),
  transact: ({table}, {operations}) => table.transact(operations),
  put: ({objects}, {name, body}) =>
    objects.put(name, Buffer.from(body, 'base64')),
  fetch: async ({objects}, {name}) =>
    (await objects.get(name))?.toString('base64'),
  delete: ({objects}, {name}) => objects.delete(name),
  list: ({objects}, {prefix, after}) => objects.list(prefix, after),
};

/** Runs peers' calls on this instance's own way to the store. */
export function buildStoreRouter(store: OwnStore) {
  return buildPeerRouterOf({
    run: peerProcedure
      .input(callSchema)
      .output(answerSchema)
      .mutation(async ({input: {method, input}}): Promise<RelayedAnswer> => {
        try {
          const result = await HANDLERS[method](store, JSON.parse(input));
          const storeTime = store.time.read();
          return {result: JSON.stringify(result), storeTime};
        } catch (error) {
          if (!(error instanceof StoreError)) throw error;
          return {error: error.message, effect: error.effect};
        }
      }),
  });
}

/** The store itself, or a peer where `relay` gives one. */
export function createRelayedStore(own: OwnStore, relay: CallRelay): KeptStore {
  async function awaitPeer(
    pending: Promise<RelayedAnswer>,
    isWrite: boolean,
  ): Promise<unknown> {
    let answer: RelayedAnswer;
    try {
      answer = await pending;
    } catch (error) {
      throw new StoreError(
        'the peer that reaches the store gave no answer',
        isWrite && isSent(error) ? 'unknown' : 'none',
        error,
      );
    }
    if ('error' in answer) throw new StoreError(answer.error, answer.effect);
    if (answer.storeTime !== undefined) own.time.note(answer.storeTime);
    return answer.result === undefined ? undefined : JSON.parse(answer.result);
  }

  async function runCall<Result>(
    method: RelayedCall['method'],
    input: object,
    runOwn: () => Promise<Result>,
    isWrite: boolean,
  ): Promise<Result> {
    const pending = relay({method, input: JSON.stringify(input)});
    if (!pending) return runOwn();
    return (await awaitPeer(pending, isWrite)) as Result;
  }

  const {table, objects} = own;
  return {
    table: {
      get: key => runCall('get', {key}, () => table.get(key), false),
      query: (partition, range) =>
        runCall(
          'query',
          {partition, range},
          () => table.query(partition, range),
          false,
        ),
      transact: operations =>
        runCall(
          'transact',
          {operations},
          () => table.transact(operations),
          true,
        ),
    },
    objects: {
      put: (name, body) =>
        runCall(
          'put',
          {name, body: Buffer.from(body).toString('base64')},
          () => objects.put(name, body),
          true,
        ),
      async get(name) {
        const pending = relay({method: 'fetch', input: JSON.stringify({name})});
        if (!pending) return objects.get(name);
        const bytes = (await awaitPeer(pending, false)) as string | undefined;
        return bytes === undefined ? undefined : Buffer.from(bytes, 'base64');
      },
      delete: name =>
        runCall('delete', {name}, () => objects.delete(name), true),
      list: (prefix, after) =>
        runCall(
          'list',
          {prefix, after},
          () => objects.list(prefix, after),
          false,
        ),
    },
  };
}

/** A call that was refused here, before it was sent, had no effect. */
function isSent(error: unknown): boolean {
  const {cause} = error as {cause?: unknown};
  return !(cause instanceof PeerCallError) || cause.sent;
}
