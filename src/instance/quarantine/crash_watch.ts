/**
 * Checks for each run that lost its connection whether its endpoint's process
 * has ended. If so, this is logged with the request that was running.
 */
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {ConnectionLoss} from '../gateway/slot_run.js';
import {checkEnded} from './endpoint_check.js';
import type {RunSubject} from './run_subject.js';
import type {Trial} from './trials.js';

/** A run that lost its connection to the endpoint. */
export interface LostRun extends ConnectionLoss, RunSubject {
  requestId: string;
  /** The trial in which it ran; absent if it was no suspect. */
  trial?: Trial;
}

/** Receives lost connections. */
export interface CrashWatch {
  /** Checks whether the endpoint has ended; never rejects, needs no await. */
  noteLoss(run: LostRun): Promise<void>;
}

export interface CrashWatchDependencies {
  log: Log;
  metrics: Metrics;
  /** Called for each run whose endpoint has ended. */
  onCrash?: (run: LostRun) => void;
}

export function createCrashWatch({
  log,
  metrics,
  onCrash = () => {},
}: CrashWatchDependencies): CrashWatch {
  const losses = metrics.createCounter(
    'endpoint_connections_lost_total',
    'Runs whose endpoint closed the connection, by whether it has ended.',
    ['ended'],
  );

  return {
    async noteLoss(run) {
      const {requestId, content, parts, endpoint, hadAnswer} = run;
      const isEnded = await checkEnded(endpoint.address);
      losses.inc({ended: String(isEnded)});
      if (!isEnded) {
        run.trial?.release();
        return;
      }
      log.info(
        {req: requestId, content, parts, endpoint: endpoint.name, hadAnswer},
        'endpoint process ended while running a request',
      );
      onCrash(run);
    },
  };
}
