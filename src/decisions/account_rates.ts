/** The rates of accounts and the load wave, for the tests of shares. */

const WAVE = {periodMs: 5800, peakMs: 2400, low: 0.38, high: 1.87};

/** Factor of the load wave at a time. */
export function computeWave(now: number): number {
  const isPeak = now % WAVE.periodMs >= WAVE.periodMs - WAVE.peakMs;
  return isPeak ? WAVE.high : WAVE.low;
}

/** Skewed rates of the accounts per second; they sum up to `total`. */
export function computeRates(accounts: number, total: number): number[] {
  const weights = Array.from({length: accounts}, (_, index) =>
    Math.pow(index + 1, -0.9),
  );
  const sum = weights.reduce((held, weight) => held + weight, 0);
  return weights.map(weight => (total * weight) / sum);
}
