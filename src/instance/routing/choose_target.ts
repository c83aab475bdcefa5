/** Which of a route's services a request goes to. */
import murmurhash from 'murmurhash';
import type {Route} from './routing_document.js';

const HASH_RANGE = 2 ** 32;

/** By weight; the same request always goes to the same service. */
export function chooseTarget(route: Route, requestId: string): string {
  const {targets} = route;
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = (murmurhash.v3(requestId) / HASH_RANGE) * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets[targets.length - 1].service;
}
