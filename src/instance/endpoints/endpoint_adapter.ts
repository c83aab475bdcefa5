/**
 * What the product needs of an endpoint. Each kind of endpoint has one adapter
 * in the table of adapters; another protocol means another entry there.
 */
import type {ListedInstance} from '../../platform/instance_list.js';
import type {ServiceDocument} from '../configuration/service_document.js';

/** One try of one request on one endpoint. */
export interface EndpointCall {
  requestId: string;
  endpoint: ListedInstance;
  limits: ServiceDocument['endpoint'];
  method: string;
  path: string;
  /** Allow-listed headers only; never the caller's key. */
  headers: Record<string, string>;
  body: Uint8Array;
  /** Data events already received from an earlier try; 0 for the first. */
  offset: number;
  signal: AbortSignal;
}

/** What an endpoint sends back, in this order. */
export type EndpointEvent =
  | {kind: 'head'; status: number; headers: Record<string, string>}
  /** `offset` counts the data events of the whole answer from 0. */
  | {kind: 'data'; offset: number; payload: Buffer}
  /** The end mark: without it the answer is not whole. */
  | {kind: 'end'};

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
}

/** The adapters by kind of service. */
export type AdapterTable = Record<
  ServiceDocument['service']['kind'],
  EndpointAdapter
>;
