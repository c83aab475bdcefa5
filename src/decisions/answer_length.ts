/**
 * Estimates how many tokens an answer will have.
 *
 * Pattern of load: callers that name no `max_tokens`, or a generous one such as
 * 4096 for answers of a hundred tokens. Admission and endpoint choice work with
 * an answer's length. Taken at its word, such a limit makes the answer look
 * hopeless against a deadline of ten seconds as soon as anything waits (4096
 * tokens at 64 ms are 262 s), and the request is refused although it would have
 * been in time.
 *
 * The estimate is the running mean of the model's answers here, at most what
 * the request allows. Each answer moves it by a fiftieth: an instance sees a few
 * requests a second, so it follows a change of use within half a minute, and
 * one answer of 4096 tokens moves a mean of 100 to 180 and no further. Before
 * the first answer it is low: too low an estimate lets a request wait that may
 * be late, too high a one refuses it for certain.
 */

/** Tokens of an answer of which nothing is known. */
export const UNKNOWN_ANSWER_TOKENS = 64;

/** How far one answer moves the mean. */
export const ANSWER_GAIN = 0.02;

/** The first answers move it further: the n-th by 1/n, down to the gain. */
interface AnswerMean {
  readonly tokens: number;
  readonly answers: number;
}

/** The lengths of each model's answers. */
export interface AnswerLengths {
  /** `limit` is what the request allows, if it does. */
  estimate(model: string, limit: number | undefined): number;
  /** A whole answer had so many tokens. */
  note(model: string, tokens: number): void;
}

/** Starts without answers. */
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
