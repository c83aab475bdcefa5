/**
 * Estimates how many tokens an answer will have.
 *
 * Load pattern: callers that set no `max_tokens`, or a generous one such as
 * 4096 for answers of 100 tokens. Admission and endpoint choice depend on the
 * length of the answer. If such a limit is taken as the length, the answer
 * seems unable to meet a deadline of 10 s as soon as anything waits (4096
 * tokens at 64 ms take 262 s), and a request that would have been in time is
 * refused.
 *
 * The estimate is the running mean of the model's answers on this instance, at
 * most the limit of the request. Each answer moves the mean by 1/50 of its
 * deviation. An instance receives a few requests per second, so the mean
 * follows a change of use within half a minute, while one answer of 4096 tokens
 * moves a mean of 100 only to 180. Before the first answer the estimate is low:
 * if it is too low, a request that may be late is queued; if it is too high,
 * the request is certainly refused.
 */

/** Estimate before the first answer of a model, in tokens. */
export const UNKNOWN_ANSWER_TOKENS = 64;

/** Weight of one answer in the mean. */
export const ANSWER_GAIN = 0.02;

/** The n-th answer has a weight of 1/n, but at least ANSWER_GAIN. */
interface AnswerMean {
  readonly tokens: number;
  readonly answers: number;
}

/** Mean answer lengths by model. */
export interface AnswerLengths {
  /**
   * Estimates the tokens of an answer; `limit` is the request's own, if any.
   */
  estimate(model: string, limit: number | undefined): number;
  /** Records the number of tokens of a complete answer. */
  note(model: string, tokens: number): void;
}

/** Creates an estimator without answers. */
export function createAnswerLengths(): AnswerLengths {
  const means = new Map<string, AnswerMean>();

  return {
    estimate(model, limit = Infinity) {
      const expected = means.get(model)?.tokens ?? UNKNOWN_ANSWER_TOKENS;
      return Math.max(1, Math.min(limit, Math.round(expected)));
    },
    note(model, tokens) {
      const mean = means.get(model) ?? {tokens: 0, answers: 0};
      const answers = mean.answers + 1;
      const gain = Math.max(ANSWER_GAIN, 1 / answers);
      const moved = mean.tokens + gain * (tokens - mean.tokens);
      means.set(model, {tokens: moved, answers});
    },
  };
}
