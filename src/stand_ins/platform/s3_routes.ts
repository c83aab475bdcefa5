/** Serves the in-memory object store over its protocol, S3. */
import {XMLBuilder, XMLParser} from 'fast-xml-parser';
import * as z from 'zod';
import {generateId, hashText} from '../../common/ids.js';
import type {ObjectStore} from '../../stores/object_store.js';
import type {PreparedResponse, ReceivedRequest} from './http_messages.js';
import {ThrottledError} from './platform_faults.js';

const builder = new XMLBuilder({});
const parser = new XMLParser({
  parseTagValue: false,
  isArray: name => name === 'Part',
});

/** Minimum size of every part except the last. */
const MIN_PART_BYTES = 5 * 1024 * 1024;

const completionSchema = z.object({
  CompleteMultipartUpload: z.object({
    Part: z.array(z.object({PartNumber: z.coerce.number(), ETag: z.string()})),
  }),
});

interface OpenUpload {
  name: string;
  parts: Map<number, Buffer>;
}

interface ObjectRequest {
  request: ReceivedRequest;
  name: string;
  query: URLSearchParams;
}

/** Handles requests of the object store's protocol. */
export type S3Route = (request: ReceivedRequest) => Promise<PreparedResponse>;

/** Creates the route of one bucket. */
export function createS3Route(objects: ObjectStore, bucket: string): S3Route {
  const uploads = new Map<string, OpenUpload>();

  async function listObjects(
    query: URLSearchParams,
  ): Promise<PreparedResponse> {
    const names = await objects.list(
      query.get('prefix') ?? '',
      query.get('start-after') ?? '',
    );
    const Contents = names.map(name => ({Key: encodeURIComponent(name)}));
    return buildXmlResponse(200, {ListBucketResult: {Contents}});
  }

  async function getObject({
    request,
    name,
  }: ObjectRequest): Promise<PreparedResponse> {
    const body = await objects.get(name);
    if (!body) return buildErrorResponse(404, 'NoSuchKey');
    const etag = buildEtag(body);
    const expectedEtag = request.headers['if-match'];
    if (expectedEtag !== undefined && expectedEtag !== etag) {
      return buildErrorResponse(412, 'PreconditionFailed');
    }
    const range = /^bytes=(\d+)-(\d+)$/.exec(request.headers.range ?? '');
    if (!range) return {status: 200, headers: {etag}, body};
    const [start, last] = [Number(range[1]), Number(range[2])];
    if (start >= body.length) return buildErrorResponse(416, 'InvalidRange');
    const part = body.subarray(start, last + 1);
    const end = start + part.length - 1;
    const headers = {
      etag,
      'content-range': `bytes ${start}-${end}/${body.length}`,
    };
    return {status: 206, headers, body: part};
  }

  async function putObject({
    request,
    name,
    query,
  }: ObjectRequest): Promise<PreparedResponse> {
    const uploadId = query.get('uploadId');
    if (uploadId !== null) return putPart(request, query, uploadId);
    await objects.put(name, request.body);
    return {status: 200, headers: {etag: buildEtag(request.body)}};
  }

  async function putPart(
    request: ReceivedRequest,
    query: URLSearchParams,
    uploadId: string,
  ): Promise<PreparedResponse> {
    const upload = uploads.get(uploadId);
    if (!upload) return buildErrorResponse(404, 'NoSuchUpload');
    // Opening and cancelling an upload subjects the part to the faults of a write.
    await (await objects.openUpload(upload.name)).cancel();
    upload.parts.set(Number(query.get('partNumber')), request.body);
    return {status: 200, headers: {etag: buildEtag(request.body)}};
  }

  async function openUpload(name: string): Promise<PreparedResponse> {
    await (await objects.openUpload(name)).cancel();
    const UploadId = generateId('upload');
    uploads.set(UploadId, {name, parts: new Map()});
    return buildXmlResponse(200, {InitiateMultipartUploadResult: {UploadId}});
  }

  async function finishUpload(
    uploadId: string,
    body: Buffer,
  ): Promise<PreparedResponse> {
    const upload = uploads.get(uploadId);
    if (!upload) return buildErrorResponse(404, 'NoSuchUpload');
    const {Part} = completionSchema.parse(
      parser.parse(body.toString('utf8')),
    ).CompleteMultipartUpload;
    const parts: Buffer[] = [];
    for (const {PartNumber, ETag} of Part) {
      const part = upload.parts.get(PartNumber);
      if (!part || buildEtag(part) !== ETag) {
        return buildErrorResponse(400, 'InvalidPart');
      }
      parts.push(part);
    }
    if (parts.slice(0, -1).some(part => part.length < MIN_PART_BYTES)) {
      return buildErrorResponse(400, 'EntityTooSmall');
    }
    const completeBody = Buffer.concat(parts);
    try {
      await objects.put(upload.name, completeBody);
    } finally {
      if (await hasObject(upload.name, completeBody)) uploads.delete(uploadId);
    }
    const ETag = buildEtag(completeBody);
    return buildXmlResponse(200, {CompleteMultipartUploadResult: {ETag}});
  }

  /** Returns whether a put took effect, even if its response was lost. */
  async function hasObject(name: string, body: Buffer): Promise<boolean> {
    const storedBody = await objects.get(name).catch(() => undefined);
    return storedBody?.equals(body) ?? false;
  }

  async function handlePost({
    request,
    name,
    query,
  }: ObjectRequest): Promise<PreparedResponse> {
    if (query.has('uploads')) return openUpload(name);
    return finishUpload(query.get('uploadId') ?? '', request.body);
  }

  async function deleteObject({
    name,
    query,
  }: ObjectRequest): Promise<PreparedResponse> {
    const uploadId = query.get('uploadId');
    if (uploadId === null) await objects.delete(name);
    else if (!uploads.delete(uploadId))
      return buildErrorResponse(404, 'NoSuchUpload');
    return {status: 204};
  }

  const methods: Record<
    string,
    (request: ObjectRequest) => Promise<PreparedResponse>
  > = {
    GET: getObject,
    HEAD: getObject,
    PUT: putObject,
    POST: handlePost,
    DELETE: deleteObject,
  };

  return async request => {
    const [requestedBucket, ...path] = request.url.pathname.slice(1).split('/');
    if (requestedBucket !== bucket)
      return buildErrorResponse(404, 'NoSuchBucket');
    const name = path.map(decodeURIComponent).join('/');
    const query = request.url.searchParams;
    try {
      if (name === '') return await listObjects(query);
      const handle = methods[request.method];
      if (!handle) return buildErrorResponse(405, 'MethodNotAllowed');
      return await handle({request, name, query});
    } catch (error) {
      if (error instanceof ThrottledError)
        return buildErrorResponse(503, 'SlowDown');
      throw error;
    }
  };
}

function buildEtag(body: Buffer): string {
  return `"${hashText(body).slice(0, 32)}"`;
}

function buildXmlResponse(status: number, value: object): PreparedResponse {
  return {
    status,
    headers: {'content-type': 'application/xml'},
    body: builder.build(value) as string,
  };
}

function buildErrorResponse(status: number, code: string): PreparedResponse {
  return buildXmlResponse(status, {Error: {Code: code, Message: code}});
}
