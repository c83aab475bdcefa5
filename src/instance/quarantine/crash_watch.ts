/**
 * Tells which of the connections that runs lost were lost because their endpoint
 * ended. Each such end is logged with the request that ran there.
 */
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {ConnectionLoss} from '../gateway/slot_run.js';
import {checkEnded} from './endpoint_check.js';

/** A run that its endpoint's end cut off. */
export interface CrashedRun extends ConnectionLoss {
  requestId: string;
  /** Names what was asked for; see computeContentId. */
  content: string;
}

/** Takes in lost connections. */
export interface CrashWatch {
  /** Looks whether the endpoint has ended; never throws, and nobody need wait. */
  noteLoss(run: CrashedRun): Promise<void>;
}

/** What the watch works with. */
export interface CrashWatchDependencies {
  log: Log;
  metrics: Metrics;
  /** Told of each run that an endpoint's end cut off. */
  onCrash?: (run: CrashedRun) => void;
}

/** Starts idle. */
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
      const {requestId, content, endpoint, hadAnswer} = run;
      const isEnded = await checkEnded(endpoint.address);
      losses.inc({ended: String(isEnded)});
      if (!isEnded) return;
      log.info(
        {req: requestId, content, endpoint: endpoint.name, hadAnswer},
        'endpoint ended under a request',
      );
      onCrash(run);
    },
  };
}
