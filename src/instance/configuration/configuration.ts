/**
 * The service documents and keys that are active on this instance, read from
 * the platform's table, or from peers while the table does not answer. Versions
 * never decrease: an older one that is read late is ignored.
 */
import {createSystemClock, type Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {TableStore} from '../../stores/table_store.js';
import {fetchUpdate} from './change_log.js';
import type {KeyChange, ConfigurationUpdate} from './changes.js';
import {STORE_REACHABLE_MS} from './constants.js';
import {
  createConfigurationState,
  type ConfigurationState,
  type VersionedDocument,
} from './configuration_state.js';

export type {VersionedDocument} from './configuration_state.js';
export {applyServiceDocument, type ApplyOutcome} from './apply_document.js';

/** The active documents and keys of this instance. */
export interface Configuration extends StateSource {
  find(service: string): VersionedDocument | undefined;
  list(): VersionedDocument[];
  findKey(keyHash: string): KeyChange | undefined;
  /** Reads the table once. Throws StoreError if it does not answer. */
  poll(): Promise<void>;
  /** Generation of the last change applied here; 0 before the first read. */
  getGeneration(): number;
  /**
   * Monotonic time as of which the table's content is known; -Infinity before
   * the first read.
   */
  getStoreConfirmedAt(): number;
  /** Whether the table answered recently. */
  isStoreReachable(now: number): boolean;
  /** Applies an update, for example one that a peer relayed. */
  importDocuments(update: ConfigurationUpdate): void;
  /**
   * Returns, in parts, the changes that a peer needs to reach this generation.
   */
  exportDocuments: ConfigurationState['exportUpdate'];
  /**
   * The view that an operator's command fetches while it waits for a change.
   */
  describeView(): ConfigurationView;
}

/** The configuration state of one instance, as reported to operators. */
export interface ConfigurationView {
  generation: number;
  /** Active version of each service document. */
  documents: Record<string, number>;
  /** Newer documents that the instance could not read. */
  rejections: {service: string; version: number; message: string}[];
}

/** Dependencies of the configuration besides the table. All have defaults. */
export interface ConfigurationOptions {
  clock?: Clock;
  metrics?: Metrics;
}

/** Creates a configuration without documents. `poll` reads them. */
export function createConfiguration(
  table: TableStore,
  {clock = createSystemClock(), metrics}: ConfigurationOptions = {},
): Configuration {
  const state = createConfigurationState();
  let storeConfirmedAt = -Infinity;
  const generationGauge = metrics?.createGauge(
    'configuration_generation',
    'Number of the last change of documents and keys that is in force on this instance.',
  );
  const rejectionGauge = metrics?.createGauge(
    'configuration_rejected_documents',
    'Service documents whose newest version this instance could not read, so that an older one is in force.',
  );

  function importUpdate(update: ConfigurationUpdate) {
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
    getGeneration: () => state.getGeneration(),
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
