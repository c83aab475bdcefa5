/**
 * How a test or an operator drives the platform stand-in: its faults, its
 * instance list, its counts. Not part of any platform's protocol.
 */
import * as z from 'zod';
import {listedInstanceSchema} from '../../stores/instance_list.js';
import {
  buildJsonAnswer,
  type PreparedAnswer,
  type ReceivedRequest,
} from './http_answers.js';
import type {MemoryPlatform} from './memory_platform.js';
import {platformFaultsSchema} from './platform_faults.js';

/** Without defaults: what is left out stays as it is. */
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
) => PreparedAnswer;

/** Method and first word of the path after /control/. */
const HANDLERS: Record<string, Handler> = {
  'GET counts': platform => buildJsonAnswer(200, platform.counts),
  'GET faults': platform => buildJsonAnswer(200, platform.faults),
  /** JSON of the faults to change; null brings one back to healthy. */
  'POST faults'(platform, request) {
    const change = changeSchema.parse(readJson(request));
    for (const [name, value] of Object.entries(change)) {
      const healthy = HEALTHY[name as keyof typeof HEALTHY];
      Object.assign(platform.faults, {[name]: value ?? healthy});
    }
    return buildJsonAnswer(200, platform.faults);
  },
  'GET instances': platform => buildJsonAnswer(200, platform.getInstances()),
  /** Registers an instance, or replaces the one of that name. */
  'PUT instances'(platform, request, name) {
    const entry = listedInstanceSchema.parse(readJson(request));
    const others = platform.getInstances().filter(one => one.name !== name);
    platform.setInstances([...others, {...entry, name}]);
    return buildJsonAnswer(200, entry);
  },
  'DELETE instances'(platform, _request, name) {
    const others = platform.getInstances().filter(one => one.name !== name);
    platform.setInstances(others);
    return buildJsonAnswer(200, others);
  },
  /** Marks an instance as leaving. */
  'POST leaving'(platform, _request, name) {
    const marked = platform
      .getInstances()
      .map(one =>
        one.name === name ? {...one, state: 'leaving' as const} : one,
      );
    platform.setInstances(marked);
    return buildJsonAnswer(200, marked);
  },
};

/** Answers a request under /control/. */
export function handleControl(
  platform: MemoryPlatform,
  request: ReceivedRequest,
): PreparedAnswer {
  const [, , what = '', name = ''] = request.url.pathname.split('/');
  const handler = HANDLERS[`${request.method} ${what}`];
  const known = Object.keys(HANDLERS).join(', ');
  if (!handler) return buildJsonAnswer(404, {error: `there is ${known}`});
  try {
    return handler(platform, request, decodeURIComponent(name));
  } catch (error) {
    return buildJsonAnswer(400, {error: (error as Error).message});
  }
}

function readJson(request: ReceivedRequest): unknown {
  return JSON.parse(request.body.toString('utf8'));
}
