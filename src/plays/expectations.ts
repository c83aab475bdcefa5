/** Compares what callers got in a play with what the play expects. */
import {MEASURES} from './play_measures.js';
import {runPlay, type PlayParts} from './play_runner.js';
import type {PlayResult} from './play_result.js';
import type {Expectation, Play} from './play_schema.js';

/** An expectation with the figure that was seen. */
export interface CheckedExpectation {
  text: string;
  actual: number;
  holds: boolean;
}

const COMPARISONS: Record<
  Expectation['comparison'],
  (actual: number, value: number) => boolean
> = {
  '<=': (actual, value) => actual <= value,
  '>=': (actual, value) => actual >= value,
};

/** The same play with something left out, to compare with. */
const REDUCTIONS: Record<
  NonNullable<Expectation['without']>,
  (play: Play) => Play
> = {
  batch: play => ({...play, batch: []}),
  events: play => ({...play, events: []}),
};

/** Runs `play`, and its reduced forms where it is compared with them. */
export function checkPlay(
  play: Play,
  parts: Partial<PlayParts> = {},
): {result: PlayResult; expectations: CheckedExpectation[]} {
  const result = runPlay(play, parts);
  const reduced = new Map<string, PlayResult>();

  function getReduced(without: NonNullable<Expectation['without']>) {
    const held = reduced.get(without);
    const made = held ?? runPlay(REDUCTIONS[without](play), parts);
    reduced.set(without, made);
    return made;
  }

  const expectations = play.expectations.map(expectation => {
    const {measure, account, comparison, value, without} = expectation;
    const own = MEASURES[measure](result, account);
    const actual = without
      ? own / MEASURES[measure](getReduced(without), account)
      : own;
    const suffix = without ? ` without ${without}` : '';
    return {
      text: `${measure}${account ? ` of ${account}` : ''} ${comparison} ${value}${suffix}`,
      actual,
      holds: COMPARISONS[comparison](actual, value),
    };
  });
  return {result, expectations};
}
