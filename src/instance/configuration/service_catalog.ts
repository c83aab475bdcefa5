/** Provides the dispatcher with the services of the active documents. */
import type {ServiceCatalog} from '../dispatch/dispatch.js';
import type {Configuration} from './configuration.js';

/** Creates a catalog that reads the current configuration. */
export function createServiceCatalog(
  configuration: Pick<Configuration, 'find' | 'list'>,
): ServiceCatalog {
  return {
    findConcurrency: service =>
      configuration.find(service)?.document.endpoint.max_concurrency,
    findWarmUp: () => undefined,
    findMemoryTokens: () => undefined,
    listServices: () =>
      configuration.list().map(({document}) => document.service.name),
  };
}
