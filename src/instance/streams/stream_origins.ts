/**
 * Knows at which software version each stream began, so that it goes on only there.
 *
 * A caller whose stream broke off takes it up at any instance, under a new id. Endpoints
 * do not check which version wrote the events before, and what two versions write does
 * not fit together. The instance that forwards a stream's first event therefore notes
 * its version at a keeper: the instance that would dispatch next for the pool, so that
 * no further connections are needed. The keeper writes what it is told to the store in
 * batches, for the keeper after it. What no keeper knows is refused, never guessed.
 */
import {LRUCache} from 'lru-cache';
import * as z from 'zod';
import {createTimeout, waitFor, type Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import {StoreError} from '../../stores/table_store.js';
import {getServiceName} from '../dispatch/pools.js';
import {PeerResponseError} from '../peers/peer_call.js';
import {NOTICE_OPTIONS, type PeerClients} from '../peers/peer_client.js';
import type {GatewayPeerRouter} from '../peers/peer_router.js';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {
  KEEPER_TIMEOUT_MS,
  MAX_KEEPERS_ASKED,
  MAX_ORIGINS,
  MAX_ORIGINS_PER_BATCH,
  NOTE_INTERVAL_MS,
  NOTE_TRANSIT_MS,
  READ_TIMEOUT_MS,
  ROW_RETENTION_MS,
  UNREACHABLE_RETRY_AFTER_MS,
} from './constants.js';
import type {
  ReadOrigin,
  StoredOrigins,
  StreamOrigin,
} from './stored_origins.js';

const noteSchema = z.strictObject({
  pool: z.string(),
  id: z.string(),
  version: z.string(),
});

const notesSchema = z.strictObject({
  notes: z.array(noteSchema).max(MAX_ORIGINS_PER_BATCH),
});

const findSchema = z.strictObject({
  pool: z.string(),
  /** Absent if the caller does not name its stream. */
  id: z.string().optional(),
});

const findAnswerSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('known'), version: z.string()}),
  /** The store was read, and does not know it either. */
  z.strictObject({kind: z.literal('unknown')}),
  /** The store could not be read. */
  z.strictObject({kind: z.literal('unreadable')}),
]);

/** The origin of a stream, and the pool in which it began. */
export type OriginNote = z.infer<typeof noteSchema>;
type FindInput = z.infer<typeof findSchema>;
type FindAnswer = z.infer<typeof findAnswerSchema>;

/** What is known of where streams began. */
export interface StreamOrigins extends StateSource {
  /** Notes where a stream began, once its first event is forwarded. */
  note(note: OriginNote): void;
  /**
   * Finds the version at which a stream began. Without an id, that is the version at which
   * all streams of the service began lately, if there is only one. Throws RouterError
   * (not-run) if it is not known, or if no keeper tells.
   */
  findVersion(pool: string, id: string | undefined): Promise<string>;
  /** Removes rows that are past their retention, in the pools that it keeps. */
  runMaintenance(): Promise<void>;
  /** Procedures that peers call. */
  procedures: {
    receiveNotes(notes: readonly OriginNote[]): void;
    find(input: FindInput): Promise<FindAnswer>;
  };
  stop(): void;
}

export interface StreamOriginsDependencies {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  getSelfAddress: () => string;
  /**
   * Address of the instance that keeps the origins of a pool; undefined if this instance
   * is likely cut off.
   */
  findKeeper: (pool: string) => string | undefined;
  /** Notes that an instance did not respond, so that the next one is the keeper. */
  noteSilent: (address: string) => void;
  /** Lists the other pools of a pool's service, in which a stream may have begun. */
  listSiblings: (pool: string) => string[];
  peers: Pick<PeerClients<GatewayPeerRouter>, 'get'>;
  stored: StoredOrigins;
}

/** Creates an instance's part in keeping origins, which knows none. */
export function createStreamOrigins({
  clock,
  log,
  metrics,
  getSelfAddress,
  findKeeper,
  noteSilent,
  listSiblings,
  peers,
  stored,
}: StreamOriginsDependencies): StreamOrigins {
  /** Versions by service and stream id. Ids are unique, so that entries need not expire. */
  const known = new LRUCache<string, string>({max: MAX_ORIGINS});
  /** When streams of each service last began at each version, as far as noted here. */
  const lastNoted = new Map<string, Map<string, number>>();
  const outgoing = new Map<string, OriginNote[]>();
  /** Pools whose origins this instance has kept. */
  const keptPools = new Set<string>();
  const lookups = metrics.createCounter(
    'stream_origin_lookups_total',
    'Streams taken up again by callers, by whether the version that began them was known.',
    ['result'],
  );

  function findKnown({pool, id}: FindInput): string | undefined {
    return id === undefined
      ? findOnlyVersion(pool)
      : known.get(buildKey(pool, id));
  }

  function findOnlyVersion(pool: string): string | undefined {
    const since = clock.now() - ROW_RETENTION_MS;
    const recent = [...(lastNoted.get(getServiceName(pool)) ?? [])].filter(
      ([, notedAt]) => notedAt >= since,
    );
    return recent.length === 1 ? recent[0][0] : undefined;
  }

  function addKnown(
    pool: string,
    {id, version}: StreamOrigin,
    notedAt: number,
  ) {
    known.set(buildKey(pool, id), version);
    const service = getServiceName(pool);
    const versions = lastNoted.get(service) ?? new Map<string, number>();
    lastNoted.set(service, versions);
    versions.set(version, Math.max(notedAt, versions.get(version) ?? notedAt));
  }

  function receiveNotes(notes: readonly OriginNote[]) {
    for (const {pool, id, version} of notes) {
      addKnown(pool, {id, version}, clock.now());
      keptPools.add(pool);
      stored.add(pool, {id, version});
    }
  }

  function sendNotes(keeper: string) {
    const notes = outgoing.get(keeper) ?? [];
    outgoing.delete(keeper);
    // A note that is lost makes the stream unknown, which is safe.
    peers
      .get(keeper)
      .streams.note.mutate({notes}, NOTICE_OPTIONS)
      .catch(() => {});
  }

  function pushNote(keeper: string, note: OriginNote) {
    const notes = outgoing.get(keeper);
    if (!notes) {
      outgoing.set(keeper, [note]);
      clock.schedule(NOTE_INTERVAL_MS, () => sendNotes(keeper));
    } else if (notes.length < MAX_ORIGINS_PER_BATCH) notes.push(note);
  }

  function importOrigins(pool: string, origins: readonly ReadOrigin[]) {
    const now = clock.now();
    for (const origin of origins) addKnown(pool, origin, now - origin.ageMs);
  }

  /**
   * Reads the rows of the service's pools. A named stream is found in one of them; which
   * versions there were lately is known only after all are read.
   */
  async function findStored(input: FindInput): Promise<string | undefined> {
    const {pool, id} = input;
    for (const each of [pool, ...listSiblings(pool)]) {
      importOrigins(each, await stored.read(each));
      if (id !== undefined && findKnown(input)) break;
    }
    return findKnown(input);
  }

  /**
   * Throws StoreError if the store has not answered in time. A keeper that waited longer
   * would be taken for silent by the instances that ask it.
   */
  async function findStoredInTime(
    input: FindInput,
  ): Promise<string | undefined> {
    const timeout = createTimeout(clock, READ_TIMEOUT_MS);
    const late = timeout.expired.then((): never => {
      throw new StoreError('no response within the timeout', 'none');
    });
    try {
      return await Promise.race([findStored(input), late]);
    } finally {
      timeout.cancel();
    }
  }

  /**
   * Looks a stream up as its keeper, in memory and then in the store. A caller may return
   * before the note of its first event is here, so that an unknown stream is looked up
   * once more after NOTE_TRANSIT_MS.
   */
  async function findKept(input: FindInput): Promise<FindAnswer> {
    const {pool, id} = input;
    const own = id === undefined ? undefined : findKnown(input);
    if (own !== undefined) return {kind: 'known', version: own};
    const inTransit = waitFor(clock, NOTE_TRANSIT_MS);
    let isReadable = true;
    try {
      const version = await findStoredInTime(input);
      if (version !== undefined) return {kind: 'known', version};
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.info({pool, err: error.message}, 'origins of streams not read');
      isReadable = false;
    }
    if (!isReadable && id === undefined) return {kind: 'unreadable'};
    await inTransit;
    const version = findKnown(input);
    if (version !== undefined) return {kind: 'known', version};
    return {kind: isReadable ? 'unknown' : 'unreadable'};
  }

  /** Asks the keeper, and the next one if that is silent. */
  async function askKeeper(input: FindInput): Promise<FindAnswer> {
    for (let asked = 0; asked < MAX_KEEPERS_ASKED; asked++) {
      const keeper = findKeeper(input.pool);
      if (keeper === undefined) break;
      if (keeper === getSelfAddress()) return findKept(input);
      try {
        return await peers
          .get(keeper)
          .streams.find.query(input, {context: {timeoutMs: KEEPER_TIMEOUT_MS}});
      } catch (error) {
        log.info(
          {keeper, err: String(error)},
          'keeper of stream origins gave no answer',
        );
        // An instance of an earlier build responds that it keeps no origins.
        if (error instanceof PeerResponseError) break;
        noteSilent(keeper);
      }
    }
    return {kind: 'unreadable'};
  }

  return {
    note(note) {
      known.set(buildKey(note.pool, note.id), note.version);
      const keeper = findKeeper(note.pool);
      if (keeper === undefined) return;
      if (keeper === getSelfAddress()) receiveNotes([note]);
      else pushNote(keeper, note);
    },
    async findVersion(pool, id) {
      const own = id === undefined ? undefined : findKnown({pool, id});
      const answer: FindAnswer =
        own === undefined
          ? await askKeeper({pool, id})
          : {kind: 'known', version: own};
      lookups.inc({result: answer.kind});
      if (answer.kind === 'known') return answer.version;
      if (answer.kind === 'unknown') {
        throw new RouterError(
          'stream_unknown',
          id === undefined
            ? 'the request does not name the attempt that brought its first event'
            : 'it is not known where the stream began; start it again',
          {verdict: 'not-run'},
        );
      }
      throw new RouterError(
        'stream_unknown',
        'where the stream began cannot be found out now',
        {verdict: 'not-run', retryAfterMs: UNREACHABLE_RETRY_AFTER_MS},
      );
    },
    async runMaintenance() {
      for (const pool of keptPools) {
        if (findKeeper(pool) !== getSelfAddress()) keptPools.delete(pool);
        else await stored.removeExpired(pool);
      }
    },
    procedures: {receiveNotes, find: findKept},
    describeState: () => ({
      known: known.size,
      unwritten: stored.countPending(),
    }),
    stop: stored.stop,
  };
}

function buildKey(pool: string, id: string): string {
  return `${getServiceName(pool)} ${id}`;
}

/** Procedures of an instance as a keeper. */
export function buildStreamsRouter({
  procedures,
}: Pick<StreamOrigins, 'procedures'>) {
  return buildPeerRouterOf({
    note: peerProcedure
      .input(notesSchema)
      .mutation(({input}) => procedures.receiveNotes(input.notes)),
    find: peerProcedure
      .input(findSchema)
      .output(findAnswerSchema)
      .query(({input}) => procedures.find(input)),
  });
}
