/**
 * Routes by which a test or an operator controls the platform stand-in: its
 * faults, its instance list and its counts. No platform's protocol has them.
 */
import * as z from 'zod';
import {listedInstanceSchema} from '../../stores/instance_list.js';
import {
  buildJsonResponse,
  type PreparedResponse,
  type ReceivedRequest,
} from './http_messages.js';
import type {MemoryPlatform} from './memory_platform.js';
import {platformFaultsSchema} from './platform_faults.js';

/** Has no defaults, so that an absent fault stays unchanged. */
const changeSchema = z
  .strictObject(
    Object.fromEntries(
      Object.entries(platformFaultsSchema.shape).map(([name, schema]) => [
        name,
        schema.unwrap().nullable(),
      ]),
    ),
  )
  .partial();

const HEALTHY = platformFaultsSchema.parse({});

type Handler = (
  platform: MemoryPlatform,
  request: ReceivedRequest,
  name: string,
) => PreparedResponse;

/** Handlers by method and first path segment after `/control/`. */
const HANDLERS: Record<string, Handler> = {
  'GET counts': platform => buildJsonResponse(200, platform.counts),
  'GET faults': platform => buildJsonResponse(200, platform.faults),
  /** Changes the faults given as JSON; null resets a fault to healthy. */
  'POST faults'(platform, request) {
    const change = changeSchema.parse(readJson(request));
    for (const [name, value] of Object.entries(change)) {
      const healthy = HEALTHY[name as keyof typeof HEALTHY];
      Object.assign(platform.faults, {[name]: value ?? healthy});
    }
    return buildJsonResponse(200, platform.faults);
  },
  'GET instances': platform => buildJsonResponse(200, platform.getInstances()),
  /** Registers an instance or replaces the one with the same name. */
  'PUT instances'(platform, request, name) {
    const entry = listedInstanceSchema.parse(readJson(request));
    const others = platform.getInstances().filter(one => one.name !== name);
    platform.setInstances([...others, {...entry, name}]);
    return buildJsonResponse(200, entry);
  },
  'DELETE instances'(platform, _request, name) {
    const others = platform.getInstances().filter(one => one.name !== name);
    platform.setInstances(others);
    return buildJsonResponse(200, others);
  },
  /** Marks an instance as leaving. */
  'POST leaving'(platform, _request, name) {
    const updated = platform
      .getInstances()
      .map(one =>
        one.name === name ? {...one, state: 'leaving' as const} : one,
      );
    platform.setInstances(updated);
    return buildJsonResponse(200, updated);
  },
};

/** Handles a request under `/control/`. */
export function handleControl(
  platform: MemoryPlatform,
  request: ReceivedRequest,
): PreparedResponse {
  const [, , resource = '', name = ''] = request.url.pathname.split('/');
  const handler = HANDLERS[`${request.method} ${resource}`];
  const knownRoutes = Object.keys(HANDLERS).join(', ');
  if (!handler)
    return buildJsonResponse(404, {error: `there is ${knownRoutes}`});
  try {
    return handler(platform, request, decodeURIComponent(name));
  } catch (error) {
    return buildJsonResponse(400, {error: (error as Error).message});
  }
}

function readJson(request: ReceivedRequest): unknown {
  return JSON.parse(request.body.toString('utf8'));
}
