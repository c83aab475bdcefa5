/** Serves the instance list over HTTP, with an ETag and optional compression. */
import {gzipSync} from 'node:zlib';
import {hashText} from '../../common/ids.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {PreparedResponse, ReceivedRequest} from './http_messages.js';

/** Builds the response; 304 if the client already has this version. */
export function buildListResponse(
  {headers}: ReceivedRequest,
  list: readonly ListedInstance[],
): PreparedResponse {
  const text = JSON.stringify(list);
  const etag = `"${hashText(text).slice(0, 16)}"`;
  if (headers['if-none-match'] === etag) return {status: 304, headers: {etag}};
  const plain = {'content-type': 'application/json', etag};
  if (!headers['accept-encoding']?.includes('gzip')) {
    return {status: 200, headers: plain, body: text};
  }
  return {
    status: 200,
    headers: {...plain, 'content-encoding': 'gzip'},
    body: gzipSync(text),
  };
}
