/** Sizes and times of the load run: those of one deployment today. */

/** Entry instances, each a process. */
export const INSTANCES = 10;

/** Model engine stand-ins, each a process. */
export const ENDPOINTS = 12;

/** Failure domains to which instances and endpoints are assigned in turn. */
export const FAILURE_DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];

/** Timing of the engines, in ms and tokens. */
export const ENGINE = {
  tokens: 16,
  firstTokenMs: 50,
  betweenTokensMs: 20,
};

/** Requests that one endpoint runs concurrently. */
export const MAX_CONCURRENCY = 8;

/** Rate of each account in requests per second; a few accounts are large. */
export const ACCOUNT_RATES: Record<string, number> = {
  'gate-klang': 40,
  'gate-penang': 20,
  'dispatch-north': 10,
  'dispatch-south': 10,
  'yard-a': 5,
  'yard-b': 5,
  'yard-c': 5,
  planner: 5,
};

/** Share of its rate that each account uses. */
export const USED_SHARE = 0.8;

/** The account that sends several times its rate, and how many times. */
export const GREEDY_ACCOUNT = 'gate-penang';
export const GREEDY_FACTOR = 5;

/** The model of all requests. */
export const MODEL = 'drum-reader-7b';

export const START_TIMEOUT_MS = 20_000;
