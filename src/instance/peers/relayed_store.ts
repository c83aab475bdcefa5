/**
 * Access to the store through a peer, for an instance that the store refuses
 * while it serves others.
 *
 * Failure: the store refuses one instance for seconds. Without the relay, the
 * bundles that this instance works on see no items and finish late, and callers
 * that reach it are refused. The peer determines the outcome of each write with
 * the store. If the peer's response is lost, the outcome counts as unknown, as
 * it would with the store itself.
 */
import * as z from 'zod';
import type {SharedTime} from '../../common/shared_time.js';
import type {SmallObjectStore} from '../../stores/object_store.js';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import {PeerCallError} from './peer_call.js';
import {buildPeerRouterOf, peerProcedure} from './peer_procedures.js';

/** Tables and objects of the store. */
export interface StoreAccess {
  table: TableStore;
  objects: SmallObjectStore;
}

/** Direct access of an instance to the store. */
export interface DirectStore extends StoreAccess {
  /** The time of the store's clock. */
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
  /** JSON of the arguments, with bytes as base64. */
  input: z.string(),
});

const answerSchema = z.union([
  /**
   * `result` is JSON, absent if the call returns nothing. `storeTime` is the
   * store's time: an instance that has never reached the store cannot know it
   * otherwise.
   */
  z.strictObject({
    result: z.string().optional(),
    storeTime: z.number().optional(),
  }),
  z.strictObject({error: z.string(), effect: z.enum(['none', 'unknown'])}),
]);

/** A call to the store as it is sent to a peer. */
export type RelayedCall = z.infer<typeof callSchema>;
type RelayedAnswer = z.infer<typeof answerSchema>;

/**
 * Sends a call to a peer that reaches the store. Returns undefined if the call
 * should go to the store directly.
 */
export type CallRelay = (
  call: RelayedCall,
) => Promise<RelayedAnswer> | undefined;

type Arguments = Record<string, never>;

/** Runs a peer's call of each method. */
const HANDLERS: Record<
  RelayedCall['method'],
  (store: StoreAccess, input: Arguments) => Promise<unknown>
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

/** Runs calls of peers through this instance's direct access to the store. */
export function buildStoreRouter(store: DirectStore) {
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

/**
 * Sends calls through a peer if `relay` offers one, otherwise to the store
 * itself.
 */
export function createRelayedStore(
  direct: DirectStore,
  relay: CallRelay,
): StoreAccess {
  async function awaitRelayed(
    pending: Promise<RelayedAnswer>,
    isWrite: boolean,
  ): Promise<unknown> {
    let answer: RelayedAnswer;
    try {
      answer = await pending;
    } catch (error) {
      throw new StoreError(
        'the peer that reaches the store gave no answer',
        isWrite && isPossiblySent(error) ? 'unknown' : 'none',
        error,
      );
    }
    if ('error' in answer) throw new StoreError(answer.error, answer.effect);
    if (answer.storeTime !== undefined) direct.time.note(answer.storeTime);
    return answer.result === undefined ? undefined : JSON.parse(answer.result);
  }

  async function runCall<Result>(
    method: RelayedCall['method'],
    input: object,
    runDirect: () => Promise<Result>,
    isWrite: boolean,
  ): Promise<Result> {
    const pending = relay({method, input: JSON.stringify(input)});
    if (!pending) return runDirect();
    return (await awaitRelayed(pending, isWrite)) as Result;
  }

  const {table, objects} = direct;
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
        const bytes = (await awaitRelayed(pending, false)) as
          string | undefined;
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

/**
 * Whether the call may have been sent. A call refused before it was sent had no
 * effect.
 */
function isPossiblySent(error: unknown): boolean {
  return !(error instanceof PeerCallError) || error.sent;
}
