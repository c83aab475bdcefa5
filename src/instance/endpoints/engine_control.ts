/** Control calls to model engines: load, cache events, KV cache and orders. */
import * as z from 'zod';
import {RouterError} from '../../common/errors.js';
import {generateId} from '../../common/ids.js';
import {
  CONTROL_TIMEOUT_MS,
  MAX_CONTROL_BODY_BYTES,
  MAX_KV_ENTRY_BYTES,
} from './constants.js';
import type {EndpointTarget, EngineControl} from './endpoint_adapter.js';
import {readBounded, type EndpointAnswer} from './endpoint_answer.js';
import type {EndpointClient} from './http_call.js';

const loadSchema = z.looseObject({
  at: z.number(),
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  cacheUsage: z.number().min(0).max(1),
});

const cacheEventsSchema = z.looseObject({
  events: z.array(
    z.looseObject({
      sequence: z.number().int(),
      kind: z.enum(['stored', 'evicted', 'cleared']),
      prefixHash: z.string(),
    }),
  ),
});

const roleSchema = z.looseObject({fencing: z.number()});

interface ControlCall {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  body?: Uint8Array;
  /** Another status besides 200 that is not a failure. */
  expected?: number;
}

/** Creates the control operations over the connections of `client`. */
export function createEngineControl(client: EndpointClient): EngineControl {
  async function sendControlCall(
    target: EndpointTarget,
    {method, path, body, expected}: ControlCall,
  ): Promise<EndpointAnswer> {
    const answer = await client.send({
      ...target,
      requestId: generateId('control'),
      method,
      path,
      headers: {'content-type': 'application/json'},
      body: body ?? new Uint8Array(),
      offset: 0,
      signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
    });
    if (answer.status === 200 || answer.status === expected) {
      return answer;
    }
    answer.finish();
    throw new RouterError(
      'endpoint_failed',
      `${method} ${path} was answered with status ${answer.status}`,
      {verdict: 'ran'},
    );
  }

  return {
    async fetchLoad(target) {
      const answer = await sendControlCall(target, {
        method: 'GET',
        path: '/load',
      });
      return parseAnswer(answer, loadSchema);
    },
    async fetchCacheEvents(target, after) {
      const path = `/cache-events?after=${after}`;
      const answer = await sendControlCall(target, {method: 'GET', path});
      return (await parseAnswer(answer, cacheEventsSchema)).events;
    },
    async sendOrder(target, order) {
      const answer = await sendControlCall(target, {
        method: 'POST',
        path: '/orders',
        body: Buffer.from(JSON.stringify(order)),
        expected: 409,
      });
      const {fencing} = await parseAnswer(answer, roleSchema);
      if (answer.status === 200) return {kind: 'taken'};
      return {kind: 'refused', fencing};
    },
    async exportCache(target, prefixHash) {
      const path = `/kv/${encodeURIComponent(prefixHash)}`;
      const call = {method: 'GET', path, expected: 404} as const;
      const answer = await sendControlCall(target, call);
      const entry = await readBounded(answer, MAX_KV_ENTRY_BYTES);
      const isComplete = entry.length < MAX_KV_ENTRY_BYTES;
      return answer.status === 200 && isComplete ? entry : undefined;
    },
    async importCache(target, prefixHash, body) {
      const path = `/kv/${encodeURIComponent(prefixHash)}`;
      const answer = await sendControlCall(target, {method: 'PUT', path, body});
      answer.finish();
    },
  };
}

async function parseAnswer<Schema extends z.ZodType>(
  answer: EndpointAnswer,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const body = await readBounded(answer, MAX_CONTROL_BODY_BYTES);
  try {
    return schema.parse(JSON.parse(body.toString()));
  } catch (cause) {
    throw new RouterError('endpoint_failed', 'the engine answered nonsense', {
      verdict: 'ran',
      cause,
    });
  }
}
