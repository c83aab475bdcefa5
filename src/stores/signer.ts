/** Signs requests to the platform (AWS signature, version 4). */
import {AwsV4Signer} from 'aws4fetch';
import {hashText} from '../common/ids.js';
import type {StoreRequest} from './http_transport.js';

/** Who signs, and for which region. */
export interface Credentials {
  accessKeyId: string;
  secretAccessKey: string;
  region: string;
}

/** Signs a request for one service. */
export type Signer = (request: StoreRequest) => Promise<StoreRequest>;

/** `service` is the name that the signature is made for. */
export function createSigner(
  credentials: Credentials,
  service: 'dynamodb' | 's3',
): Signer {
  const cache = new Map<string, ArrayBuffer>();
  return async request => {
    const signer = new AwsV4Signer({
      ...credentials,
      service,
      cache,
      url: request.url,
      method: request.method,
      headers: {
        ...request.headers,
        'x-amz-content-sha256': hashText(request.body ?? ''),
      },
    });
    const signed = await signer.sign();
    return {
      ...request,
      url: signed.url.toString(),
      headers: Object.fromEntries(signed.headers),
    };
  };
}
