/** Seeded random numbers: the same seed gives the same simulation. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded stream of random numbers. */
export interface Random {
  /** Draws a number that is uniform in [0, 1). */
  draw(): number;
  /** Draws from an exponential distribution with the given mean. */
  drawExponential(mean: number): number;
  /** Draws from a log-normal distribution; `spread` is the sigma of its log. */
  drawLogNormal(median: number, spread: number): number;
  /** Picks an index of `weights` with a probability in proportion to its weight. */
  pickWeighted(weights: readonly number[]): number;
}

/** Creates a stream; streams with different seeds are independent. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);

  /** Draws a standard normal by Box-Muller, using one number of the pair. */
  function drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - draw()));
    return radius * Math.cos(2 * Math.PI * draw());
  }

  return {
    draw,
    drawExponential: mean => -mean * Math.log(1 - draw()),
    drawLogNormal: (median, spread) => median * Math.exp(spread * drawNormal()),
    pickWeighted(weights) {
      let rest = draw() * weights.reduce((sum, weight) => sum + weight, 0);
      for (const [index, weight] of weights.entries()) {
        rest -= weight;
        if (rest < 0) return index;
      }
      return weights.length - 1;
    },
  };
}
