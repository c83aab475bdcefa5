/**
 * The verdict on a request without a response: whether it may have run. Callers
 * decide by it whether to resend, so `not-run` requires proof.
 */
import * as z from 'zod';

/** All verdicts, as they appear in response bodies and headers. */
export const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran']);

/**
 * - `not-run`: it is proved that no endpoint admitted the request.
 * - `may-have-run`: the request was sent and its outcome is unknown.
 * - `ran`: an endpoint responded to the request.
 */
export type Verdict = z.infer<typeof verdictSchema>;

const SEVERITY: Record<Verdict, number> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2,
};

/** Merges the verdicts on two attempts into that on their request. */
export function mergeVerdicts(a: Verdict, b: Verdict): Verdict {
  return SEVERITY[a] >= SEVERITY[b] ? a : b;
}
