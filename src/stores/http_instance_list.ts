/**
 * Reads the platform's instance list over plain HTTP: GET returns a JSON array,
 * with an ETag if the platform supports it.
 */
import {gunzipSync} from 'node:zlib';
import * as z from 'zod';
import type {HttpTransport, StoreResponse} from './http_transport.js';
import {
  listedInstanceSchema,
  type InstanceList,
  type ListedInstance,
} from './instance_list.js';
import type {Retrier} from './retrier.js';
import {StoreFailure} from './store_failure.js';

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

/** Accepts unknown fields, which may be added to the list later. */
const entrySchema = z.object(listedInstanceSchema.shape);

/** Dependencies of the adapter. */
export interface HttpInstanceListDependencies {
  url: string;
  transport: HttpTransport;
  retrier: Retrier;
  /** Receives the number of invalid entries of a response. */
  noteBadEntries(count: number): void;
}

/** The latest list and the ETag of its version. */
interface CachedList {
  etag: string | undefined;
  listed: ListedInstance[];
}

/**
 * Reads the list. An entry that violates the schema is left out and counted, so
 * that one invalid entry does not hide all the others from the fleet.
 *
 * Each instance requests the list once a second. At 360 instances and 1,900
 * endpoints it is about 400 KB. Sent each time and uncompressed, it would be 30
 * times the bandwidth allowed for control traffic, and parsing it would take 1%
 * of a core. Therefore it is requested only if it has changed, and compressed.
 */
export function createHttpInstanceList({
  url,
  transport,
  retrier,
  noteBadEntries,
}: HttpInstanceListDependencies): InstanceList {
  let cached: CachedList = {etag: undefined, listed: []};

  async function fetchIfChanged(): Promise<StoreResponse> {
    const headers: Record<string, string> = {
      accept: 'application/json',
      'accept-encoding': 'gzip',
    };
    if (cached.etag !== undefined) headers['if-none-match'] = cached.etag;
    const answer = await transport.send({method: 'GET', url, headers});
    if (answer.status === STATUS_NOT_MODIFIED && cached.etag !== undefined) {
      return answer;
    }
    if (answer.status === STATUS_OK) return answer;
    throw buildListFailure(`the instance list answered ${answer.status}`);
  }

  function readList(answer: StoreResponse): ListedInstance[] {
    const entries = decodeEntries(answer);
    const parsed = entries.map(entry => entrySchema.safeParse(entry));
    const listed = parsed.flatMap(({data}): ListedInstance[] =>
      data ? [data] : [],
    );
    noteBadEntries(entries.length - listed.length);
    return listed;
  }

  return {
    async fetch() {
      const answer = await retrier.run(fetchIfChanged);
      if (answer.status === STATUS_OK) {
        cached = {etag: answer.headers.etag, listed: readList(answer)};
      }
      return cached.listed;
    },
  };
}

function decodeEntries({headers, body}: StoreResponse): unknown[] {
  try {
    const isGzipped = headers['content-encoding'] === 'gzip';
    const text = (isGzipped ? gunzipSync(body) : body).toString('utf8');
    return z.array(z.unknown()).parse(JSON.parse(text));
  } catch (cause) {
    throw buildListFailure('the instance list is no JSON array', cause);
  }
}

function buildListFailure(message: string, cause?: unknown): StoreFailure {
  return new StoreFailure(message, {effect: 'none', retryable: true, cause});
}
