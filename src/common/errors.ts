/** The error every refusal and failure is reported with. */
import type {Verdict} from './verdict.js';

interface ErrorKind {
  /** HTTP status of the answer. */
  status: number;
  /** `type` of the OpenAI-shaped error body. */
  type: string;
}

/** Every error code, with what callers see of it. docs/OPERATIONS.md explains each. */
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
  /** Endpoints end under this content, so that it is not sent for a time. */
  quarantined: {status: 503, type: 'endpoint_error'},
  draining: {status: 503, type: 'overloaded_error'},
  isolated: {status: 503, type: 'unavailable_error'},
  store_unavailable: {status: 503, type: 'unavailable_error'},
  deadline_exceeded: {status: 504, type: 'timeout_error'},
  endpoint_failed: {status: 502, type: 'endpoint_error'},
  endpoint_silent: {status: 504, type: 'endpoint_error'},
  answer_mismatch: {status: 502, type: 'endpoint_error'},
  /** A call that may not be repeated was begun, and its end is not known. */
  outcome_unknown: {status: 502, type: 'endpoint_error'},
  /** A call ran before; its answer was too large to be recorded. */
  answer_not_kept: {status: 409, type: 'conflict_error'},
  cancelled: {status: 499, type: 'cancelled_error'},
  internal: {status: 500, type: 'internal_error'},
} as const satisfies Record<string, ErrorKind>;

/** A code of the table above. */
export type ErrorCode = keyof typeof ERROR_KINDS;

interface RouterErrorOptions {
  verdict: Verdict;
  /** When the caller should come back, in ms. */
  retryAfterMs?: number;
  /** The field of the request or document at fault. */
  field?: string;
  cause?: unknown;
}

/** A refusal or failure, with the verdict on the request it ends. */
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

  /** HTTP status of the answer. */
  get status(): number {
    return ERROR_KINDS[this.code].status;
  }
}

/** The OpenAI-shaped body of an error answer. */
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

/** Any thrown value as a RouterError; unknown ones become `internal`. */
export function toRouterError(thrown: unknown, verdict: Verdict): RouterError {
  if (thrown instanceof RouterError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new RouterError('internal', message, {verdict, cause: thrown});
}
