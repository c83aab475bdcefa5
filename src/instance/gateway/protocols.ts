/**
 * What the gateway needs to know of the protocols that callers and endpoints
 * speak. An adapter implements these; the gateway decides.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {BundleItem} from '../bundles/bundle_types.js';

/** A request of a caller. */
export interface CallerRequest {
  /** Names this attempt of the caller; endpoints echo it. */
  id: string;
  method: string;
  host: string;
  /** Path without the query. */
  path: string;
  /** Path with the query, as received. */
  target: string;
  key: string | undefined;
  /** How long the caller will wait, in ms from the request's arrival. */
  patienceMs: number | undefined;
  /** Tokens of the prompt, and those its answer will probably have. */
  promptTokens: number;
  answerTokens: number;
  /** Digests of the prompt's leading parts, shortest prefix first. */
  prefixHashes: string[];
}

/** A call on a bundle that was accepted before. */
export type BundleCall =
  | {kind: 'read'; bundleId: string; after: number; waitMs: number}
  | {kind: 'body'; bundleId: string; itemId: string}
  | {kind: 'end'; bundleId: string};

/** What is read of a bundle's results. */
export interface BundlePage {
  total: number;
  next: number;
  results: {itemId: string; state: 'complete' | 'given-up'; text: string}[];
}

/** How callers speak. */
export interface CallerProtocol {
  decodeRequest(message: IncomingMessage): CallerRequest;
  /** Undefined for a request that a route decides on. */
  decodeBundleCall(message: IncomingMessage): BundleCall | undefined;
  /** Undefined when the body is no bundle. */
  decodeBundle(body: Buffer): BundleItem[] | undefined;
  encodePage(page: BundlePage): object;
  /** Value of Retry-After. */
  encodeRetryAfter(ms: number): string;
}

/** Header names and values, alternating. */
export type RawHeaders = readonly string[];

/** One send to an endpoint. */
export interface EndpointCall {
  requestId: string;
  /** Headers as the caller sent them. */
  headers: RawHeaders;
  host: string;
  account: string | undefined;
  /** Id of the endpoint that is meant; another at its address refuses. */
  endpointName: string;
  /** How long the endpoint may work, in ms. */
  remainingMs: number;
  /** Id of the last event that is at hand; the stream goes on after it. */
  resumeAfter?: string;
}

/** What the head of an answer says. */
export type AnswerHead =
  /** The endpoint's own answer, whatever its status. */
  | {kind: 'answer'}
  /** The endpoint says that it did not run the request. */
  | {kind: 'not-run'; isOtherEndpoint: boolean}
  /** Not an answer to this request, or not a whole one. */
  | {kind: 'mismatch'; reason: string};

/** How endpoints speak. */
export interface EndpointProtocol {
  encodeHeaders(call: EndpointCall): string[];
  decodeHead(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): AnswerHead;
  /** Whether the answer to an item means that it can never be done. */
  isPoison(status: number): boolean;
}
