/** Parses calls to plain services and decides whether they may be repeated. */
import {RouterError} from '../../common/errors.js';
import type {
  Configuration,
  VersionedDocument,
} from '../configuration/configuration.js';
import type {HttpExchange} from './http_exchange.js';

const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']);

/** A call to a plain service. */
export interface ServiceCall {
  service: VersionedDocument;
  method: string;
  /** Path at the service, without the query. */
  path: string;
  /** Path and query, as sent to the endpoint. */
  target: string;
  /** Whether the service document lists the call as idempotent. */
  idempotent: boolean;
}

/** Parses a call; throws RouterError if the account has no such service. */
export function parseServiceCall(
  {request, path, search}: HttpExchange,
  configuration: Configuration,
  account: string,
): ServiceCall {
  const method = request.method ?? '';
  if (!METHODS.has(method)) {
    throw new RouterError(
      'method_not_allowed',
      `use ${[...METHODS].join(', ')}`,
      {verdict: 'not-run'},
    );
  }
  const [, , name, ...rest] = path.split('/');
  const service = findPlainService(configuration, account, name);
  const servicePath = `/${rest.join('/')}`;
  return {
    service,
    method,
    path: servicePath,
    target: servicePath + search,
    idempotent: isRepeatable(service, method, servicePath),
  };
}

function findPlainService(
  configuration: Configuration,
  account: string,
  name: string,
): VersionedDocument {
  const found = configuration.find(name);
  const isPlain = found?.document.service.kind === 'plain';
  if (found && isPlain && account in found.document.account) return found;
  throw new RouterError('not_found', `no service '${name}' for this account`, {
    verdict: 'not-run',
    field: 'service',
  });
}

/** Matches entries such as `GET /status`; a trailing `*` matches any suffix. */
function isRepeatable(
  {document}: VersionedDocument,
  method: string,
  path: string,
): boolean {
  const call = `${method} ${path}`;
  return document.endpoint.idempotent_calls.some(entry =>
    entry.endsWith('*') ? call.startsWith(entry.slice(0, -1)) : call === entry,
  );
}
