/** The platform's instance list over plain HTTP: GET answers a JSON array. */
import {z} from 'zod';
import type {HttpTransport} from './http_transport.js';
import {
  listedInstanceSchema,
  type InstanceList,
  type ListedInstance,
} from './instance_list.js';
import type {Retrier} from './retrier.js';
import {StoreFailure} from './store_failure.js';

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

/**
 * Reads the list. An entry that breaks the schema is left out and counted: one
 * bad entry must not make the fleet blind for all the others.
 */
export function createHttpInstanceList({
  url,
  transport,
  retrier,
  noteBadEntries,
}: HttpInstanceListDependencies): InstanceList {
  async function fetchEntries(): Promise<unknown[]> {
    const headers = {accept: 'application/json'};
    const answer = await transport.send({method: 'GET', url, headers});
    if (answer.status !== 200) {
      throw failList(`the instance list answered ${answer.status}`);
    }
    try {
      return z
        .array(z.unknown())
        .parse(JSON.parse(answer.body.toString('utf8')));
    } catch (cause) {
      throw failList('the instance list is no JSON array', cause);
    }
  }

  return {
    async fetch() {
      const entries = await retrier.run(fetchEntries);
      const parsed = entries.map(entry => entrySchema.safeParse(entry));
      const listed = parsed.flatMap(({data}): ListedInstance[] =>
        data ? [data] : [],
      );
      noteBadEntries(entries.length - listed.length);
      return listed;
    },
  };
}

function failList(message: string, cause?: unknown): StoreFailure {
  return new StoreFailure(message, {effect: 'none', retryable: true, cause});
}
