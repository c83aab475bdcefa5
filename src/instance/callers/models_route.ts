/** The models that a client account may use. */
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
  const wanted = decodeSegment(exchange.path.split('/')[3]);
  if (listModels(exchange, dependencies).includes(wanted)) {
    respondJson(exchange, 200, buildModel(wanted));
    return;
  }
  throw new RouterError('not_found', `no model '${wanted}' for this account`, {
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

/** A segment that is not well encoded stands for itself. */
function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}
