/**
 * Parses the scenario language: one statement per line; `#` starts a comment.
 * docs/design/dispatch.md lists the statements.
 *
 *     play a burst over batch work
 *     account gate rate 60/s burst 80 load 20/s
 *     batch planner
 *     at 10s burst gate 60 within 200ms
 *     expect burst-held-max <= 100
 *     expect first-token-p99 <= 1.10 without batch
 */
import {durationSchema, rateSchema} from '../common/units.js';
import {MEASURES} from './measures.js';
import {scenarioSchema, type Scenario} from './scenario_schema.js';

/** A line of a scenario that cannot be parsed. */
export class PlaySyntaxError extends Error {
  constructor(line: number, message: string) {
    super(`line ${line}: ${message}`);
    this.name = 'PlaySyntaxError';
  }
}

/** The scenario parsed so far; the schema validates it when it is complete. */
type Draft = Record<string, unknown> & {
  accounts: object[];
  batch: object[];
  events: object[];
  expectations: object[];
};

type Statement = (draft: Draft, words: string[]) => void;

/** Parsers of the word after a key; other keys take a number. */
const VALUE_PARSERS: Record<string, (word: string) => unknown> = {
  rate: word => rateSchema.parse(word),
  load: word => rateSchema.parse(word === '0/s' ? '0.0001/s' : word),
  deadline: word => durationSchema.parse(word),
  from: word => durationSchema.parse(word),
  due: word => durationSchema.parse(word),
};

/** Schema fields of the keys whose field has another name. */
const FIELD_NAMES: Record<string, string> = {
  deadline: 'deadlineMs',
  from: 'startMs',
  due: 'dueMs',
};

const SIZE_KEYS = new Set([
  'prompt',
  'answer',
  'spread',
  'shared',
  'templates',
  'hot',
]);

/** Parses `key value key value ...`; sizes go into a nested field `sizes`. */
function parsePairs(words: readonly string[]): Record<string, unknown> {
  const fields: Record<string, unknown> = {};
  const sizes: Record<string, number> = {};
  for (let index = 0; index + 1 < words.length; index += 2) {
    const [key, word] = words.slice(index, index + 2);
    const value = VALUE_PARSERS[key]?.(word) ?? parseNumber(word);
    if (SIZE_KEYS.has(key)) sizes[key] = value as number;
    else fields[FIELD_NAMES[key] ?? key] = value;
  }
  if (words.length % 2 > 0) throw new Error(`'${words.at(-1)}' has no value`);
  return Object.keys(sizes).length > 0 ? {...fields, sizes} : fields;
}

function parseNumber(word: string): number {
  const value = Number(word);
  if (Number.isFinite(value)) return value;
  throw new Error(`'${word}' is not a number`);
}

const EVENTS: Record<string, (words: string[]) => object> = {
  burst: ([account, requests, , within]) => ({
    kind: 'burst',
    account,
    requests: parseNumber(requests),
    withinMs: durationSchema.parse(within),
  }),
  load: ([account, load]) => ({
    kind: 'load',
    account,
    load: rateSchema.parse(load),
  }),
  slow: ([endpoint, factor]) => ({
    kind: 'slow',
    endpoint: parseNumber(endpoint),
    factor: parseNumber(factor),
  }),
  silent: ([endpoint, , until]) => ({
    kind: 'silent',
    endpoint: parseNumber(endpoint),
    untilMs: until && durationSchema.parse(until),
  }),
  'dispatcher-lost': () => ({kind: 'dispatcher-lost'}),
  'store-down': ([, until]) => ({
    kind: 'store-down',
    untilMs: durationSchema.parse(until),
  }),
};

const STATEMENTS: Record<string, Statement> = {
  play(draft, words) {
    draft.name = words.join(' ');
  },
  seed(draft, [seed]) {
    draft.seed = parseNumber(seed);
  },
  seeds(draft, [count]) {
    draft.seeds = parseNumber(count);
  },
  lasts(draft, [duration]) {
    draft.durationMs = durationSchema.parse(duration);
  },
  endpoints(draft, [count, ...rest]) {
    const {limit} = parsePairs(rest);
    draft.endpoints = parseNumber(count);
    if (limit !== undefined) draft.maxConcurrency = limit;
  },
  engine(draft, words) {
    draft.engine = parsePairs(words);
  },
  account(draft, [name, ...rest]) {
    draft.accounts.push({name, ...parsePairs(rest)});
  },
  batch(draft, [account, ...rest]) {
    draft.batch.push({account, ...parsePairs(rest)});
  },
  at(draft, [time, kind, ...rest]) {
    const parseEvent = EVENTS[kind];
    if (!parseEvent) throw new Error(`no event '${kind}'`);
    draft.events.push({atMs: durationSchema.parse(time), ...parseEvent(rest)});
  },
  expect(draft, [measure, ...rest]) {
    if (!(measure in MEASURES)) throw new Error(`no measure '${measure}'`);
    const account = rest[0] === 'of' ? rest.splice(0, 2)[1] : undefined;
    const [comparison, value, , without] = rest;
    draft.expectations.push({
      account,
      measure,
      comparison,
      value: parseNumber(value),
      without,
    });
  },
};

/**
 * Parses a scenario. Throws PlaySyntaxError with the line number, or the
 * validation error of the schema.
 */
export function parseScenario(text: string): Scenario {
  const draft: Draft = {accounts: [], batch: [], events: [], expectations: []};
  text.split('\n').forEach((line, index) => {
    const words = line.replace(/#.*/, '').trim().split(/\s+/);
    if (words[0] === '') return;
    applyStatement(draft, words, index + 1);
  });
  return scenarioSchema.parse(draft);
}

function applyStatement(draft: Draft, words: string[], line: number) {
  const [keyword, ...rest] = words;
  const statement = STATEMENTS[keyword];
  if (!statement) throw new PlaySyntaxError(line, `no statement '${keyword}'`);
  try {
    statement(draft, rest);
  } catch (error) {
    throw new PlaySyntaxError(line, (error as Error).message);
  }
}
