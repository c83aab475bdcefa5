/**
 * Starts instances, endpoints and a platform in one process, for tests that run
 * a complete session over HTTP.
 */
import {request} from 'undici';
import {createSystemClock} from '../common/clock.js';
import {createSilentLog, type Log} from '../common/log.js';
import {applyServiceDocument} from '../instance/configuration/configuration.js';
import {startInstance, type Instance} from '../instance/instance.js';
import {giveKey} from '../instance/keys/key_directory.js';
import {
  startEngineServer,
  type EngineServer,
} from '../stand_ins/engine/engine_server.js';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '../stand_ins/platform/memory_platform.js';
import {
  startServiceServer,
  type ServiceServer,
} from '../stand_ins/service/service_server.js';
import {makeEndpoint, makeSettings} from './fixtures.js';

const DOCUMENTS = [
  `[service]
name = drum-reader
kind = model-engine
models = drum-reader-7b
[endpoint]
first_byte_timeout = 2s
between_bytes_timeout = 200ms
[account.gate]
rate = 1000/s
burst = 1000
[account.planner]
rate = 1/h
burst = 2
`,
  `[service]
name = visits
kind = plain
max_body = 1KiB
[endpoint]
first_byte_timeout = 300ms
idempotent_calls = GET /visits, GET /drums/*
[account.gate]
rate = 1000/s
burst = 1000
`,
];

/** A response as the caller receives it. */
export interface CallResponse {
  status: number;
  headers: Record<string, string>;
  text: string;
}

/** Options of a call. */
export interface CallOptions {
  method?: 'GET' | 'POST' | 'DELETE';
  body?: string | object;
  headers?: Record<string, string>;
  /** Index of the instance that the call is sent to. */
  instance?: number;
  key?: string;
  signal?: AbortSignal;
}

/** A running fleet with the controls for a test. */
export interface CallFleet {
  platform: MemoryPlatform;
  instances: Instance[];
  engines: EngineServer[];
  service: ServiceServer;
  /** API keys of the accounts `gate` and `planner`. */
  keys: Record<'gate' | 'planner', {keyId: string; secret: string}>;
  /** Updates the platform's list; engines in `leaving` get the state `leaving`. */
  listEndpoints(leaving?: readonly EngineServer[]): void;
  send(path: string, options?: CallOptions): Promise<CallResponse>;
  /** Returns the status at once, and the body as a stream of chunks. */
  open(
    path: string,
    options?: CallOptions,
  ): Promise<{status: number; body: AsyncIterable<Buffer>}>;
  stop(): Promise<void>;
}

/** Options of a fleet. */
export interface CallFleetOptions {
  instances?: number;
  engines?: number;
  log?: Log;
  /** Maximum time that a shutdown waits for open requests, in ms. */
  drainMs?: number;
  /** Service documents in force. */
  documents?: readonly string[];
}

/** Starts a fleet that has its service documents and API keys. */
export async function startCallFleet({
  instances: instanceCount = 1,
  engines: engineCount = 1,
  log = createSilentLog(),
  drainMs = 120_000,
  documents = DOCUMENTS,
}: CallFleetOptions = {}): Promise<CallFleet> {
  const platform = createMemoryPlatform();
  const engines = await Promise.all(
    Array.from({length: engineCount}, () => startEngineServer()),
  );
  const service = await startServiceServer();

  function listEndpoints(leaving: readonly EngineServer[] = []) {
    platform.setInstances([
      ...engines.map(engine =>
        makeEndpoint(engine.address, {
          state: leaving.includes(engine) ? 'leaving' : 'live',
        }),
      ),
      makeEndpoint(service.address, {service: 'visits'}),
    ]);
  }

  listEndpoints();
  for (const document of documents) {
    await applyServiceDocument(platform.table, document, 'tester');
  }
  const keys = {
    gate: await giveKey(platform.table, 'gate'),
    planner: await giveKey(platform.table, 'planner'),
  };
  const instances: Instance[] = [];
  for (let index = 0; index < instanceCount; index++) {
    const settings = makeSettings(`entry-${index + 1}`);
    settings.shutdown.drain = drainMs;
    const clock = createSystemClock();
    instances.push(await startInstance({settings, platform, clock, log}));
  }

  function sendRequest(
    path: string,
    {method, body, headers, instance = 0, key, signal}: CallOptions,
  ) {
    const isText = typeof body === 'string' || body === undefined;
    const address = instances[instance].callersAddress;
    return request(`http://${address}${path}`, {
      method: method ?? (body === undefined ? 'GET' : 'POST'),
      body: isText ? body : JSON.stringify(body),
      headers: {
        authorization: `Bearer ${key ?? keys.gate.secret}`,
        ...headers,
      },
      signal,
    });
  }

  return {
    platform,
    instances,
    engines,
    service,
    keys,
    listEndpoints,
    async send(path, options = {}) {
      const answer = await sendRequest(path, options);
      const text = await answer.body.text();
      const headers = answer.headers as Record<string, string>;
      return {status: answer.statusCode, headers, text};
    },
    async open(path, options = {}) {
      const answer = await sendRequest(path, options);
      return {status: answer.statusCode, body: answer.body};
    },
    async stop() {
      await Promise.all(instances.map(instance => instance.stop()));
      await Promise.all([...engines, service].map(server => server.stop()));
    },
  };
}

/** Creates the body of a chat request. */
export function makeChatRequest(content: string, stream: boolean): object {
  const messages = [{role: 'user', content}];
  return {model: 'drum-reader-7b', stream, messages};
}

/** Returns the text of a streamed response, and its last event. */
export function readStream(text: string): {content: string; last: string} {
  const events = text.split('\n\n').filter(event => event !== '');
  const contents = events
    .filter(event => event.startsWith('data: {"id"'))
    .map(event => JSON.parse(event.slice(6)).choices[0].delta.content);
  return {content: contents.join(''), last: events.at(-1) ?? ''};
}

/** Formats a response for a golden file: status, selected headers, body. */
export function formatResponse({status, headers, text}: CallResponse): string {
  const shown = ['x-mulberry-verdict', 'retry-after', 'idempotent-replayed']
    .filter(name => headers[name] !== undefined)
    .map(name => `${name}: ${headers[name]}\n`)
    .map(line => line.replace(/\d{3,}/, 'MINUTES'));
  return `${status}\n${shown.join('')}${text}\n`;
}
