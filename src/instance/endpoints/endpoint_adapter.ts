/**
 * What the product needs of an endpoint. Each kind of endpoint has one adapter
 * in the table of adapters; another protocol means another entry there.
 */
import type {CacheEvent, LoadReport} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {ServiceDocument} from '../configuration/service_document.js';

/** An endpoint, and how its service wants it to be called. */
export interface EndpointTarget {
  endpoint: ListedInstance;
  limits: ServiceDocument['endpoint'];
}

/** One try of one request on one endpoint. */
export interface EndpointCall extends EndpointTarget {
  /** Our own id: two callers may choose the same one. */
  requestId: string;
  method: string;
  /** Path and query. */
  path: string;
  /** Allow-listed headers only; never the caller's key. */
  headers: Record<string, string>;
  body: Uint8Array;
  /** Data events already received from an earlier try; 0 for the first. */
  offset: number;
  /**
   * Opens a connection for this call alone. Needed where the call may not be
   * repeated (an idle connection that the peer closes just when it is used
   * leaves the outcome unclear) and where the last connection went silent.
   */
  freshConnection?: boolean;
  signal: AbortSignal;
}

/** What an endpoint sends back, in this order. */
export type EndpointEvent =
  | {
      kind: 'head';
      status: number;
      headers: Record<string, string>;
      /** The call's offset when the endpoint goes on from there. */
      resumedAt?: number;
    }
  /** `offset` counts the data events of the whole answer from 0. */
  | {kind: 'data'; offset: number; payload: Buffer}
  /** The end mark: without it the answer is not whole. */
  | {kind: 'end'};

/** An order to a model engine; `fencing` grows with each new orderer. */
export interface EndpointOrder {
  kind:
    | 'load-model'
    | 'load-adapter'
    | 'unload-adapter'
    | 'set-version'
    | 'set-role';
  /** Model, adapter, version or role by name. */
  name: string;
  fencing: number;
}

/** `refused`: the endpoint has seen a higher fencing number. */
export type OrderOutcome = {kind: 'taken'} | {kind: 'refused'; fencing: number};

/** What a model engine offers beside answers. All throw RouterError. */
export interface EngineControl {
  /** The engine's own report, which lags. `at` is wall time. */
  fetchLoad(target: EndpointTarget): Promise<LoadReport>;
  /** Changes of the prefix cache after a sequence number; late, with gaps. */
  fetchCacheEvents(
    target: EndpointTarget,
    after: number,
  ): Promise<CacheEvent[]>;
  sendOrder(
    target: EndpointTarget,
    order: EndpointOrder,
  ): Promise<OrderOutcome>;
  /** The KV cache entry of a prefix; undefined when it was evicted. */
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

/** How the product talks to one kind of endpoint. */
export interface EndpointAdapter {
  /** Whether a broken answer can go on at an offset. */
  canResume: boolean;
  /**
   * Runs the call. Throws RouterError whose verdict tells whether the request
   * may have run; events end after `end`.
   */
  send(call: EndpointCall): AsyncIterable<EndpointEvent>;
  /** Tells the endpoint to stop a request; failures are ignored. */
  cancel(call: EndpointCall): Promise<void>;
  /** Absent where endpoints of this kind offer none of it. */
  control?: EngineControl;
}

/** The adapters by kind of service. */
export type AdapterTable = Record<
  ServiceDocument['service']['kind'],
  EndpointAdapter
>;
