/** Seeded random numbers for plays: the same seed gives the same play. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws from one seeded stream. */
export interface Random {
  /** Uniform in [0, 1). */
  draw(): number;
  /** Exponential with the given mean. */
  drawExponential(mean: number): number;
  /** Log-normal with the given median; `spread` is sigma of its logarithm. */
  drawLogNormal(median: number, spread: number): number;
  /** Index of one of `weights`, in proportion to them. */
  pickWeighted(weights: readonly number[]): number;
}

/** Streams of different `seed` are independent. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);

  /** Box-Muller, one of the pair. */
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
