/**
 * Interface of endpoint adapters. Each kind of endpoint has one adapter in the
 * table of adapters; a new protocol needs a new entry there.
 */
import type {CacheEvent, LoadReport} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {ServiceDocument} from '../configuration/service_document.js';

/** An endpoint, and its service's timeouts and limits for calls. */
export interface EndpointTarget {
  endpoint: ListedInstance;
  limits: ServiceDocument['endpoint'];
}

/** One attempt of one request on one endpoint. */
export interface EndpointCall extends EndpointTarget {
  /** The product's own id, because two callers may choose the same one. */
  requestId: string;
  method: string;
  /** Path and query. */
  path: string;
  /** Allow-listed headers only; never the caller's key. */
  headers: Record<string, string>;
  body: Uint8Array;
  /** Data events already received from earlier attempts; 0 for the first. */
  offset: number;
  /**
   * Opens a connection for this call only. This is needed when the last
   * connection went silent, and when the call must not be repeated: if the peer
   * closes an idle connection just when it is reused, the outcome is unknown.
   */
  freshConnection?: boolean;
  signal: AbortSignal;
}

/** Events of a response, in this order. */
export type EndpointEvent =
  | {
      kind: 'head';
      status: number;
      headers: Record<string, string>;
      /** The call's offset when the endpoint continues from there. */
      resumedAt?: number;
    }
  /** `offset` counts the data events of the complete response from 0. */
  | {kind: 'data'; offset: number; payload: Buffer}
  /** The end mark; without it the response is not complete. */
  | {kind: 'end'};

/** An order to a model engine; `fencing` increases with each new orderer. */
export interface EndpointOrder {
  kind:
    | 'load-model'
    | 'load-adapter'
    | 'unload-adapter'
    | 'set-version'
    | 'set-role';
  /** Name of the model, adapter, version or role. */
  name: string;
  fencing: number;
}

/** `refused` means that the endpoint has seen a higher fencing number. */
export type OrderOutcome = {kind: 'taken'} | {kind: 'refused'; fencing: number};

/** Control operations of a model engine. All throw RouterError. */
export interface EngineControl {
  /** Fetches the engine's own report, which lags. `at` is wall time. */
  fetchLoad(target: EndpointTarget): Promise<LoadReport>;
  /** Fetches cache changes after a sequence number; late and with gaps. */
  fetchCacheEvents(
    target: EndpointTarget,
    after: number,
  ): Promise<CacheEvent[]>;
  sendOrder(
    target: EndpointTarget,
    order: EndpointOrder,
  ): Promise<OrderOutcome>;
  /** Fetches the KV cache entry of a prefix; undefined when it was evicted. */
  exportCache(
    target: EndpointTarget,
    prefixHash: string,
  ): Promise<Buffer | undefined>;
  importCache(
    target: EndpointTarget,
    prefixHash: string,
    entry: Uint8Array,
  ): Promise<void>;
}

/** Client for one kind of endpoint. */
export interface EndpointAdapter {
  /** Whether a response that broke off can be resumed at an offset. */
  canResume: boolean;
  /**
   * Runs the call. Throws RouterError with a verdict on whether the request may
   * have run. `end` is the last event.
   */
  send(call: EndpointCall): AsyncIterable<EndpointEvent>;
  /** Tells the endpoint to stop a request; failures are ignored. */
  cancel(call: EndpointCall): Promise<void>;
  /** Absent when endpoints of this kind have no control operations. */
  control?: EngineControl;
}

/** The adapters, by kind of service. */
export type AdapterTable = Record<
  ServiceDocument['service']['kind'],
  EndpointAdapter
>;
