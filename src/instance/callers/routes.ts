/** The routes of the callers' interface, in one table. */
import {BATCH_ROUTES} from '../batch/routes.js';
import {authenticateCaller, listServicesOfAccount} from './admission.js';
import type {CallerDependencies} from './callers.js';
import {handleCompletion} from './completions_route.js';
import {respondJson, type HttpExchange} from './http_exchange.js';

/** One route. */
export interface Route {
  method: 'GET' | 'POST' | 'DELETE';
  pattern: RegExp;
  handle(
    exchange: HttpExchange,
    dependencies: CallerDependencies,
  ): Promise<void>;
}

async function handleModels(
  exchange: HttpExchange,
  {clock, configuration, keys}: CallerDependencies,
) {
  const {account} = authenticateCaller(exchange.request, keys, clock.now());
  const models = listServicesOfAccount(configuration, account).flatMap(
    ({document}) => document.service.models,
  );
  respondJson(exchange, 200, {
    object: 'list',
    data: models.map(id => ({id, object: 'model', owned_by: 'mulberryrouter'})),
  });
}

/** Every route; the first that matches is taken. */
export const ROUTES: readonly Route[] = [
  {
    method: 'POST',
    pattern: /^\/v1\/(chat\/)?completions$/,
    handle: handleCompletion,
  },
  {method: 'GET', pattern: /^\/v1\/models$/, handle: handleModels},
  ...BATCH_ROUTES,
];
