/**
 * The service documents and keys in force on this instance, read from the
 * platform's table, or from peers while the table gives no answer. A version
 * never goes back: an older one read late is ignored.
 */
import {createSystemClock, type Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {TableStore} from '../../stores/table_store.js';
import {fetchUpdate} from './change_log.js';
import type {KeyChange, Update} from './changes.js';
import {STORE_REACHABLE_MS} from './constants.js';
import {
  createFleetState,
  type FleetState,
  type VersionedDocument,
} from './fleet_state.js';

export type {VersionedDocument} from './fleet_state.js';
export {applyServiceDocument, type ApplyOutcome} from './apply_document.js';

/** The documents in force here, and the keys. */
export interface Configuration extends StateSource {
  find(service: string): VersionedDocument | undefined;
  list(): VersionedDocument[];
  findKey(keyHash: string): KeyChange | undefined;
  /** Reads the table once; throws StoreError when it gives no answer. */
  poll(): Promise<void>;
  /** Number of the last change that is in force here; 0 before the first read. */
  describeGeneration(): number;
  /** Monotonic time by which the table's content is known; -Infinity at first. */
  getStoreConfirmedAt(): number;
  /** Whether the table answered the last poll. */
  isStoreReachable(now: number): boolean;
  /** Takes in what a peer passed on. */
  importDocuments(update: Update): void;
  /** What brings a peer from its generation to this one, in parts. */
  exportDocuments: FleetState['exportUpdate'];
  /** What an operator who waits for a change asks. */
  describeView(): ConfigurationView;
}

/** The view of one instance. */
export interface ConfigurationView {
  generation: number;
  /** Versions in force, by service. */
  documents: Record<string, number>;
  /** Newer documents that the instance could not read. */
  rejections: {service: string; version: number; message: string}[];
}

/** What configuration works with beside the table; all have defaults. */
export interface ConfigurationOptions {
  clock?: Clock;
  metrics?: Metrics;
}

/** Starts without any document; `poll` brings them in. */
export function createConfiguration(
  table: TableStore,
  {clock = createSystemClock(), metrics}: ConfigurationOptions = {},
): Configuration {
  const state = createFleetState();
  let storeConfirmedAt = -Infinity;
  const generationGauge = metrics?.createGauge(
    'configuration_generation',
    'Number of the last change of documents and keys that is in force on this instance.',
  );
  const rejectionGauge = metrics?.createGauge(
    'configuration_rejected_documents',
    'Service documents whose newest version this instance could not read, so that an older one is in force.',
  );

  function importUpdate(update: Update) {
    state.importUpdate(update);
    generationGauge?.set(state.getGeneration());
    rejectionGauge?.set(state.listRejections().length);
  }

  function describeView(): ConfigurationView {
    const documents = state
      .listDocuments()
      .map(({version, document}) => [document.service.name, version] as const);
    return {
      generation: state.getGeneration(),
      documents: Object.fromEntries(documents),
      rejections: state.listRejections(),
    };
  }

  return {
    find: service => state.findDocument(service),
    list: () => state.listDocuments(),
    findKey: keyHash => state.findKey(keyHash),
    async poll() {
      const askedAt = clock.now();
      importUpdate(await fetchUpdate(table, state.getGeneration()));
      storeConfirmedAt = Math.max(storeConfirmedAt, askedAt);
    },
    describeGeneration: () => state.getGeneration(),
    getStoreConfirmedAt: () => storeConfirmedAt,
    isStoreReachable: now => now - storeConfirmedAt <= STORE_REACHABLE_MS,
    importDocuments: importUpdate,
    exportDocuments: (after, skip) => state.exportUpdate(after, skip),
    describeView,
    describeState: () => ({
      ...describeView(),
      keys: state.countKeys(),
      storeConfirmedMsAgo: Math.round(clock.now() - storeConfirmedAt),
    }),
  };
}
