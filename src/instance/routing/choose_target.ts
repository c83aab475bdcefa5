/** Selects which of a route's services a request goes to. */
import murmurhash from 'murmurhash';
import type {Route} from './routing_document.js';

const HASH_RANGE = 2 ** 32;

/**
 * Selects a service by weight. The same request ID always selects the same
 * service.
 */
export function chooseTarget(route: Route, requestId: string): string {
  const {targets} = route;
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = (murmurhash.v3(requestId) / HASH_RANGE) * total;
  for (const {service, weight} of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets[targets.length - 1].service;
}
