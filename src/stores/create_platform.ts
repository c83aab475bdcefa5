/**
 * Connects to the platform of an instance's settings over its public protocols.
 */
import type {Clock} from '../common/clock.js';
import type {Metrics} from '../common/metrics.js';
import type {StateSource} from '../common/state_dump.js';
import type {Settings} from '../instance/settings.js';
import {
  OBJECT_ATTEMPT_TIMEOUT_MS,
  TABLE_ATTEMPT_TIMEOUT_MS,
} from './constants.js';
import {createDynamoTable} from './dynamo_table.js';
import {createHttpInstanceList} from './http_instance_list.js';
import {createHttpTransport} from './http_transport.js';
import type {Platform} from './platform.js';
import {createRetrier, type AttemptOutcome} from './retrier.js';
import {createS3Objects} from './s3_objects.js';
import {createSigner} from './signer.js';

/** A platform reached over the network. */
export interface ConnectedPlatform extends Platform, StateSource {
  /** Ends all connections. */
  close(): Promise<void>;
}

/** Dependencies of the adapters. `random` returns a number from 0 to 1. */
export interface PlatformDependencies {
  clock: Clock;
  metrics?: Metrics;
  random?: () => number;
}

/** Creates the adapters, which connect on first use. */
export function createPlatform(
  settings: Settings['platform'],
  {clock, metrics, random = Math.random}: PlatformDependencies,
): ConnectedPlatform {
  const attempts = metrics?.createCounter(
    'platform_attempts_total',
    'Tries of calls to the platform, by service (table, objects, instances) and outcome: answered, refused (an answer that no retry mends), failed (no answer, or told to come later), retried (a failed one is tried again), withheld (not sent, because the service is out).',
    ['service', 'outcome'],
  );
  const badEntries = metrics?.createCounter(
    'platform_bad_list_entries_total',
    'Entries of the instance list that broke its schema and were left out.',
  );
  const credentials = {
    accessKeyId: settings.access_key_id,
    secretAccessKey: settings.secret_access_key,
    region: settings.signing_region,
  };
  const tableTransport = createHttpTransport(TABLE_ATTEMPT_TIMEOUT_MS);
  const objectTransport = createHttpTransport(OBJECT_ATTEMPT_TIMEOUT_MS);

  const buildRetrier = (service: string) =>
    createRetrier({
      clock,
      random,
      listener: (outcome: AttemptOutcome) => attempts?.inc({service, outcome}),
    });
  const retriers = {
    table: buildRetrier('table'),
    objects: buildRetrier('objects'),
    instances: buildRetrier('instances'),
  };

  return {
    table: createDynamoTable({
      url: settings.table_url,
      table: settings.table,
      transport: tableTransport,
      signer: createSigner(credentials, 'dynamodb'),
      retrier: retriers.table,
    }),
    objects: createS3Objects({
      url: settings.object_url,
      bucket: settings.bucket,
      transport: objectTransport,
      signer: createSigner(credentials, 's3'),
      retrier: retriers.objects,
    }),
    instances: createHttpInstanceList({
      url: settings.instances_url,
      transport: tableTransport,
      retrier: retriers.instances,
      noteBadEntries: count => badEntries?.inc(count),
    }),
    describeState: () => ({
      out: Object.entries(retriers)
        .filter(([, retrier]) => retrier.isUnavailable())
        .map(([service]) => service),
    }),
    async close() {
      await Promise.all([tableTransport.close(), objectTransport.close()]);
    },
  };
}
