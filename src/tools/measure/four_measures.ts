/** The users' four measures of one policy on one deployment, over seeds. */
import type {Histogram} from 'hdr-histogram-js';
import {computeBatchRate, MEASURES} from '../../plays/play_measures.js';
import {readPercentile, type PlayResult} from '../../plays/play_result.js';
import {runPlay, type PlayParts} from '../../plays/play_runner.js';
import {
  buildPlay,
  type Deployment,
  type Situation,
  type Variation,
} from './deployments.js';

/** Figures of one policy. Times in ms. */
export interface FourMeasures {
  deployment: string;
  policy: string;
  /** First token without batch work, and under full batch load. */
  onlineP50: number;
  onlineP99: number;
  underBatchP50: number;
  underBatchP95: number;
  underBatchP99: number;
  /** 50th, 95th and 99th percentile under batch to that without. */
  harmP50: number;
  harmP95: number;
  harmP99: number;
  /** Items a second, the bound, and their ratio. */
  batchRate: number;
  batchBound: number;
  batchShare: number;
  /** Items stopped for each that was completed. */
  batchStopped: number;
  /** Worst-served account to the median one while another sends too much. */
  worstAnswered: number;
  worstPrompt: number;
  /** Share of requests inside the rate that were refused. */
  wrongful: number;
  wrongfulInLoss: number;
  /** How long batch work held up a burst's requests, and the burst's harm. */
  heldMax: number;
  burstHarmP99: number;
  /** First token, and share answered, while endpoints are slow and silent. */
  faultsP99: number;
  faultsAnswered: number;
  /** First token where engines' memory is small. */
  smallMemoryP99: number;
  /** Answers a second in saturation, and the least sender's share. */
  saturatedGoodput: number;
  saturatedLeast: number;
}

/** Plays all situations for every seed and puts the figures together. */
export function measurePolicy(
  deployment: Deployment,
  policy: string,
  parts: Partial<PlayParts>,
  seeds: readonly number[],
  variation: Variation = {},
): FourMeasures {
  const play = (situation: Situation) =>
    seeds.map(seed =>
      runPlay(buildPlay(deployment, situation, seed, variation), parts),
    );
  const online = play('online');
  const batch = play('batch');
  const burst = play('burst');
  const burstOnline = play('burst-online');
  const overRate = play('over-rate');
  const loss = play('instance-lost');
  const faults = play('endpoint-faults');
  const memory = play('small-memory');
  const saturation = play('saturation');

  const alone = mergeHistograms(online, result => result.firstToken);
  const under = mergeHistograms(batch, result => result.firstToken);
  const harm = (percentile: number) =>
    readPercentile(under, percentile) / readPercentile(alone, percentile);
  const burstUnder = mergeHistograms(burst, each => each.firstTokenOfBurst);
  const burstAlone = mergeHistograms(
    burstOnline,
    each => each.firstTokenOfBurst,
  );
  const held = mergeHistograms(burst, each => each.heldOfBurst);
  const batchRate = computeMean(batch.map(computeBatchRate));
  const batchBound = computeMean(
    online.map(result => computeBatchBound(deployment, result)),
  );
  return {
    deployment: deployment.name,
    policy,
    onlineP50: readPercentile(alone, 50),
    onlineP99: readPercentile(alone, 99),
    underBatchP50: readPercentile(under, 50),
    underBatchP95: readPercentile(under, 95),
    underBatchP99: readPercentile(under, 99),
    harmP50: harm(50),
    harmP95: harm(95),
    harmP99: harm(99),
    batchRate,
    batchBound,
    batchShare: batchRate / batchBound,
    batchStopped: computeMeanOf(batch, 'batch-wasted'),
    worstAnswered: Math.min(
      ...overRate.map(result => MEASURES['worst-account'](result)),
    ),
    worstPrompt: computeMeanOf(overRate, 'worst-prompt'),
    wrongful: computeMeanOf([...online, ...batch, ...burst], 'wrongful-share'),
    wrongfulInLoss: computeMeanOf(loss, 'wrongful-share'),
    heldMax: readPercentile(held, 100),
    burstHarmP99:
      readPercentile(burstUnder, 99) / readPercentile(burstAlone, 99),
    faultsP99: computeMeanOf(faults, 'first-token-p99'),
    faultsAnswered: computeMeanOf(faults, 'answered-share'),
    smallMemoryP99: computeMeanOf(memory, 'first-token-p99'),
    saturatedGoodput: computeMeanOf(saturation, 'goodput'),
    saturatedLeast: computeMeanOf(saturation, 'least-sender'),
  };
}

/**
 * Batch items a second that the idle capacity could carry: what engines filled
 * to the limit would complete in the time that the same online load, put into
 * equally full engines, leaves. A sequence in a full engine costs, for each
 * token, its share of the step (base / limit + slope), and its uncached prompt
 * the prefill. No step is lost to waiting, yielding or an unfilled slot, and
 * batch prompts find their shared prefix cached: no policy can pass it.
 */
export function computeBatchBound(
  deployment: Deployment,
  online: PlayResult,
): number {
  const {engine, maxConcurrency, endpoints, durationMs, warmupMs} = online.play;
  const perTokenMs =
    engine.stepBaseMs / maxConcurrency + engine.stepPerSequenceMs;
  const onlineMs =
    online.engines.prefilledTokens * engine.prefillPerTokenMs +
    online.onlineTokens * perTokenMs;
  const idleMs = endpoints * (durationMs - warmupMs) - onlineMs;
  const {prompt, answer, shared} = deployment.sizes.batch;
  const cached = Math.floor(shared / engine.blockTokens) * engine.blockTokens;
  // Mean of a log-normal with the plays' default spread, from its median.
  const meanFactor = Math.exp(0.5 ** 2 / 2);
  const itemMs =
    (prompt * meanFactor - cached) * engine.prefillPerTokenMs +
    answer * meanFactor * perTokenMs;
  return (idleMs / itemMs) * (1000 / (durationMs - warmupMs));
}

function mergeHistograms(
  results: readonly PlayResult[],
  select: (result: PlayResult) => Histogram,
): Histogram {
  const [first, ...rest] = results.map(select);
  for (const histogram of rest) first.add(histogram as never);
  return first;
}

/** Mean of one measure over plays. */
function computeMeanOf(results: readonly PlayResult[], name: string): number {
  return computeMean(results.map(result => MEASURES[name](result)));
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
