/** The error that reports every refusal and failure of a request. */
import type {Verdict} from './verdict.js';

interface ErrorKind {
  /** HTTP status of the response. */
  status: number;
  /** `type` in the OpenAI-compatible error body. */
  type: string;
}

/**
 * All error codes and how callers see them. docs/OPERATIONS.md explains each.
 */
export const ERROR_KINDS = {
  invalid_request: {status: 400, type: 'invalid_request_error'},
  invalid_key: {status: 401, type: 'authentication_error'},
  key_withdrawn: {status: 401, type: 'authentication_error'},
  not_permitted: {status: 403, type: 'permission_error'},
  not_found: {status: 404, type: 'not_found_error'},
  method_not_allowed: {status: 405, type: 'invalid_request_error'},
  request_timeout: {status: 408, type: 'invalid_request_error'},
  conflict: {status: 409, type: 'conflict_error'},
  body_too_large: {status: 413, type: 'invalid_request_error'},
  headers_too_large: {status: 431, type: 'invalid_request_error'},
  rate_limited: {status: 429, type: 'rate_limit_error'},
  limits_unavailable: {status: 503, type: 'unavailable_error'},
  overloaded: {status: 503, type: 'overloaded_error'},
  no_endpoint: {status: 503, type: 'overloaded_error'},
  /** It needs more memory than any endpoint of the service has. */
  exceeds_memory: {status: 503, type: 'invalid_request_error'},
  /** Endpoints crash on this content, so it is not sent for some time. */
  quarantined: {status: 503, type: 'endpoint_error'},
  /** A stream is taken up, and the version that began it is not known. */
  stream_unknown: {status: 503, type: 'unavailable_error'},
  /** A waiting request's route treats requests in another way now. */
  route_changed: {status: 503, type: 'unavailable_error'},
  draining: {status: 503, type: 'overloaded_error'},
  isolated: {status: 503, type: 'unavailable_error'},
  store_unavailable: {status: 503, type: 'unavailable_error'},
  deadline_exceeded: {status: 504, type: 'timeout_error'},
  endpoint_failed: {status: 502, type: 'endpoint_error'},
  endpoint_silent: {status: 504, type: 'endpoint_error'},
  answer_mismatch: {status: 502, type: 'endpoint_error'},
  /**
   * A call that may not be repeated was started, and its outcome is unknown.
   */
  outcome_unknown: {status: 502, type: 'endpoint_error'},
  /** The call ran before, but its response was too large to be recorded. */
  answer_not_kept: {status: 409, type: 'conflict_error'},
  /** The caller read its response too slowly; the response was cut off. */
  slow_reader: {status: 408, type: 'invalid_request_error'},
  cancelled: {status: 499, type: 'cancelled_error'},
  internal: {status: 500, type: 'internal_error'},
} as const satisfies Record<string, ErrorKind>;

export type ErrorCode = keyof typeof ERROR_KINDS;

interface RouterErrorOptions {
  verdict: Verdict;
  /** When the caller should retry, in ms. */
  retryAfterMs?: number;
  /** The invalid field of the request or document. */
  field?: string;
  cause?: unknown;
}

/** A refusal or failure of a request, with the verdict on whether it ran. */
export class RouterError extends Error {
  readonly code: ErrorCode;
  readonly verdict: Verdict;
  readonly retryAfterMs: number | undefined;
  readonly field: string | undefined;

  constructor(code: ErrorCode, message: string, options: RouterErrorOptions) {
    super(message, {cause: options.cause});
    this.name = 'RouterError';
    this.code = code;
    this.verdict = options.verdict;
    this.retryAfterMs = options.retryAfterMs;
    this.field = options.field;
  }

  /** HTTP status of the response. */
  get status(): number {
    return ERROR_KINDS[this.code].status;
  }
}

/** Builds the OpenAI-compatible body of an error response. */
export function buildErrorBody(error: RouterError): object {
  return {
    error: {
      message: error.message,
      type: ERROR_KINDS[error.code].type,
      code: error.code,
      param: error.field ?? null,
      verdict: error.verdict,
    },
  };
}

/**
 * Converts any thrown value to a RouterError; unknown ones become `internal`.
 */
export function toRouterError(thrown: unknown, verdict: Verdict): RouterError {
  if (thrown instanceof RouterError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new RouterError('internal', message, {verdict, cause: thrown});
}
