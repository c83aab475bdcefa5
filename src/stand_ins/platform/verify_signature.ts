/** Verifies the signature of a request to the platform stand-in. */
import {timingSafeEqual} from 'node:crypto';
import {AwsV4Signer} from 'aws4fetch';
import {hashText} from '../../common/ids.js';
import type {ReceivedRequest} from './http_messages.js';

/** Credentials of the only client that the stand-in accepts. */
export interface KnownCredentials {
  accessKeyId: string;
  secretAccessKey: string;
}

const AUTHORIZATION =
  /^AWS4-HMAC-SHA256 Credential=([^/]+)\/\d+\/([^/]+)\/([^/]+)\/aws4_request, SignedHeaders=([^,]+), Signature=[0-9a-f]+$/;

/** Returns whether the request and its body were signed with the known secret. */
export async function verifySignature(
  request: ReceivedRequest,
  known: KnownCredentials,
): Promise<boolean> {
  const given = request.headers.authorization ?? '';
  const match = AUTHORIZATION.exec(given);
  if (!match || match[1] !== known.accessKeyId) return false;
  const [, , region, service, signedHeaders] = match;
  if (request.headers['x-amz-content-sha256'] !== hashText(request.body)) {
    return false;
  }
  const names = signedHeaders.split(';').filter(name => name !== 'host');
  const headers = names.map(name => [name, request.headers[name] ?? '']);
  const signer = new AwsV4Signer({
    ...known,
    service,
    region,
    method: request.method,
    url: request.url.toString(),
    headers: Object.fromEntries(headers),
    datetime: request.headers['x-amz-date'],
  });
  const expected = Buffer.from(await signer.authHeader());
  const actual = Buffer.from(given);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
