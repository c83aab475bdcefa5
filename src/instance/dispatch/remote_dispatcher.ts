/** Asking the dispatcher of a pool on another instance. */
import type {Clock} from '../../common/clock.js';
import {waitFor} from '../../common/clock.js';
import type {
  ScheduledRequest,
  SchedulerOutcome,
} from '../../decisions/scheduler_types.js';
import type {PeerClient} from '../peers/peer_client.js';
import {
  ACQUIRE_GRACE_MS,
  ACQUIRE_TURN_MS,
  DISPATCHER_COOLDOWN_MS,
  GATHER_TIMEOUT_MS,
  LEAVING_MEMORY_MS,
  MAX_SILENT_DISPATCHERS,
  RELEASE_INTERVAL_MS,
} from './constants.js';
import type {AcquireAnswer, ReleaseInput} from './dispatch_schemas.js';
import type {SlotReport} from './slot_reports.js';
import {decodeRequest, encodeRequest} from './dispatch_router.js';
import type {LatencySnapshot} from '../../decisions/latency_model.js';
import type {GatheredPool, SlotAnswer} from './pool_dispatcher.js';

/** Raised when a dispatcher gives no answer: decide without it. */
export class DispatcherSilentError extends Error {
  constructor(address: string, cause?: unknown) {
    super(`dispatcher ${address} is silent`, {cause});
    this.name = 'DispatcherSilentError';
  }
}

/** What identifies a waiting request to its dispatcher. */
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

/** The dispatchers on other instances. */
export interface RemoteDispatchers {
  /** Throws DispatcherSilentError. */
  acquire(address: string, request: RemoteRequest): Promise<SlotAnswer>;
  /** Sent soon, together with others; lost ones are found by reports. */
  release(
    address: string,
    pool: string,
    requestId: string,
    outcome: SchedulerOutcome,
  ): void;
  /** Sent with the releases. */
  noteFirstByte(
    address: string,
    pool: string,
    requestId: string,
    firstByteMs: number,
  ): void;
  report(address: string, report: SlotReport): void;
  /** What an instance knows of a pool; undefined when it does not say. */
  gather(
    address: string,
    pool: string,
  ): Promise<(GatheredPool['slots'][number] & GatheredLatency) | undefined>;
  /** What dispatchers of a pool had learned when they last granted a slot. */
  findLatency(pool: string): LatencySnapshot | undefined;
  yieldSlots(address: string, requestIds: string[]): void;
  /** Tells a holder that this instance does not dispatch any more. */
  sendMoved(address: string): void;
  /** A dispatcher said so. */
  noteLeaving(address: string, now: number): void;
  /** Whether it fell silent, or said that it stops, a moment ago. */
  isPassedOver(address: string, now: number): boolean;
  /** Whether so many are silent that this instance is probably cut off. */
  isCutOff(now: number): boolean;
}

/** Told with the slots. */
type GatheredLatency = Pick<GatheredPool, 'latency'>;

/** `getSelfAddress` is where dispatchers reach this instance. */
export function createRemoteDispatchers(
  clock: Clock,
  peers: DispatchPeers,
  getSelfAddress: () => string,
): RemoteDispatchers {
  const silentUntil = new Map<string, number>();
  const leavingUntil = new Map<string, number>();
  const releases = new Map<string, Required<ReleaseInput>>();
  const latencies = new Map<string, LatencySnapshot>();

  async function sendAcquire(
    address: string,
    remote: RemoteRequest,
  ): Promise<AcquireAnswer> {
    const timeout = waitFor(clock, SILENCE_MS);
    const answer = peers.get(address).dispatch.acquire.mutate({
      service: remote.service,
      pool: remote.pool,
      holder: getSelfAddress(),
      request: encodeRequest(remote.request, clock.now()),
    });
    const silence = timeout.then(() => {
      throw new DispatcherSilentError(address);
    });
    try {
      return await Promise.race([answer, silence]);
    } catch (error) {
      answer.catch(() => {});
      silentUntil.set(address, clock.now() + DISPATCHER_COOLDOWN_MS);
      throw new DispatcherSilentError(address, error);
    } finally {
      silence.catch(() => {});
    }
  }

  function sendReleases(address: string) {
    const batch = releases.get(address);
    releases.delete(address);
    if (!batch) return;
    forgetFailure(peers.get(address).dispatch.release.mutate(batch));
  }

  function release(
    address: string,
    pool: string,
    requestId: string,
    outcome: SchedulerOutcome,
  ) {
    openBatch(address).releases.push({pool, requestId, outcome});
    // A question waits for the slot of an item that made way: collecting costs
    // a burst's slowest first tokens 5% (play 'burst', 8 seeds).
    if (outcome.kind === 'yielded') sendReleases(address);
  }

  /** What is collected for a dispatcher; sent after RELEASE_INTERVAL_MS. */
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

  function noteLeaving(address: string, now: number) {
    leavingUntil.set(address, now + LEAVING_MEMORY_MS);
  }

  return {
    release,
    noteLeaving,
    sendMoved(address) {
      const dispatcher = getSelfAddress();
      forgetFailure(peers.get(address).dispatch.moved.mutate({dispatcher}));
    },
    noteFirstByte(address, pool, requestId, firstByteMs) {
      openBatch(address).firstBytes.push({pool, requestId, firstByteMs});
    },
    async acquire(address, remote) {
      const {pool, request, signal} = remote;
      // After its silence one request alone finds out whether it is back.
      if (silentUntil.has(address)) {
        silentUntil.set(address, clock.now() + SILENCE_MS);
      }
      for (;;) {
        try {
          const answer = await sendAcquire(address, remote);
          silentUntil.delete(address);
          if (answer.kind === 'moved') noteLeaving(address, clock.now());
          if (answer.kind === 'granted' && answer.latency) {
            latencies.set(pool, answer.latency);
          }
          if (answer.kind !== 'waiting') return answer;
        } catch (error) {
          // The grant may be on its way: without this the slot would count
          // as in use until the next reports show that nobody holds it.
          release(address, pool, request.id, CANCELLED);
          throw error;
        }
        if (signal.aborted || clock.now() >= request.deadline) {
          release(address, pool, request.id, CANCELLED);
          return {kind: 'refused', reason: 'deadline', retryAfterMs: 0};
        }
      }
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
        // Its slots are learned from its next report.
        return undefined;
      }
    },
    findLatency: pool => latencies.get(pool),
    yieldSlots(address, requestIds) {
      forgetFailure(peers.get(address).dispatch.yield.mutate({requestIds}));
    },
    isPassedOver: (address, now) =>
      isSilent(address, now) || (leavingUntil.get(address) ?? 0) > now,
    isCutOff: now =>
      [...silentUntil.keys()].filter(address => isSilent(address, now)).length >
      MAX_SILENT_DISPATCHERS,
  };
}

/** Without an answer to a turn for so long a dispatcher is silent, in ms. */
const SILENCE_MS = ACQUIRE_TURN_MS + ACQUIRE_GRACE_MS;

const CANCELLED: SchedulerOutcome = {kind: 'cancelled', tokens: 0};

/** What these messages say is said again by the next report. */
function forgetFailure(call: Promise<unknown>) {
  call.catch(() => {});
}
