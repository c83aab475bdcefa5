/** The callers' interface to batch bundles. */
import {RouterError} from '../../common/errors.js';
import {authenticateCaller} from '../callers/admission.js';
import {IDEMPOTENCY_HEADER} from '../callers/constants.js';
import {
  parseJsonObject,
  readBody,
  respondJson,
} from '../callers/http_exchange.js';
import type {Route} from '../callers/routes.js';

const MAX_FILE_BYTES = 256 * 1024 ** 2;
const MAX_REQUEST_BYTES = 64 * 1024;

/** Routes of files and jobs. */
export const BATCH_ROUTES: readonly Route[] = [
  {
    method: 'POST',
    pattern: /^\/v1\/files$/,
    async handle(exchange, {keys, clock, batch}) {
      const owner = authenticateCaller(exchange.request, keys, clock.now());
      const body = await readBody(exchange.request, MAX_FILE_BYTES);
      respondJson(exchange, 200, await batch.createFile(owner, body));
    },
  },
  {
    method: 'POST',
    pattern: /^\/v1\/batches$/,
    async handle(exchange, {keys, clock, batch}) {
      const owner = authenticateCaller(exchange.request, keys, clock.now());
      const body = await readBody(exchange.request, MAX_REQUEST_BYTES);
      const {input_file_id: fileId} = parseJsonObject(body);
      const key = exchange.request.headers[IDEMPOTENCY_HEADER];
      if (typeof fileId !== 'string' || typeof key !== 'string') {
        throw new RouterError(
          'invalid_request',
          'send input_file_id and the header idempotency-key',
          {verdict: 'not-run', field: 'input_file_id'},
        );
      }
      respondJson(exchange, 200, await batch.createJob(owner, fileId, key));
    },
  },
  {
    method: 'GET',
    pattern: /^\/v1\/batches\/[^/]+$/,
    async handle(exchange, {keys, clock, batch}) {
      const owner = authenticateCaller(exchange.request, keys, clock.now());
      const jobId = exchange.path.split('/')[3];
      respondJson(exchange, 200, await batch.describeJob(owner, jobId));
    },
  },
  {
    method: 'GET',
    pattern: /^\/v1\/batches\/[^/]+\/output$/,
    async handle(exchange, {keys, clock, batch}) {
      const owner = authenticateCaller(exchange.request, keys, clock.now());
      const jobId = exchange.path.split('/')[3];
      exchange.response.end(await batch.readOutput(owner, jobId));
    },
  },
];
