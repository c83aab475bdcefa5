/** The object store's protocol (S3) over the objects in memory. */
import {XMLBuilder, XMLParser} from 'fast-xml-parser';
import * as z from 'zod';
import {generateId, hashText} from '../../common/ids.js';
import type {ObjectStore} from '../../stores/object_store.js';
import type {PreparedAnswer, ReceivedRequest} from './http_answers.js';
import {ThrottledError} from './platform_faults.js';

const builder = new XMLBuilder({});
const parser = new XMLParser({
  parseTagValue: false,
  isArray: name => name === 'Part',
});

/** Every part but the last has at least so many bytes. */
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

/** Answers requests of the object store's protocol. */
export type S3Route = (request: ReceivedRequest) => Promise<PreparedAnswer>;

/** Serves one bucket. */
export function createS3Route(objects: ObjectStore, bucket: string): S3Route {
  const uploads = new Map<string, OpenUpload>();

  async function listObjects(query: URLSearchParams): Promise<PreparedAnswer> {
    const names = await objects.list(
      query.get('prefix') ?? '',
      query.get('start-after') ?? '',
    );
    const Contents = names.map(name => ({Key: encodeURIComponent(name)}));
    return buildXml(200, {ListBucketResult: {Contents}});
  }

  async function getObject({
    request,
    name,
  }: ObjectRequest): Promise<PreparedAnswer> {
    const body = await objects.get(name);
    if (!body) return buildError(404, 'NoSuchKey');
    const etag = buildEtag(body);
    const wanted = request.headers['if-match'];
    if (wanted !== undefined && wanted !== etag) {
      return buildError(412, 'PreconditionFailed');
    }
    const range = /^bytes=(\d+)-(\d+)$/.exec(request.headers.range ?? '');
    if (!range) return {status: 200, headers: {etag}, body};
    const [start, last] = [Number(range[1]), Number(range[2])];
    if (start >= body.length) return buildError(416, 'InvalidRange');
    return {status: 206, headers: {etag}, body: body.subarray(start, last + 1)};
  }

  async function putObject({
    request,
    name,
    query,
  }: ObjectRequest): Promise<PreparedAnswer> {
    const uploadId = query.get('uploadId');
    if (uploadId !== null) return putPart(request, query, uploadId);
    await objects.put(name, request.body);
    return {status: 200, headers: {etag: buildEtag(request.body)}};
  }

  async function putPart(
    request: ReceivedRequest,
    query: URLSearchParams,
    uploadId: string,
  ): Promise<PreparedAnswer> {
    const upload = uploads.get(uploadId);
    if (!upload) return buildError(404, 'NoSuchUpload');
    // An append elsewhere passes the write through the same faults.
    await (await objects.openUpload(upload.name)).cancel();
    upload.parts.set(Number(query.get('partNumber')), request.body);
    return {status: 200, headers: {etag: buildEtag(request.body)}};
  }

  async function openUpload(name: string): Promise<PreparedAnswer> {
    await (await objects.openUpload(name)).cancel();
    const UploadId = generateId('upload');
    uploads.set(UploadId, {name, parts: new Map()});
    return buildXml(200, {InitiateMultipartUploadResult: {UploadId}});
  }

  async function finishUpload(
    uploadId: string,
    body: Buffer,
  ): Promise<PreparedAnswer> {
    const upload = uploads.get(uploadId);
    if (!upload) return buildError(404, 'NoSuchUpload');
    const {Part} = completionSchema.parse(
      parser.parse(body.toString('utf8')),
    ).CompleteMultipartUpload;
    const parts: Buffer[] = [];
    for (const {PartNumber, ETag} of Part) {
      const part = upload.parts.get(PartNumber);
      if (!part || buildEtag(part) !== ETag) {
        return buildError(400, 'InvalidPart');
      }
      parts.push(part);
    }
    if (parts.slice(0, -1).some(part => part.length < MIN_PART_BYTES)) {
      return buildError(400, 'EntityTooSmall');
    }
    const whole = Buffer.concat(parts);
    try {
      await objects.put(upload.name, whole);
    } finally {
      if (await hasObject(upload.name, whole)) uploads.delete(uploadId);
    }
    const ETag = buildEtag(whole);
    return buildXml(200, {CompleteMultipartUploadResult: {ETag}});
  }

  /** Whether a put whose answer is to be lost took effect. */
  async function hasObject(name: string, body: Buffer): Promise<boolean> {
    const held = await objects.get(name).catch(() => undefined);
    return held?.equals(body) ?? false;
  }

  async function handlePost({
    request,
    name,
    query,
  }: ObjectRequest): Promise<PreparedAnswer> {
    if (query.has('uploads')) return openUpload(name);
    return finishUpload(query.get('uploadId') ?? '', request.body);
  }

  async function deleteObject({
    name,
    query,
  }: ObjectRequest): Promise<PreparedAnswer> {
    const uploadId = query.get('uploadId');
    if (uploadId === null) await objects.delete(name);
    else if (!uploads.delete(uploadId)) return buildError(404, 'NoSuchUpload');
    return {status: 204};
  }

  const methods: Record<
    string,
    (request: ObjectRequest) => Promise<PreparedAnswer>
  > = {
    GET: getObject,
    HEAD: getObject,
    PUT: putObject,
    POST: handlePost,
    DELETE: deleteObject,
  };

  return async request => {
    const [wanted, ...path] = request.url.pathname.slice(1).split('/');
    if (wanted !== bucket) return buildError(404, 'NoSuchBucket');
    const name = path.map(decodeURIComponent).join('/');
    const query = request.url.searchParams;
    try {
      if (name === '') return await listObjects(query);
      const handle = methods[request.method];
      if (!handle) return buildError(405, 'MethodNotAllowed');
      return await handle({request, name, query});
    } catch (error) {
      if (error instanceof ThrottledError) return buildError(503, 'SlowDown');
      throw error;
    }
  };
}

function buildEtag(body: Buffer): string {
  return `"${hashText(body).slice(0, 32)}"`;
}

function buildXml(status: number, value: object): PreparedAnswer {
  return {
    status,
    headers: {'content-type': 'application/xml'},
    body: builder.build(value) as string,
  };
}

function buildError(status: number, code: string): PreparedAnswer {
  return buildXml(status, {Error: {Code: code, Message: code}});
}
