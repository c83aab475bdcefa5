/**
 * Interfaces to the protocols of callers and endpoints. Adapters implement them
 * and only encode and decode; all decisions are made in the gateway.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {StatedLoad} from '../../decisions/scheduler_types.js';
import type {BundleItem} from '../bundles/bundle_types.js';

export type {StatedLoad} from '../../decisions/scheduler_types.js';

/** A decoded request of a caller. */
export interface CallerRequest {
  /** Id of this attempt of the caller; endpoints echo it. */
  id: string;
  method: string;
  host: string;
  /** Path without the query. */
  path: string;
  /** Path with the query, as received. */
  target: string;
  key: string | undefined;
  /** How long the caller waits after the request's arrival, in ms. */
  timeoutMs: number | undefined;
  /** Tokens of the prompt, and the estimated tokens of the answer. */
  promptTokens: number;
  answerTokens: number;
  /** Most tokens that prompt and answer can have together. */
  memoryTokens: number;
  /** Digests of the prompt's prefixes, shortest first. */
  prefixHashes: string[];
  /** Ids of the parts of the prompt that other prompts may share, in order. */
  promptParts: string[];
  /**
   * Id of the attempt that brought the first event of the stream that this attempt
   * takes up again.
   */
  resumes?: string;
  /** Id of the last event that the caller has of that stream. */
  resumeAfter?: string;
}

/** A call on an accepted bundle. */
export type BundleCall =
  | {kind: 'read'; bundleId: string; after: number; waitMs: number}
  | {kind: 'body'; bundleId: string; itemId: string}
  | {kind: 'end'; bundleId: string};

/** One page of a bundle's results. */
export interface BundlePage {
  total: number;
  next: number;
  results: {itemId: string; state: 'complete' | 'given-up'; text: string}[];
}

/** Decodes requests of callers and encodes responses to them. */
export interface CallerProtocol {
  decodeRequest(message: IncomingMessage): CallerRequest;
  /** Undefined for a request that is handled by its route. */
  decodeBundleCall(message: IncomingMessage): BundleCall | undefined;
  /** Undefined if the body is not a valid bundle. */
  decodeBundle(body: Buffer): BundleItem[] | undefined;
  encodePage(page: BundlePage): object;
  /** Encodes the value of the Retry-After header. */
  encodeRetryAfter(ms: number): string;
}

/** Header names and values, alternating. */
export type RawHeaders = readonly string[];

/** What the headers of one request to an endpoint carry. */
export interface EndpointCall {
  requestId: string;
  /** The caller's headers, as received. */
  headers: RawHeaders;
  host: string;
  account: string | undefined;
  /** Id of the intended endpoint; a different one at its address refuses. */
  endpointName: string;
  /** How long the endpoint may work, in ms. */
  remainingMs: number;
  /** Id of the last event received; the stream resumes after it. */
  resumeAfter?: string;
}

/** What the head of a response says. */
export type AnswerHead =
  /** The endpoint's own response, with any status. */
  | {kind: 'answer'; load?: StatedLoad}
  /** The endpoint states that it did not run the request. */
  | {kind: 'not-run'; isMisdirected: boolean; load?: StatedLoad}
  /** Not a response to this request, or an incomplete one. */
  | {kind: 'mismatch'; reason: string};

/** Encodes requests to endpoints and decodes their responses. */
export interface EndpointProtocol {
  encodeHeaders(call: EndpointCall): string[];
  decodeHead(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): AnswerHead;
  /**
   * Ids of the parts of a request's prompt that other prompts may share, in order.
   */
  listSharedParts(headers: RawHeaders): string[];
  /**
   * Whether a response with this status means that the item can never succeed.
   */
  isPoison(status: number): boolean;
}
