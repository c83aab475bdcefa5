/** Client for the dispatchers of pools on other instances. */
import type {Clock} from '../../common/clock.js';
import {createTimeout} from '../../common/clock.js';
import type {
  ScheduledRequest,
  SchedulerOutcome,
} from '../../decisions/scheduler_types.js';
import {NOTICE_OPTIONS, type PeerClient} from '../peers/peer_client.js';
import {
  ACQUIRE_GRACE_MS,
  ACQUIRE_POLL_MS,
  DISPATCHER_COOLDOWN_MS,
  GATHER_TIMEOUT_MS,
  LEAVING_SKIP_MS,
  MAX_SILENT_DISPATCHERS,
  RELEASE_INTERVAL_MS,
} from './constants.js';
import {createKnownLatencies} from './known_latencies.js';
import type {AcquireAnswer, ReleaseInput} from './dispatch_schemas.js';
import type {SlotReport} from './slot_reports.js';
import {decodeRequest, encodeRequest} from './dispatch_router.js';
import type {LatencySnapshot} from '../../decisions/latency_model.js';
import type {GatheredPool, SlotAnswer} from './pool_dispatcher.js';

/** Thrown when a dispatcher does not respond. */
export class DispatcherSilentError extends Error {
  constructor(address: string, cause?: unknown) {
    super(`dispatcher ${address} did not respond`, {cause});
    this.name = 'DispatcherSilentError';
  }
}

/** A request for a slot of one pool. */
export interface RemoteRequest {
  service: string;
  pool: string;
  request: ScheduledRequest;
  signal: AbortSignal;
}

/** Connections to peers, as far as dispatch uses them. */
export interface DispatchPeers {
  get(address: string): Pick<PeerClient, 'dispatch'>;
}

/** A first byte as it is sent to a dispatcher. */
type ReportedFirstByte = Required<ReleaseInput>['firstBytes'][number];

/** Calls to the dispatchers on other instances. */
export interface RemoteDispatchers {
  /** Throws DispatcherSilentError. */
  acquire(address: string, request: RemoteRequest): Promise<SlotAnswer>;
  /** Sends soon, with other releases; reports make up for lost ones. */
  release(
    address: string,
    pool: string,
    requestId: string,
    outcome: SchedulerOutcome,
  ): void;
  /** Sends the time of a first byte together with the releases. */
  noteFirstByte(address: string, firstByte: ReportedFirstByte): void;
  report(address: string, report: SlotReport): void;
  /** Asks an instance to describe a pool; undefined when the call fails. */
  gather(
    address: string,
    pool: string,
  ): Promise<(GatheredPool['slots'][number] & GatheredLatency) | undefined>;
  /** The latency that a pool's dispatchers sent with granted slots. */
  findLatency(pool: string): LatencySnapshot | undefined;
  yieldSlots(address: string, requestIds: string[]): void;
  /** Notifies a holder that this instance no longer dispatches. */
  sendMoved(address: string): void;
  /** Records that an instance did not respond, so that the next one is asked. */
  noteSilent(address: string, now: number): void;
  /** Records that a dispatcher announced that it stops or stands down. */
  noteLeaving(address: string, now: number): void;
  /** Whether a dispatcher recently did not respond or announced its stop. */
  isSkipped(address: string, now: number): boolean;
  /** Whether this instance is likely cut off, as too many are silent. */
  isCutOff(now: number): boolean;
  /** Whether the last dispatcher that was asked responded. */
  isAnswered(): boolean;
}

/** Latency that an instance sends along with its slots. */
type GatheredLatency = Pick<GatheredPool, 'latency'>;

/** `getSelfAddress` returns the peer address of this instance. */
export function createRemoteDispatchers(
  clock: Clock,
  peers: DispatchPeers,
  getSelfAddress: () => string,
): RemoteDispatchers {
  const silentUntil = new Map<string, number>();
  const leavingUntil = new Map<string, number>();
  const releases = new Map<string, Required<ReleaseInput>>();
  const latencies = createKnownLatencies();
  let isAnswered = true;

  /**
   * Leaves the tolerated factor out where no endpoint reported a pace: it has no
   * effect there, and dispatchers of an earlier version reject unknown fields.
   */
  function encodeRemote({pool, request}: RemoteRequest) {
    const hasPaces = latencies.find(pool)?.speeds !== undefined;
    const {maxFactor} = request;
    return encodeRequest(
      {...request, maxFactor: hasPaces ? maxFactor : undefined},
      clock.now(),
    );
  }

  async function sendAcquire(
    address: string,
    remote: RemoteRequest,
  ): Promise<AcquireAnswer> {
    const answer = peers.get(address).dispatch.acquire.mutate({
      service: remote.service,
      pool: remote.pool,
      holder: getSelfAddress(),
      request: encodeRemote(remote),
    });
    const timeout = createTimeout(clock, DISPATCHER_TIMEOUT_MS);
    try {
      const first = await Promise.race([answer, timeout.expired]);
      if (first === undefined) throw new DispatcherSilentError(address);
      return first;
    } catch (error) {
      answer.catch(() => {});
      noteSilent(address, clock.now());
      throw new DispatcherSilentError(address, error);
    } finally {
      timeout.cancel();
    }
  }

  /**
   * Returns undefined once the request's signal aborts. The call goes on, so that a
   * silent dispatcher is noted.
   */
  async function sendUntilAborted(
    address: string,
    remote: RemoteRequest,
  ): Promise<AcquireAnswer | undefined> {
    const {signal} = remote;
    let resolveAborted = () => {};
    const aborted = new Promise<undefined>(resolve => {
      resolveAborted = () => resolve(undefined);
    });
    signal.addEventListener('abort', resolveAborted);
    try {
      return await Promise.race([sendAcquire(address, remote), aborted]);
    } finally {
      signal.removeEventListener('abort', resolveAborted);
    }
  }

  function sendReleases(address: string) {
    const batch = releases.get(address);
    releases.delete(address);
    if (!batch) return;
    forgetFailure(
      peers.get(address).dispatch.release.mutate(batch, NOTICE_OPTIONS),
    );
  }

  function release(
    address: string,
    pool: string,
    requestId: string,
    outcome: SchedulerOutcome,
  ) {
    openBatch(address).releases.push({pool, requestId, outcome});
    if (SENT_AT_ONCE.has(outcome.kind)) sendReleases(address);
  }

  /** Returns a dispatcher's batch, sent after RELEASE_INTERVAL_MS. */
  function openBatch(address: string): Required<ReleaseInput> {
    const held = releases.get(address);
    if (held) return held;
    const batch: Required<ReleaseInput> = {firstBytes: [], releases: []};
    releases.set(address, batch);
    clock.schedule(RELEASE_INTERVAL_MS, () => sendReleases(address));
    return batch;
  }

  function isSilent(address: string, now: number): boolean {
    return (silentUntil.get(address) ?? 0) > now;
  }

  function noteSilent(address: string, now: number) {
    isAnswered = false;
    silentUntil.set(address, now + DISPATCHER_COOLDOWN_MS);
  }

  function noteLeaving(address: string, now: number) {
    leavingUntil.set(address, now + LEAVING_SKIP_MS);
  }

  return {
    release,
    noteSilent,
    noteLeaving,
    sendMoved(address) {
      const dispatcher = getSelfAddress();
      forgetFailure(peers.get(address).dispatch.moved.mutate({dispatcher}));
    },
    noteFirstByte(address, firstByte) {
      openBatch(address).firstBytes.push(firstByte);
    },
    async acquire(address, remote) {
      const {pool, request, signal} = remote;
      // After a silent period only one request at a time probes whether the
      // dispatcher has recovered.
      if (silentUntil.has(address)) {
        silentUntil.set(address, clock.now() + DISPATCHER_TIMEOUT_MS);
      }
      for (;;) {
        try {
          const answer = await sendUntilAborted(address, remote);
          if (answer === undefined) break;
          silentUntil.delete(address);
          isAnswered = true;
          if (answer.kind === 'moved') noteLeaving(address, clock.now());
          if (answer.kind === 'granted' && answer.latency) {
            latencies.note(pool, answer.latency);
          }
          if (answer.kind !== 'waiting') return answer;
        } catch (error) {
          // The grant may be in transit. Without this release the slot would
          // count as in use until the next reports show that it is not held.
          release(address, pool, request.id, CANCELLED);
          throw error;
        }
        if (signal.aborted || clock.now() >= request.deadline) break;
      }
      release(address, pool, request.id, CANCELLED);
      return {kind: 'refused', reason: 'deadline', retryAfterMs: 0};
    },
    report(address, report) {
      forgetFailure(
        peers
          .get(address)
          .dispatch.report.mutate({holder: getSelfAddress(), ...report}),
      );
    },
    async gather(address, pool) {
      try {
        const {slots, latency} = await peers
          .get(address)
          .dispatch.describePool.query(
            {pool},
            {context: {timeoutMs: GATHER_TIMEOUT_MS}},
          );
        const now = clock.now();
        const reported = slots.map(({request, endpoint}) => ({
          request: decodeRequest(request, now),
          endpoint,
        }));
        return {holder: address, slots: reported, latency};
      } catch {
        // The next report of the instance makes up for the failed call.
        return undefined;
      }
    },
    findLatency: latencies.find,
    yieldSlots(address, requestIds) {
      forgetFailure(peers.get(address).dispatch.yield.mutate({requestIds}));
    },
    isSkipped: (address, now) =>
      isSilent(address, now) || (leavingUntil.get(address) ?? 0) > now,
    isCutOff: now =>
      [...silentUntil.keys()].filter(address => isSilent(address, now)).length >
      MAX_SILENT_DISPATCHERS,
    isAnswered: () => isAnswered,
  };
}

/** Time without a response after which a dispatcher counts as silent. */
const DISPATCHER_TIMEOUT_MS = ACQUIRE_POLL_MS + ACQUIRE_GRACE_MS;

/**
 * Outcomes after which a slot is released at once. An online request waits for the slot of
 * an item that yielded: collecting these releases too makes the slowest first tokens of a
 * burst 5% later (simulation 'burst', 8 seeds). A request that could not use its slot asks
 * again, and would be given the same one as long as its release is not there.
 */
const SENT_AT_ONCE: ReadonlySet<SchedulerOutcome['kind']> = new Set([
  'yielded',
  'cancelled',
]);

const CANCELLED: SchedulerOutcome = {kind: 'cancelled', tokens: 0};

/** Ignores failures of messages whose content the next report repeats. */
function forgetFailure(call: Promise<unknown>) {
  call.catch(() => {});
}
