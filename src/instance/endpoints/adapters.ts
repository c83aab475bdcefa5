/** The table of endpoint adapters, by kind of service. */
import type {AdapterTable} from './endpoint_adapter.js';
import type {EndpointClient} from './http_call.js';
import {createModelEngineAdapter} from './model_engine.js';
import {createPlainServiceAdapter} from './plain_service.js';

/** Creates all adapters, which share the connections of one client. */
export function createAdapters(client: EndpointClient): AdapterTable {
  return {
    'model-engine': createModelEngineAdapter(client),
    plain: createPlainServiceAdapter(client),
  };
}
