/** Lists the models that a client account may use. */
import {RouterError} from '../../common/errors.js';
import {authenticateCaller, listServicesOfAccount} from './admission.js';
import type {CallerDependencies} from './callers.js';
import {respondJson, type HttpExchange} from './http_exchange.js';

/** `GET /v1/models` */
export async function handleModels(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
): Promise<void> {
  const data = listModels(exchange, dependencies).map(buildModel);
  respondJson(exchange, 200, {object: 'list', data});
}

/** `GET /v1/models/{id}` */
export async function handleModel(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
): Promise<void> {
  const modelId = decodeSegment(exchange.path.split('/')[3]);
  if (listModels(exchange, dependencies).includes(modelId)) {
    respondJson(exchange, 200, buildModel(modelId));
    return;
  }
  throw new RouterError('not_found', `no model '${modelId}' for this account`, {
    verdict: 'not-run',
    field: 'model',
  });
}

function listModels(
  exchange: HttpExchange,
  {clock, configuration, keys}: CallerDependencies,
): string[] {
  const {account} = authenticateCaller(exchange.request, keys, clock.now());
  return listServicesOfAccount(configuration, account).flatMap(
    ({document}) => document.service.models,
  );
}

function buildModel(id: string): object {
  return {id, object: 'model', created: 0, owned_by: 'mulberryrouter'};
}

/**
 * Percent-decodes a path segment; one that is not well encoded is returned as
 * it is.
 */
function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}
