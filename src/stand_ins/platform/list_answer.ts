/** The instance list as HTTP answers it: by ETag, and compressed on request. */
import {gzipSync} from 'node:zlib';
import {hashText} from '../../common/ids.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {PreparedAnswer, ReceivedRequest} from './http_answers.js';

/** 304 when the asker has this version already. */
export function buildListAnswer(
  {headers}: ReceivedRequest,
  list: readonly ListedInstance[],
): PreparedAnswer {
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
