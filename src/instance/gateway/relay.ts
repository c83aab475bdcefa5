/**
 * Runs one caller's request to completion: draws a rate limit token of its
 * account, acquires a slot, runs the request there, and runs it again if the
 * route allows that. The verdict given to the caller states only what is proved
 * about the runs, never what is likely.
 */
import type {Log} from '../../common/log.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import {readBody} from '../callers/http_exchange.js';
import {computeContentId} from '../../common/ids.js';
import {createReturnSchedule} from '../../decisions/return_schedule.js';
import type {Slot, SlotRequest} from '../dispatch/dispatch.js';
import type {FleetDispatch} from '../dispatch/fleet_dispatch.js';
import type {OwnerLimits} from '../limits/owner_limits.js';
import {checkAdmission} from '../routing/check_admission.js';
import {chooseTarget} from '../routing/choose_target.js';
import type {ContentGuard} from '../quarantine/quarantine.js';
import {buildRunSubject} from '../quarantine/run_subject.js';
import {findHomeRegions} from '../routing/home_regions.js';
import type {Route} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';
import type {StreamOrigins} from '../streams/stream_origins.js';
import {describeStart, type StreamStart} from '../streams/stream_start.js';
import {createAnswerRelay} from './answer_relay.js';
import type {HeldAnswers} from './held_answers.js';
import {openRun, type OpenRun} from './open_run.js';
import {
  MAX_NOT_RUN_SENDS,
  MIN_REMAINING_MS,
  REFUSED_RETRY_AFTER_MS,
  RETURN_INTERVAL_MS,
  STREAM_SILENCE_MS,
} from './constants.js';
import {createRoutedWaits} from './routed_waits.js';
import {
  createRequestLifetime,
  createFirstSlotTimeout,
} from './request_limits.js';
import {
  buildAdmissionError,
  buildStopError,
  buildNotRunError,
  buildNoEndpointError,
  buildNoSlotError,
  computeDeadline,
  computeStartBy,
  getStreamId,
  toFinalError,
  type AdmittedRequest,
  type RequestState,
} from './request_state.js';
import {
  hasPossiblyRun,
  type EndedRun,
  type RunEnd,
  type RunListener,
  type RunRequest,
  type SlotRunDependencies,
} from './slot_run.js';
import {
  createStreamHandover,
  type SuccessorListener,
} from './stream_handover.js';

export interface RelayDependencies extends SlotRunDependencies {
  log: Log;
  metrics: Metrics;
  routing: RoutingTable;
  limits: OwnerLimits;
  dispatch: Pick<
    FleetDispatch,
    'acquireSlot' | 'listPoolsFor' | 'listVersions'
  >;
  origins: Pick<StreamOrigins, 'note' | 'findVersion'>;
  quarantine: ContentGuard;
  heldAnswers: HeldAnswers;
  /**
   * Incarnation of this process; makes its slot requests unique in the fleet.
   */
  getIncarnation: () => string;
}

/** Relays requests; throws RouterError for those that got no response. */
export interface Relay {
  run(admitted: AdmittedRequest): Promise<void>;
}

const PUBLIC_ACCOUNT = 'public';
const OK = 200;

export function createRelay(dependencies: RelayDependencies): Relay {
  const {clock, log, metrics, routing, limits, dispatch, quarantine} =
    dependencies;
  const {heldAnswers, origins, getIncarnation} = dependencies;

  const returns = createReturnSchedule();
  const waits = createRoutedWaits(routing);

  /** Checks again what may have changed while the request waited to be sent. */
  function checkStillAllowed(state: RequestState) {
    const {admitted} = state;
    if (state.service !== undefined) return;
    const check = checkAdmission(routing, {...admitted.caller, ...admitted});
    if (check.kind !== 'allowed') throw buildAdmissionError(check.kind);
    state.route = check.route;
  }

  /** Finds the route to which a request is held at this moment. */
  function findHeldRoute({admitted, service, route}: RequestState): Route {
    if (service !== undefined) return route;
    const {host, path} = admitted.caller;
    return routing.findRoute(host, path) ?? route;
  }

  /**
   * Waits for the first slot only as long as the caller can still retry
   * elsewhere.
   */
  async function acquireSlot(state: RequestState): Promise<Slot> {
    const isFirst = state.runs === 0;
    const startBy = isFirst ? computeStartBy(state.admitted) : Infinity;
    const slotTimeout = createFirstSlotTimeout(
      clock,
      startBy,
      state.lifetime.signal,
    );
    try {
      return await askForSlot(state, startBy, slotTimeout.signal);
    } catch (error) {
      const hasTimedOut =
        slotTimeout.hasExpired() && !state.lifetime.getReason();
      if (!hasTimedOut) throw error;
      throw buildNoSlotError(scheduleReturn(state));
    } finally {
      slotTimeout.close();
    }
  }

  /** Spreads the returns of callers whose wait for a slot ended here. */
  function scheduleReturn({admitted, lifetime}: RequestState): number {
    const account = admitted.account?.name ?? PUBLIC_ACCOUNT;
    return returns.schedule(
      {account, deadline: lifetime.endsAt},
      REFUSED_RETRY_AFTER_MS,
      RETURN_INTERVAL_MS,
      clock.now(),
    );
  }

  function buildSlotRequest(
    state: RequestState,
    startBy: number,
    signal: AbortSignal,
    avoid = state.avoid,
  ): SlotRequest {
    const {admitted, lifetime, start} = state;
    const {caller, account} = admitted;
    const route = findHeldRoute(state);
    return {
      requestId: `${caller.id}.${state.slotRequests++}.${getIncarnation().slice(-6)}`,
      service: state.service ?? chooseTarget(route, getStreamId(admitted)),
      account: account?.name ?? PUBLIC_ACCOUNT,
      weight: routing.findWeight(route, account),
      workClass: 'online',
      model: '',
      deadline: lifetime.endsAt,
      targetAt: admitted.arrivedAt + route.targetMs,
      startBy: Number.isFinite(startBy) ? startBy : undefined,
      promptTokens: caller.promptTokens,
      answerTokens: caller.answerTokens,
      memoryTokens: caller.memoryTokens,
      prefixHashes: caller.prefixHashes,
      avoid,
      version: start?.version,
      regions: findHomeRegions(route, account),
      signal,
    };
  }

  async function askForSlot(
    state: RequestState,
    startBy: number,
    signal: AbortSignal,
    avoid?: string[],
  ): Promise<Slot> {
    for (;;) {
      const request = buildSlotRequest(state, startBy, signal, avoid);
      if (state.start && state.start.service !== request.service) {
        throw buildNoEndpointError('the stream is of another service');
      }
      const slot = await waits.run(
        waitSignal => dispatch.acquireSlot({...request, signal: waitSignal}),
        signal,
        () => isOutdated(state, request.service),
      );
      if (slot) return slot;
      checkStillAllowed(state);
    }
  }

  /** Whether a waiting request is refused by the version in force, or sent elsewhere. */
  function isOutdated(state: RequestState, service: string): boolean {
    const {admitted} = state;
    if (state.service !== undefined) return false;
    const check = checkAdmission(routing, {...admitted.caller, ...admitted});
    if (check.kind !== 'allowed') return true;
    return chooseTarget(check.route, getStreamId(admitted)) !== service;
  }

  /**
   * Finds where a stream that the caller takes up began; undefined for a new stream, or
   * if the service's endpoints state no versions. Throws RouterError (not-run) if it
   * cannot be known.
   */
  async function findStart(
    state: RequestState,
  ): Promise<StreamStart | undefined> {
    const {resumes, resumeAfter} = state.admitted.caller;
    if (resumes === undefined && resumeAfter === undefined) return undefined;
    const request = buildSlotRequest(state, Infinity, state.lifetime.signal);
    const {service} = request;
    const [pool] = dispatch.listPoolsFor(request);
    if (pool === undefined) throw buildNoEndpointError();
    if (dispatch.listVersions(service).size === 0) return undefined;
    const id = resumes && getStreamId(state.admitted);
    const version = await origins.findVersion(pool, id);
    return {service, version};
  }

  function buildRunRequest({
    admitted,
    body,
    lifetime,
    relay,
  }: RequestState): RunRequest {
    const {caller, route, account, exchange} = admitted;
    const isResumable = route.repeat === 'resumable';
    return {
      id: caller.id,
      method: caller.method,
      target: caller.target,
      host: caller.host,
      headers: exchange.request.rawHeaders,
      body,
      account: account?.name,
      remainingMs: Math.floor(lifetime.endsAt - clock.now()),
      resumeAfter: relay.getLastId(),
      silenceMs: isResumable ? STREAM_SILENCE_MS : Infinity,
    };
  }

  /** Acquires a slot, and checks again what may have changed in the meantime. */
  async function acquireCheckedSlot(state: RequestState): Promise<Slot> {
    const {subject, lifetime} = state;
    quarantine.checkQuarantine(subject);
    const slot = await acquireSlot(state);
    try {
      checkStillAllowed(state);
      quarantine.checkQuarantine(subject);
      state.trial ??= await quarantine.acquireTrial(
        subject,
        lifetime.endsAt - clock.now(),
      );
    } catch (error) {
      slot.release({kind: 'cancelled', tokens: 0});
      throw error;
    }
    return slot;
  }

  /**
   * Acquires a slot of another endpoint for a stream whose endpoint is silent. If there is
   * no other, it is the same one, as only the connection may have become silent.
   */
  async function acquireNext(
    state: RequestState,
    silent: OpenRun,
    signal: AbortSignal,
  ): Promise<Slot | undefined> {
    const {subject, lifetime, avoid} = state;
    const {address} = silent.slot.endpoint;
    quarantine.checkQuarantine(subject);
    const slot = await askForSlot(state, Infinity, signal, [...avoid, address]);
    const remainingMs = lifetime.endsAt - clock.now();
    const isUsable =
      remainingMs >= MIN_REMAINING_MS && !quarantine.isSuspected(subject);
    if (isUsable) return slot;
    slot.release({kind: 'cancelled', tokens: 0});
    return undefined;
  }

  function startRun(
    state: RequestState,
    grant: {slot: Slot; askedAt: number},
    listener: RunListener,
  ): OpenRun {
    const {slot} = grant;
    state.service ??= describeStart(slot.endpoint).service;
    return openRun(
      dependencies,
      grant,
      buildRunRequest(state),
      noteFirstEvent(state, slot, listener),
      state.lifetime.signal,
    );
  }

  function startNext(
    state: RequestState,
    grant: {slot: Slot; askedAt: number},
    {onSent, onStatus}: SuccessorListener,
  ): OpenRun {
    const listener = state.relay.openRun(true);
    return startRun(state, grant, {
      ...listener,
      onSent,
      onAnswer: (status, headers) =>
        onStatus(status) ? listener.onAnswer(status, headers) : 'discard',
    });
  }

  function noteAttempt(state: RequestState, run: OpenRun, ended: EndedRun) {
    const {endpoint, way} = run.slot;
    state.avoid.push(endpoint.address);
    state.attempts.push({
      endpoint: endpoint.name,
      version: endpoint.version,
      way,
      waitedMs: Math.round(run.waitedMs),
      ranMs: Math.round(clock.now() - run.startedAt),
      end: ended.kind,
      reason: 'reason' in ended ? ended.reason : undefined,
      ...ended.response,
    });
    noteLoss(state, ended);
  }

  const handover = createStreamHandover({
    clock,
    log,
    handovers: metrics.createCounter(
      'gateway_stream_handovers_total',
      'Streams of silent endpoints that another endpoint was asked to go on with, by outcome (moved, stayed).',
      ['outcome'],
    ),
    acquireNext,
    startNext,
    noteReplaced(state, run, ended) {
      noteAttempt(state, run, ended);
      if (hasPossiblyRun(ended)) state.runs++;
    },
  });

  async function runOnce(state: RequestState): Promise<EndedRun> {
    const askedAt = clock.now();
    const slot = await acquireCheckedSlot(state);
    if (state.lifetime.endsAt - clock.now() < MIN_REMAINING_MS) {
      slot.release({kind: 'cancelled', tokens: 0});
      return {kind: 'stopped', wasSent: false};
    }
    const isLast = state.runs + 1 >= state.route.maxAttempts;
    const listener = state.relay.openRun(isLast);
    const first = startRun(state, {slot, askedAt}, listener);
    const {run, ended} = await handover.follow(state, first);
    noteAttempt(state, run, ended);
    return ended;
  }

  /** Notes where a stream began, or goes on, as soon as the caller has an event. */
  function noteFirstEvent(
    state: RequestState,
    {endpoint, pool}: Slot,
    listener: RunListener,
  ): RunListener {
    let isNoted = false;
    return {
      ...listener,
      onData(chunk, resume) {
        const wantsMore = listener.onData(chunk, resume);
        if (isNoted || state.relay.getLastId() === undefined) return wantsMore;
        isNoted = true;
        state.start ??= describeStart(endpoint);
        const {version} = endpoint;
        if (version === undefined) return wantsMore;
        origins.note({pool, id: getStreamId(state.admitted), version});
        return wantsMore;
      },
    };
  }

  function noteLoss(state: RequestState, ended: RunEnd) {
    if (ended.kind !== 'broken' || !ended.loss) return;
    const {admitted, subject, trial} = state;
    state.trial = undefined;
    const requestId = admitted.caller.id;
    void quarantine.noteLoss({requestId, ...subject, trial, ...ended.loss});
  }

  /**
   * Whether a complete response of an endpoint is the final one of the request.
   */
  function isFinal(state: RequestState, ended: RunEnd): boolean {
    if (ended.kind !== 'answered') return false;
    // The failure of a later attempt is not sent to the caller.
    if (state.relay.getStatus() !== ended.status) return false;
    const isStream = state.route.form === 'stream';
    return !isStream || ended.status !== OK || state.relay.isAtEventEnd();
  }

  /**
   * Counts an unsuccessful run; throws if the request may not be sent again.
   */
  function noteRun(state: RequestState, ended: RunEnd) {
    const {relay} = state;
    if (ended.kind === 'not-run') {
      if (state.runs === 0) state.service = undefined;
      if (++state.notRunSends < MAX_NOT_RUN_SENDS) return;
      throw buildNotRunError(state, 'every endpoint refused');
    }
    if (ended.kind === 'stopped') {
      if (ended.wasSent) state.runs++;
      throw buildStopError(state);
    }
    state.runs++;
    const {repeat, maxAttempts} = state.route;
    const mayRepeat =
      repeat === 'resumable' || (repeat === 'idempotent' && !relay.hasBegun());
    if (mayRepeat && state.runs < maxAttempts) return;
    const reason = ended.kind === 'broken' ? ended.reason : 'cut short';
    throw new RouterError('endpoint_failed', reason, {verdict: 'may-have-run'});
  }

  async function runToEnd(state: RequestState) {
    state.start = await findStart(state);
    for (;;) {
      let ended: RunEnd;
      try {
        ended = await runOnce(state);
      } catch (thrown) {
        throw toFinalError(state, thrown);
      }
      if (isFinal(state, ended)) {
        const isSuccess = ended.kind === 'answered' && ended.status === OK;
        quarantine.noteAnswered(state.subject, isSuccess);
        state.relay.finish();
        return;
      }
      noteRun(state, ended);
    }
  }

  async function acquireRateToken({caller, account}: AdmittedRequest) {
    if (!account) return undefined;
    const decision = await limits.acquire(account);
    if (decision.kind === 'granted') return decision.refund;
    log.info(
      {req: caller.id, account: account.name, ...decision},
      'request refused: account exceeded its rate limit',
    );
    throw new RouterError('rate_limited', 'the account is over its rate', {
      verdict: 'not-run',
      retryAfterMs: decision.retryAfterMs,
    });
  }

  function logEnd(state: RequestState, error?: RouterError) {
    const {caller, account, arrivedAt} = state.admitted;
    log.info(
      {
        req: caller.id,
        content: state.subject.content,
        route: state.route.name,
        account: account?.name,
        resumes: caller.resumes,
        resumeAfter: caller.resumeAfter,
        routingAtArrival: state.routingAtArrival,
        routing: routing.getVersion(),
        tookMs: Math.round(clock.now() - arrivedAt),
        tries: state.attempts,
        code: error?.code ?? 'ok',
        verdict: error?.verdict,
        retryAfterMs: error?.retryAfterMs,
        why: error?.message,
      },
      error ? 'request got no complete response' : 'request completed',
    );
  }

  return {
    async run(admitted) {
      const {exchange, caller, route, account} = admitted;
      const {callerBounds, version: routingAtArrival} = routing.getDocument()!;
      const owner = account?.name ?? PUBLIC_ACCOUNT;
      const body = await readBody(
        exchange.request,
        callerBounds.maxBodyBytes,
        heldAnswers.openBody(owner),
      );
      const refund = await acquireRateToken(admitted);
      const lifetime = createRequestLifetime(
        clock,
        computeDeadline(admitted),
        exchange.signal,
      );
      const output = heldAnswers.openOutput({
        response: exchange.response,
        account: owner,
        signal: exchange.signal,
        onEnd: () => lifetime.stop('unread'),
      });
      const state: RequestState = {
        admitted,
        routingAtArrival,
        route,
        body,
        subject: buildRunSubject(
          computeContentId({...caller, account: account?.name, body}),
          caller.promptParts,
        ),
        lifetime,
        relay: createAnswerRelay(exchange.response, output, {
          isStream: route.form === 'stream',
          isResumable: route.repeat === 'resumable',
          mayRepeat: route.repeat !== 'once',
        }),
        runs: 0,
        notRunSends: 0,
        avoid: [],
        slotRequests: 0,
        attempts: [],
      };
      try {
        await runToEnd(state);
        logEnd(state);
      } catch (thrown) {
        const error = toRouterError(thrown, 'may-have-run');
        if (state.runs === 0) refund?.();
        logEnd(state, error);
        if (!state.relay.hasBegun()) throw error;
        state.relay.abort();
      } finally {
        state.trial?.release();
        lifetime.close();
      }
    },
  };
}
