/**
 * Moves a resumable stream from an endpoint that fell silent to another one.
 *
 * Failure: an endpoint may be silent for a second and go on. If its run is ended before
 * another endpoint has accepted the stream, the caller's response is broken off whenever
 * none does. Therefore the silent run is ended only when the next one is answered with
 * success, or has not been answered for so long that both would work on the stream.
 * Whichever sends data first goes on.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Counter} from 'prom-client';
import type {Slot} from '../dispatch/dispatch.js';
import {buildSilenceError} from '../endpoints/silence_guard.js';
import {HANDOVER_OVERLAP_MS} from './constants.js';
import type {OpenRun} from './open_run.js';
import type {RequestState} from './request_state.js';
import type {EndedRun} from './slot_run.js';

/** What the next run of a stream tells until it is accepted. */
export interface SuccessorListener {
  onSent(): void;
  /** Decides whether the response of an endpoint with this status is taken. */
  onStatus(status: number): boolean;
}

export interface StreamHandoverDependencies {
  clock: Clock;
  log: Log;
  /** Counts attempts by outcome. */
  handovers: Counter;
  /**
   * Acquires a slot of another endpoint while `silent` holds its own; undefined if the
   * stream must not run on two.
   */
  acquireNext(
    state: RequestState,
    silent: OpenRun,
    signal: AbortSignal,
  ): Promise<Slot | undefined>;
  startNext(
    state: RequestState,
    grant: {slot: Slot; askedAt: number},
    listener: SuccessorListener,
  ): OpenRun;
  /** Records a run that ended before it was accepted, or because another one was. */
  noteReplaced(state: RequestState, run: OpenRun, ended: EndedRun): void;
}

/** Follows runs to the end of the last one. */
export interface StreamHandover {
  /** Resolves with the run that was followed last, and how it ended. */
  follow(
    state: RequestState,
    run: OpenRun,
  ): Promise<{run: OpenRun; ended: EndedRun}>;
}

const OK = 200;

/** Whether one more endpoint may run the request while one is running it. */
export function isNextRunAllowed(
  {runs, trial}: Pick<RequestState, 'runs' | 'trial'>,
  maxAttempts: number,
): boolean {
  // A suspected content runs alone.
  return !trial && runs + 1 < maxAttempts;
}

export function createStreamHandover({
  clock,
  log,
  handovers,
  acquireNext,
  startNext,
  noteReplaced,
}: StreamHandoverDependencies): StreamHandover {
  /** Resolves with undefined if there is no slot, or the silent run goes on or ends. */
  async function findSlot(
    state: RequestState,
    silent: OpenRun,
    progress: AbortSignal,
  ): Promise<Slot | undefined> {
    const search = new AbortController();
    const stopSearch = () => search.abort();
    progress.addEventListener('abort', stopSearch);
    void silent.ended.then(stopSearch);
    try {
      const slot = await acquireNext(state, silent, search.signal);
      if (!search.signal.aborted) return slot;
      slot?.release({kind: 'cancelled', tokens: 0});
    } catch (thrown) {
      if (!(thrown instanceof RouterError)) throw thrown;
      if (search.signal.aborted) return undefined;
      log.info(
        {req: state.admitted.caller.id, code: thrown.code, why: thrown.message},
        'no endpoint found for a silent stream',
      );
    } finally {
      progress.removeEventListener('abort', stopSearch);
    }
    return undefined;
  }

  /** Runs the stream on the granted slot until it is accepted there, or not. */
  function startOverlap(
    state: RequestState,
    silent: OpenRun,
    grant: {slot: Slot; askedAt: number},
    progress: AbortSignal,
  ): {next: OpenRun; accepted: Promise<boolean>} {
    let isAccepted = false;
    let isRefused = false;
    let hasEnded = false;
    let settle: (isAccepted: boolean) => void = () => {};
    let cancelTimer = () => {};
    const accepted = new Promise<boolean>(resolve => {
      settle = resolve;
    });

    function accept() {
      if (isAccepted || hasEnded || progress.aborted) return;
      isAccepted = true;
      cancelTimer();
      progress.removeEventListener('abort', stopNext);
      silent.stop(buildSilenceError());
      settle(true);
    }

    function stopNext() {
      next.stop(new Error('the silent endpoint keeps the stream'));
    }

    function endOverlap() {
      if (isRefused) stopNext();
      else accept();
    }

    const next = startNext(state, grant, {
      onSent() {
        if (progress.aborted) return;
        cancelTimer = clock.schedule(HANDOVER_OVERLAP_MS, endOverlap);
      },
      onStatus(status) {
        if (status === OK) accept();
        else isRefused = true;
        return isAccepted && status === OK;
      },
    });
    progress.addEventListener('abort', stopNext);
    void silent.ended.then(ended => {
      if (ended.kind === 'answered' && ended.status === OK) stopNext();
      else accept();
    });
    void next.ended.then(() => {
      hasEnded = true;
      cancelTimer();
      progress.removeEventListener('abort', stopNext);
      settle(false);
    });
    return {next, accepted};
  }

  /** Returns the run that goes on with the stream. */
  async function handOver(
    state: RequestState,
    silent: OpenRun,
  ): Promise<OpenRun> {
    const askedAt = clock.now();
    const progress = silent.watchProgress();
    const slot = await findSlot(state, silent, progress);
    if (!slot) return silent;
    const {next, accepted} = startOverlap(
      state,
      silent,
      {slot, askedAt},
      progress,
    );
    const isAccepted = await accepted;
    handovers.inc({outcome: isAccepted ? 'moved' : 'stayed'});
    const [replaced, current] = isAccepted ? [silent, next] : [next, silent];
    noteReplaced(state, replaced, await replaced.ended);
    return current;
  }

  return {
    async follow(state, first) {
      let run = first;
      while (await run.awaitSilence()) {
        if (isNextRunAllowed(state, state.route.maxAttempts)) {
          run = await handOver(state, run);
        }
      }
      return {run, ended: await run.ended};
    },
  };
}
