/** The routes of the callers' interface. */
import {BATCH_ROUTES} from '../batch/routes.js';
import type {CallerDependencies} from './callers.js';
import {handleCompletion} from './completions_route.js';
import type {HttpExchange} from './http_exchange.js';
import {handleModel, handleModels} from './models_route.js';
import {handleServiceCall} from './services_route.js';

/** One route. */
export interface Route {
  method: 'GET' | 'POST' | 'DELETE' | 'ANY';
  pattern: RegExp;
  handle(
    exchange: HttpExchange,
    dependencies: CallerDependencies,
  ): Promise<void>;
}

/** All routes; the first match is used. */
export const ROUTES: readonly Route[] = [
  {
    method: 'POST',
    pattern: /^\/v1\/(chat\/)?completions$/,
    handle: handleCompletion,
  },
  {method: 'GET', pattern: /^\/v1\/models$/, handle: handleModels},
  {method: 'GET', pattern: /^\/v1\/models\/[^/]+$/, handle: handleModel},
  {
    method: 'ANY',
    pattern: /^\/services\/[^/]+(\/.*)?$/,
    handle: handleServiceCall,
  },
  ...BATCH_ROUTES,
];
