/** Parses the body of a request that creates a job. */
import * as z from 'zod';
import {RouterError} from '../../common/errors.js';
import {durationSchema} from '../../common/units.js';
import {DEFAULT_COMPLETION_WINDOW} from './constants.js';

const MAX_METADATA_ENTRIES = 16;
const MAX_IDEMPOTENCY_KEY = 255;

const idempotencyKeySchema = z.string().max(MAX_IDEMPOTENCY_KEY);

const bodySchema = z.strictObject({
  input_file_id: z.string().min(1),
  endpoint: z.string().optional(),
  completion_window: z.string().default(DEFAULT_COMPLETION_WINDOW),
  /** Time at which the output is due: Unix time in seconds, or ISO 8601. */
  due_at: z
    .union([z.number().positive(), z.iso.datetime({offset: true})])
    .optional(),
  idempotency_key: idempotencyKeySchema.optional(),
  metadata: z
    .record(z.string().max(64), z.string().max(512))
    .refine(
      value => Object.keys(value).length <= MAX_METADATA_ENTRIES,
      `must have at most ${MAX_METADATA_ENTRIES} entries`,
    )
    .nullish(),
});

/** A validated request. */
export interface ParsedJobRequest {
  fileId: string;
  endpoint: string | undefined;
  completionWindow: string;
  dueRequest: string;
  /** Wall time in ms. */
  dueAt: number;
  metadata: string;
  idempotencyKey: string;
}

/**
 * `headerKey` takes precedence over the key of the body. Throws RouterError.
 */
export function parseJobRequest(
  body: Record<string, unknown>,
  headerKey: string | undefined,
  wallNow: number,
): ParsedJobRequest {
  const parsed = bodySchema.safeParse(body);
  if (!parsed.success) throw buildIssueError(parsed.error.issues[0]);
  const {data} = parsed;
  const window = durationSchema.safeParse(data.completion_window);
  if (!window.success) {
    throw buildFieldError('completion_window', window.error.issues[0].message);
  }
  const key = idempotencyKeySchema.safeParse(
    headerKey ?? data.idempotency_key ?? '',
  );
  if (!key.success) {
    throw buildFieldError('idempotency-key', key.error.issues[0].message);
  }
  return {
    fileId: data.input_file_id,
    endpoint: data.endpoint,
    completionWindow: data.completion_window,
    dueRequest: String(data.due_at ?? ''),
    dueAt: toWallTime(data.due_at) ?? wallNow + window.data,
    metadata: JSON.stringify(data.metadata ?? {}),
    idempotencyKey: key.data,
  };
}

function toWallTime(due: number | string | undefined): number | undefined {
  if (due === undefined) return undefined;
  return typeof due === 'number' ? due * 1000 : Date.parse(due);
}

function buildIssueError(issue: z.core.$ZodIssue): RouterError {
  const field =
    issue.code === 'unrecognized_keys'
      ? issue.keys[0]
      : issue.path.map(String).join('.');
  return buildFieldError(field, issue.message);
}

function buildFieldError(field: string, message: string): RouterError {
  return new RouterError('invalid_request', `${field}: ${message}`, {
    verdict: 'not-run',
    field,
  });
}
