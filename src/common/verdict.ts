/**
 * The verdict on a request that gave no answer: whether it may have run.
 * Callers act on it (resend or not), so `not-run` needs a proof.
 */
import * as z from 'zod';

/** Every verdict, as it appears in answers and headers. */
export const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran']);

/**
 * - `not-run`: proved never to have reached an endpoint's admission.
 * - `may-have-run`: it was sent and its outcome is unknown.
 * - `ran`: an endpoint answered it.
 */
export type Verdict = z.infer<typeof verdictSchema>;

const SEVERITY: Record<Verdict, number> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2,
};

/** The verdict on a request given those of its attempts. */
export function mergeVerdicts(a: Verdict, b: Verdict): Verdict {
  return SEVERITY[a] >= SEVERITY[b] ? a : b;
}
