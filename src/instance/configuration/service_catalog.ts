/** The services of the documents in force, as dispatch sees them. */
import type {ServiceCatalog} from '../dispatch/dispatch.js';
import type {Configuration} from './configuration.js';

/** Follows the configuration. */
export function createServiceCatalog(
  configuration: Pick<Configuration, 'find' | 'list'>,
): ServiceCatalog {
  return {
    findConcurrency: service =>
      configuration.find(service)?.document.endpoint.max_concurrency,
    listServices: () =>
      configuration.list().map(({document}) => document.service.name),
  };
}
