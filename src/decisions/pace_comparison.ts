/**
 * Compares how well reported paces predict times to first byte with how well no
 * pace would, for each endpoint and for its pool.
 *
 * Load pattern: an endpoint whose reports are unrelated to its pace, or opposite
 * to it. Its learned speed absorbs a part of the error, so that few single times
 * are wrong by a large factor, while each choice by its pace is a bad one.
 *
 * Errors are logarithms of actual to predicted time, less their mean, so that a
 * constant factor counts for neither side. Where all endpoints report wrongly,
 * the pool knows long before any of them has enough first bytes of its own.
 */
import {
  COMPARISON_GAIN,
  ERROR_SLACK,
  MAX_ERROR_RATIO,
  MIN_COMPARED_FIRST_BYTES,
} from './scheduler_constants.js';

/** Squared errors with and without the paces, as moving averages. */
export interface PaceErrors {
  note(withPace: number, withoutPace: number): void;
  /** Whether the paces predict clearly worse than no pace. */
  areWorse(): boolean;
}

/** Creates the errors of one endpoint, or of all endpoints of a pool. */
export function createPaceErrors(gain: number): PaceErrors {
  let compared = 0;
  let errorWith = 0;
  let errorWithout = 0;

  return {
    note(withPace, withoutPace) {
      compared++;
      errorWith += gain * (withPace - errorWith);
      errorWithout += gain * (withoutPace - errorWithout);
    },
    areWorse: () =>
      compared >= MIN_COMPARED_FIRST_BYTES &&
      errorWith > MAX_ERROR_RATIO * errorWithout + ERROR_SLACK,
  };
}

/** The comparison for one endpoint. */
export interface PaceComparison {
  /** Records a time to first byte relative to the pool's prediction. */
  note(ratio: number, pace: number): void;
  /** Whether the paces of the endpoint or of the pool predict worse than none. */
  isWorse(): boolean;
}

/** Creates a comparison without first bytes. */
export function createPaceComparison(pool: PaceErrors): PaceComparison {
  const own = createPaceErrors(COMPARISON_GAIN);
  const measureWith = createDeviation();
  const measureWithout = createDeviation();

  return {
    note(ratio, pace) {
      const withPace = measureWith(Math.log(ratio / pace));
      const withoutPace = measureWithout(Math.log(ratio));
      own.note(withPace, withoutPace);
      pool.note(withPace, withoutPace);
    },
    isWorse: () => own.areWorse() || pool.areWorse(),
  };
}

/** Creates a function that returns squared deviations from the moving mean. */
function createDeviation() {
  let mean: number | undefined;
  return (value: number) => {
    const deviation = value - (mean ?? value);
    mean = (mean ?? value) + COMPARISON_GAIN * deviation;
    return deviation * deviation;
  };
}
