/** Builders of requests and endpoints for the scheduler's tests. */
import type {
  EndpointDescription,
  ScheduledRequest,
  SchedulerOutcome,
} from './scheduler_types.js';

/** Outcome of a request that was answered. */
export const ANSWERED: SchedulerOutcome = {
  kind: 'answered',
  firstByteMs: 40,
  totalMs: 200,
  tokens: 20,
};

let requestCount = 0;

/** Makes a short online request of account `gate`. */
export function makeRequest(
  overrides: Partial<ScheduledRequest> = {},
): ScheduledRequest {
  return {
    id: `request-${requestCount++}`,
    account: 'gate',
    weight: 1,
    workClass: 'online',
    deadline: 10_000,
    promptTokens: 400,
    answerTokens: 60,
    prefixHashes: [],
    avoid: [],
    ...overrides,
  };
}

/** Makes endpoints in four failure domains. */
export function makeEndpoints(count: number): EndpointDescription[] {
  return Array.from({length: count}, (_, index) => ({
    address: `10.0.0.${index + 1}:8000`,
    failureDomain: `domain-${index % 4}`,
  }));
}
