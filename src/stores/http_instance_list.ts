/**
 * The platform's instance list over plain HTTP: GET answers a JSON array, with
 * an ETag where the platform gives one.
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

/** Fields added to the list later do no harm. */
const entrySchema = z.object(listedInstanceSchema.shape);

/** What the adapter works with. */
export interface HttpInstanceListDependencies {
  url: string;
  transport: HttpTransport;
  retrier: Retrier;
  /** Told how many entries of an answer could not be used. */
  noteBadEntries(count: number): void;
}

/** The newest list, and what the platform calls that version of it. */
interface KnownList {
  etag: string | undefined;
  listed: ListedInstance[];
}

/**
 * Reads the list. An entry that breaks the schema is left out and counted: one
 * bad entry must not make the fleet blind for all the others.
 *
 * Each instance asks once a second. At 360 instances and 1,900 endpoints the
 * list is about 400 KB: whole and in the clear it would be thirty times what
 * control may send, and reading it 1% of a core. So it is asked for only if it
 * has changed, and compressed.
 */
export function createHttpInstanceList({
  url,
  transport,
  retrier,
  noteBadEntries,
}: HttpInstanceListDependencies): InstanceList {
  let known: KnownList = {etag: undefined, listed: []};

  async function fetchChanged(): Promise<StoreResponse> {
    const headers: Record<string, string> = {
      accept: 'application/json',
      'accept-encoding': 'gzip',
    };
    if (known.etag !== undefined) headers['if-none-match'] = known.etag;
    const answer = await transport.send({method: 'GET', url, headers});
    if (answer.status === STATUS_NOT_MODIFIED && known.etag !== undefined) {
      return answer;
    }
    if (answer.status === STATUS_OK) return answer;
    throw failList(`the instance list answered ${answer.status}`);
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
      const answer = await retrier.run(fetchChanged);
      if (answer.status === STATUS_OK) {
        known = {etag: answer.headers.etag, listed: readList(answer)};
      }
      return known.listed;
    },
  };
}

function decodeEntries({headers, body}: StoreResponse): unknown[] {
  try {
    const isZipped = headers['content-encoding'] === 'gzip';
    const text = (isZipped ? gunzipSync(body) : body).toString('utf8');
    return z.array(z.unknown()).parse(JSON.parse(text));
  } catch (cause) {
    throw failList('the instance list is no JSON array', cause);
  }
}

function failList(message: string, cause?: unknown): StoreFailure {
  return new StoreFailure(message, {effect: 'none', retryable: true, cause});
}
