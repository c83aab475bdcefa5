/** Checks of a caller's request: key, service, deadline, rate and body size. */
import type {IncomingMessage} from 'node:http';
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {durationSchema} from '../../common/units.js';
import type {
  Configuration,
  VersionedDocument,
} from '../configuration/configuration.js';
import type {
  KeyDirectory,
  KeyOwner,
  KeyVerdict,
} from '../keys/key_directory.js';
import {drawToken} from '../limits/draw_token.js';
import type {Limits} from '../limits/limits.js';
import {DEADLINE_HEADER, FORWARDED_HEADERS} from './constants.js';

/**
 * Returns the owner of the request's key; throws RouterError if it is not
 * valid.
 */
export function authenticateCaller(
  request: IncomingMessage,
  keys: KeyDirectory,
  now: number,
): KeyOwner {
  const match = /^Bearer\s+(\S+)$/i.exec(request.headers.authorization ?? '');
  if (!match) {
    throw new RouterError(
      'invalid_key',
      'send your key as Authorization: Bearer KEY',
      {verdict: 'not-run', field: 'authorization'},
    );
  }
  return checkKeyVerdict(keys.authenticate(match[1], now), 'invalid_key');
}

const KEY_REFUSALS = {
  invalid_key: 'the key is not valid',
  key_withdrawn: 'the key was withdrawn',
} as const;

/**
 * Returns the owner of a valid key; throws RouterError with `code` for others.
 */
export function checkKeyVerdict(
  verdict: KeyVerdict,
  code: 'invalid_key' | 'key_withdrawn',
): KeyOwner {
  if (verdict.kind === 'valid') return verdict.owner;
  if (verdict.kind === 'isolated') {
    throw new RouterError(
      'isolated',
      'this instance cannot confirm keys now; ask again, another will answer',
      {verdict: 'not-run', retryAfterMs: 1000},
    );
  }
  throw new RouterError(code, KEY_REFUSALS[code], {
    verdict: 'not-run',
    field: 'authorization',
  });
}

/**
 * Finds the service of a model; throws RouterError that lists the available
 * models.
 */
export function findServiceOfModel(
  configuration: Configuration,
  account: string,
  model: string,
): VersionedDocument {
  const services = listServicesOfAccount(configuration, account);
  const found = services.find(({document}) =>
    document.service.models.includes(model),
  );
  if (found) return found;
  const models = services.flatMap(({document}) => document.service.models);
  throw new RouterError(
    'not_found',
    `no model '${model}' for this account; there are: ${models.join(', ')}`,
    {verdict: 'not-run', field: 'model'},
  );
}

/** Lists the services whose document names the account. */
export function listServicesOfAccount(
  configuration: Configuration,
  account: string,
): VersionedDocument[] {
  return configuration
    .list()
    .filter(({document}) => account in document.account);
}

/** Returns the monotonic time of the request's deadline; throws RouterError. */
export function parseDeadline(
  request: IncomingMessage,
  service: VersionedDocument,
  now: number,
): number {
  const {default_deadline, max_deadline} = service.document.service;
  const header = request.headers[DEADLINE_HEADER];
  if (header === undefined) return now + default_deadline;
  const parsed = durationSchema.safeParse(header);
  if (parsed.success) return now + Math.min(parsed.data, max_deadline);
  throw new RouterError('invalid_request', parsed.error.issues[0].message, {
    verdict: 'not-run',
    field: DEADLINE_HEADER,
  });
}

/**
 * Draws one token from the account's rate limit; throws RouterError if there is
 * none.
 */
export async function acquireToken(
  limits: Limits,
  {document}: VersionedDocument,
  {account}: KeyOwner,
): Promise<void> {
  await drawToken(
    limits,
    {service: document.service.name, account},
    document.account[account],
  );
}

/**
 * Builds a function that checks the key again, before a queued request runs and
 * while its response streams; it throws RouterError once the key is withdrawn.
 */
export function buildKeyCheck(
  {keys, clock}: {keys: KeyDirectory; clock: Clock},
  {keyHash}: KeyOwner,
  {document}: VersionedDocument,
): () => void {
  const service = document.service.name;
  return () => {
    checkKeyVerdict(keys.check(keyHash, clock.now(), service), 'key_withdrawn');
  };
}

/** Throws RouterError if a body is larger than its service allows. */
export function checkBodySize(
  body: Buffer,
  {document}: VersionedDocument,
): void {
  const limit = document.service.max_body;
  if (body.length <= limit) return;
  throw new RouterError(
    'body_too_large',
    `the body is larger than ${limit} bytes`,
    {verdict: 'not-run'},
  );
}

/**
 * Selects the headers that endpoints may see; the caller's key is not among
 * them.
 */
export function selectForwardedHeaders(
  request: IncomingMessage,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = request.headers[name];
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}
