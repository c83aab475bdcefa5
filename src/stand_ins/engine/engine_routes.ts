/** Routes of the engine stand-in. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {serveCompletion} from './engine_completion.js';
import {engineControlSchema} from './engine_options.js';
import {engineOrderSchema} from './engine_orders.js';
import type {EngineState} from './engine_server.js';

/** A request to the stand-in with its complete body, and its response. */
export interface EngineExchange {
  request: IncomingMessage;
  response: ServerResponse;
  url: URL;
  body: Buffer;
}

type Handler = (exchange: EngineExchange, state: EngineState) => void;

interface EngineRoute {
  method: string;
  pattern: RegExp;
  handle: Handler;
}

const ROUTES: readonly EngineRoute[] = [
  {
    method: 'POST',
    pattern: /^\/v1\/(chat\/)?completions$/,
    handle: serveCompletion,
  },
  {
    method: 'DELETE',
    pattern: /^\/v1\/streams\/[^/]+$/,
    handle({url, response}, {streams, counts}) {
      const removed = streams.remove(readLastSegment(url));
      if (removed) counts.cancelled++;
      respondJson(response, removed ? 200 : 404, {removed});
    },
  },
  {
    method: 'GET',
    pattern: /^\/load$/,
    handle: ({response}, {reportLoad}) =>
      respondJson(response, 200, reportLoad()),
  },
  {
    method: 'GET',
    pattern: /^\/cache-events$/,
    handle({url, response}, {cache}) {
      const after = Number(url.searchParams.get('after') ?? 0);
      respondJson(response, 200, {events: cache.listEvents(after)});
    },
  },
  {
    method: 'GET',
    pattern: /^\/kv\/[^/]+$/,
    handle({url, response}, {cache}) {
      const entry = cache.export(readLastSegment(url));
      response.writeHead(entry ? 200 : 404).end(entry);
    },
  },
  {
    method: 'PUT',
    pattern: /^\/kv\/[^/]+$/,
    handle({url, response, body}, {cache}) {
      cache.import(readLastSegment(url), body);
      respondJson(response, 200, {});
    },
  },
  {
    method: 'POST',
    pattern: /^\/orders$/,
    handle({response, body}, {orders}) {
      const order = engineOrderSchema.parse(JSON.parse(body.toString()));
      const taken = orders.apply(order);
      respondJson(response, taken ? 200 : 409, orders.getRole());
    },
  },
  {
    method: 'GET',
    pattern: /^\/control$/,
    handle({response}, {options, counts, orders}) {
      respondJson(response, 200, {options, counts, role: orders.getRole()});
    },
  },
  {
    method: 'POST',
    pattern: /^\/control$/,
    handle({response, body}, {options, faults}) {
      const control = engineControlSchema.parse(JSON.parse(body.toString()));
      Object.assign(options, control.options);
      if (control.faults) faults.clear();
      for (const fault of control.faults ?? []) faults.add(fault);
      respondJson(response, 200, {options});
    },
  },
];

/** Reads a request and passes it to its route. */
export async function dispatchRequest(
  request: IncomingMessage,
  response: ServerResponse,
  state: EngineState,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const body = Buffer.concat(parts);
  state.received.push(`${request.rawHeaders.join('\n')}\n${body}`);
  const url = new URL(request.url ?? '/', 'http://engine');
  const route = ROUTES.find(
    ({method, pattern}) =>
      method === request.method && pattern.test(url.pathname),
  );
  if (!route) return respondJson(response, 404, {});
  route.handle({request, response, url, body}, state);
}

function readLastSegment(url: URL): string {
  return decodeURIComponent(url.pathname.split('/').at(-1) ?? '');
}

/** Sends a JSON response. */
export function respondJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
