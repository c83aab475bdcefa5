/** Computes the users' four measures of one policy on one deployment, over several seeds. */
import type {Histogram} from 'hdr-histogram-js';
import {computeBatchRate, MEASURES} from '../../plays/measures.js';
import {
  readPercentile,
  type SimulationResult,
} from '../../plays/simulation_result.js';
import {runSimulation, type SimulationParts} from '../../plays/simulation.js';
import {
  buildScenario,
  type Deployment,
  type Situation,
  type Variation,
} from './deployments.js';

/** Figures of one policy. Times in ms. */
export interface FourMeasures {
  deployment: string;
  policy: string;
  /** Time to first token without batch work, and under full batch load. */
  onlineP50: number;
  onlineP99: number;
  underBatchP50: number;
  underBatchP95: number;
  underBatchP99: number;
  /** Ratios of the 50th, 95th and 99th percentile under batch load to those without. */
  harmP50: number;
  harmP95: number;
  harmP99: number;
  /** Items per second, their upper bound, and the ratio of the two. */
  batchRate: number;
  batchBound: number;
  batchShare: number;
  /** Number of times an item yielded its slot, for each completed item. */
  batchStopped: number;
  /** Ratio of the worst-served account to the median one while another exceeds its rate. */
  worstAnswered: number;
  worstPrompt: number;
  /** Share of the requests within the rate that were refused. */
  wrongful: number;
  wrongfulInLoss: number;
  /** Longest wait of a burst's requests caused by batch work, and the harm to the burst. */
  heldMax: number;
  burstHarmP99: number;
  /** Time to first token and share answered while one endpoint is slow and one silent. */
  faultsP99: number;
  faultsAnswered: number;
  /** Time to first token on engines with small memory. */
  smallMemoryP99: number;
  /** Responses per second under saturation, and the share of the account that sends least. */
  saturatedGoodput: number;
  saturatedLeast: number;
}

/** Simulates all situations with every seed and computes the measures. */
export function measurePolicy(
  deployment: Deployment,
  policy: string,
  parts: Partial<SimulationParts>,
  seeds: readonly number[],
  variation: Variation = {},
): FourMeasures {
  const simulate = (situation: Situation) =>
    seeds.map(seed =>
      runSimulation(
        buildScenario(deployment, situation, seed, variation),
        parts,
      ),
    );
  const online = simulate('online');
  const batch = simulate('batch');
  const burst = simulate('burst');
  const burstOnline = simulate('burst-online');
  const overRate = simulate('over-rate');
  const loss = simulate('instance-lost');
  const faults = simulate('endpoint-faults');
  const memory = simulate('small-memory');
  const saturation = simulate('saturation');

  const withoutBatch = mergeHistograms(online, result => result.firstToken);
  const withBatch = mergeHistograms(batch, result => result.firstToken);
  const harm = (percentile: number) =>
    readPercentile(withBatch, percentile) /
    readPercentile(withoutBatch, percentile);
  const burstWithBatch = mergeHistograms(burst, each => each.firstTokenOfBurst);
  const burstWithoutBatch = mergeHistograms(
    burstOnline,
    each => each.firstTokenOfBurst,
  );
  const held = mergeHistograms(burst, each => each.batchDelayOfBurst);
  const batchRate = computeMean(batch.map(computeBatchRate));
  const batchBound = computeMean(
    online.map(result => computeBatchBound(deployment, result)),
  );
  return {
    deployment: deployment.name,
    policy,
    onlineP50: readPercentile(withoutBatch, 50),
    onlineP99: readPercentile(withoutBatch, 99),
    underBatchP50: readPercentile(withBatch, 50),
    underBatchP95: readPercentile(withBatch, 95),
    underBatchP99: readPercentile(withBatch, 99),
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
      readPercentile(burstWithBatch, 99) /
      readPercentile(burstWithoutBatch, 99),
    faultsP99: computeMeanOf(faults, 'first-token-p99'),
    faultsAnswered: computeMeanOf(faults, 'answered-share'),
    smallMemoryP99: computeMeanOf(memory, 'first-token-p99'),
    saturatedGoodput: computeMeanOf(saturation, 'goodput'),
    saturatedLeast: computeMeanOf(saturation, 'least-sender'),
  };
}

/**
 * Computes the batch items per second that the idle capacity could carry, an upper bound
 * for any policy. It assumes engines filled to the limit and counts the time that the
 * same online load, run on equally full engines, leaves. In a full engine a sequence
 * costs its share of the step for each token (base / limit + slope), and the prefill of
 * its uncached prompt. No step is lost to waiting, yielding or an unfilled slot, and the
 * shared prefix of batch prompts is always cached.
 */
export function computeBatchBound(
  deployment: Deployment,
  online: SimulationResult,
): number {
  const {engine, maxConcurrency, endpoints, durationMs, warmupMs} =
    online.scenario;
  const perTokenMs =
    engine.stepBaseMs / maxConcurrency + engine.stepPerSequenceMs;
  const onlineMs =
    online.engines.prefilledTokens * engine.prefillPerTokenMs +
    online.onlineTokens * perTokenMs;
  const idleMs = endpoints * (durationMs - warmupMs) - onlineMs;
  const {prompt, answer, shared} = deployment.sizes.batch;
  const cached = Math.floor(shared / engine.blockTokens) * engine.blockTokens;
  // Mean over median of a log-normal with the scenarios' default sigma of 0.5.
  const meanFactor = Math.exp(0.5 ** 2 / 2);
  const itemMs =
    (prompt * meanFactor - cached) * engine.prefillPerTokenMs +
    answer * meanFactor * perTokenMs;
  return (idleMs / itemMs) * (1000 / (durationMs - warmupMs));
}

function mergeHistograms(
  results: readonly SimulationResult[],
  select: (result: SimulationResult) => Histogram,
): Histogram {
  const [first, ...rest] = results.map(select);
  for (const histogram of rest) first.add(histogram as never);
  return first;
}

/** Computes the mean of one measure over several simulations. */
function computeMeanOf(
  results: readonly SimulationResult[],
  name: string,
): number {
  return computeMean(results.map(result => MEASURES[name](result)));
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
