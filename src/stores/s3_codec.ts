/** Encodes and decodes names, errors and XML bodies of the S3 protocol. */
import {XMLBuilder, XMLParser, XMLValidator} from 'fast-xml-parser';
import * as z from 'zod';
import type {StoreResponse} from './http_transport.js';
import {StoreFailure} from './store_failure.js';

const parser = new XMLParser({
  parseTagValue: false,
  ignoreAttributes: true,
  isArray: name => name === 'Contents' || name === 'Part',
});
const builder = new XMLBuilder({});

const listAnswerSchema = z.object({
  ListBucketResult: z.object({
    Contents: z.array(z.object({Key: z.string()})).default([]),
  }),
});

const openAnswerSchema = z.object({
  InitiateMultipartUploadResult: z.object({UploadId: z.string().min(1)}),
});

const completeAnswerSchema = z.object({
  CompleteMultipartUploadResult: z.unknown(),
});

const errorSchema = z.object({
  Error: z.object({Code: z.string(), Message: z.string().default('')}),
});

/** Error code of a wrong bucket setting; unlike an absent object, a failure. */
const BUCKET_ABSENT = 'NoSuchBucket';

/** One uploaded part with the ETag that the service returned. */
export interface UploadedPart {
  number: number;
  etag: string;
}

/** Builds the URL of an object in path style. */
export function buildObjectUrl(
  base: string,
  bucket: string,
  name: string,
): string {
  const path = name.split('/').map(encodeUrlPart).join('/');
  return `${base.replace(/\/$/, '')}/${bucket}/${path}`;
}

/**
 * Percent-encodes all characters except those that signatures leave unencoded.
 */
export function encodeUrlPart(text: string): string {
  return encodeURIComponent(text).replace(
    /[!'()*]/g,
    char => `%${char.charCodeAt(0).toString(16).toUpperCase()}`,
  );
}

/** Reads the names of a list response with URL encoding. */
export function readListAnswer(response: StoreResponse): string[] {
  const answer = parseXml(response, listAnswerSchema);
  return answer.ListBucketResult.Contents.map(({Key}) =>
    decodeURIComponent(Key.replaceAll('+', ' ')),
  );
}

/** Reads the id of an opened upload. */
export function readOpenAnswer(response: StoreResponse): string {
  return parseXml(response, openAnswerSchema).InitiateMultipartUploadResult
    .UploadId;
}

/**
 * Checks that an upload completed: a 200 response may still contain an error.
 */
export function checkCompleteAnswer(response: StoreResponse): void {
  parseXml(response, completeAnswerSchema);
}

/** Encodes the request body that completes an upload. */
export function encodeCompletion(parts: readonly UploadedPart[]): string {
  const list = parts.map(part => ({PartNumber: part.number, ETag: part.etag}));
  return builder.build({CompleteMultipartUpload: {Part: list}}) as string;
}

/** Whether the response means that the object does not exist. */
export function isAbsent(response: StoreResponse): boolean {
  return response.status === 404;
}

/** Throws StoreFailure if the status is not one of `expected`. */
export function checkStatus(
  response: StoreResponse,
  expected: readonly number[],
): void {
  const {status} = response;
  const code = status >= 300 ? findErrorCode(response) : '';
  if (expected.includes(status) && code !== BUCKET_ABSENT) return;
  const isBusy = code === 'SlowDown' || status === 429;
  throw new StoreFailure(`the object store answered ${status} ${code}`, {
    effect: status >= 500 && !isBusy ? 'unknown' : 'none',
    retryable: status >= 500 || isBusy || status === 408,
  });
}

/** Returns the error code of a response; empty if it has none. */
export function findErrorCode(response: StoreResponse): string {
  try {
    const text = response.body.toString('utf8');
    return errorSchema.parse(parser.parse(text)).Error.Code;
  } catch {
    return '';
  }
}

function parseXml<Schema extends z.ZodType>(
  response: StoreResponse,
  schema: Schema,
): z.infer<Schema> {
  const text = response.body.toString('utf8');
  try {
    // The parser closes open elements itself, so it accepts the start of a response.
    const checked = XMLValidator.validate(text);
    if (checked !== true) throw new Error(checked.err.msg);
    return schema.parse(parser.parse(text));
  } catch (cause) {
    const code = findErrorCode(response);
    throw new StoreFailure(`the object store sent no usable answer ${code}`, {
      effect: 'unknown',
      retryable: true,
      cause,
    });
  }
}
