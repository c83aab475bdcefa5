/** Signs requests to the platform (AWS Signature Version 4). */
import {AwsV4Signer} from 'aws4fetch';
import {hashText} from '../common/ids.js';
import type {StoreRequest} from './http_transport.js';

/** The access key, and the region it signs for. */
export interface Credentials {
  accessKeyId: string;
  secretAccessKey: string;
  region: string;
}

/** Signs a request for one service. */
export type Signer = (request: StoreRequest) => Promise<StoreRequest>;

/** `service` is the service name in the signature. */
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
