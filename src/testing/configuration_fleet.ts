/**
 * A fleet on virtual time that runs only the configuration and the keys. The
 * instances poll one in-memory platform and call each other in process. A test
 * can disconnect an instance from the store, from its peers, or from both.
 */
import {waitFor} from '../common/clock.js';
import {createVirtualClock} from '../common/virtual_clock.js';
import {
  createConfiguration,
  type Configuration,
} from '../instance/configuration/configuration.js';
import {POLL_INTERVAL_MS} from '../instance/configuration/constants.js';
import {
  createPeerSync,
  type PeerSync,
} from '../instance/configuration/peer_sync.js';
import {decideConfidence} from '../instance/keys/confidence.js';
import {
  createKeyDirectory,
  type KeyDirectory,
} from '../instance/keys/key_directory.js';
import {StoreError, type TableStore} from '../stores/table_store.js';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '../stand_ins/platform/memory_platform.js';
import type {ListedInstance} from '../stores/instance_list.js';

/** Timeout of a call to a peer that is disconnected. */
const CALL_TIMEOUT_MS = 1500;

/** One instance of the fleet, with its simulated faults. */
export interface ConfiguredInstance {
  name: string;
  failureDomain: string;
  configuration: Configuration;
  keys: KeyDirectory;
  peerSync: PeerSync;
  /** Whether the instance is disconnected from the table store. */
  cutFromStore: boolean;
  /** Whether the instance is disconnected from every other instance. */
  cutFromPeers: boolean;
  /** Whether the other instances miss its heartbeats and suspect it. */
  isSuspected: boolean;
  /** Number of peer calls that the instance answered. */
  answeredPeerCalls: number;
}

/** A fleet with the controls for a test. */
export type ConfigurationFleet = ReturnType<typeof createConfigurationFleet>;

/** Starts one instance for each entry of `failureDomains`; entries may repeat. */
export function createConfigurationFleet(failureDomains: readonly string[]) {
  const clock = createVirtualClock(1_790_000_000_000);
  const platform: MemoryPlatform = createMemoryPlatform(clock);
  const instances: ConfiguredInstance[] = [];

  function buildListedInstance({
    name,
    failureDomain,
  }: ConfiguredInstance): ListedInstance {
    return {
      name,
      failureDomain,
      role: 'entry',
      address: '127.0.0.1:1',
      region: 'klang',
      state: 'live',
    };
  }

  function buildTable(isDisconnected: () => boolean): TableStore {
    const {table} = platform;
    const check = async () => {
      if (isDisconnected())
        throw new StoreError('instance is disconnected from the store', 'none');
    };
    return {
      get: async key => (await check(), table.get(key)),
      query: async (partition, range) => (
        await check(),
        table.query(partition, range)
      ),
      transact: async steps => (await check(), table.transact(steps)),
    };
  }

  async function fetchDocuments(
    from: ConfiguredInstance,
    to: ConfiguredInstance,
    {after, skip}: {after: number; skip: number},
  ) {
    if (from.cutFromPeers || to.cutFromPeers) {
      await waitFor(clock, CALL_TIMEOUT_MS);
      throw new Error('peer call timed out');
    }
    to.answeredPeerCalls++;
    const ageMs = clock.now() - to.peerSync.getConfirmedAt();
    return {
      ...to.configuration.exportDocuments(after, skip),
      confirmedMsAgo: Number.isFinite(ageMs) ? ageMs : null,
    };
  }

  /** Starts an instance that polls for the first time in `offsetMs`. */
  function startInstance(failureDomain: string, offsetMs: number) {
    const name = `entry-${instances.length + 1}`;
    const table = buildTable(() => instance.cutFromStore);
    const configuration = createConfiguration(table, {clock});
    const peerSync = createPeerSync({
      clock,
      self: name,
      failureDomain,
      isSuspected: other =>
        instances.some(one => one.name === other && one.isSuspected),
      configuration,
      listPeers: () =>
        instances.filter(one => one !== instance).map(buildListedInstance),
      fetchFromPeer: (peer, request) =>
        fetchDocuments(
          instance,
          instances.find(one => one.name === peer.name)!,
          request,
        ),
    });
    const keys = createKeyDirectory(configuration, now =>
      decideConfidence(
        {
          confirmedAt: peerSync.getConfirmedAt(),
          answers: peerSync.listAnswers(),
          failureDomains: peerSync.listFailureDomains(),
        },
        now,
      ),
    );
    const instance: ConfiguredInstance = {
      name,
      failureDomain,
      configuration,
      keys,
      peerSync,
      cutFromStore: false,
      cutFromPeers: false,
      isSuspected: false,
      answeredPeerCalls: 0,
    };
    instances.push(instance);
    const runRepeatedly = async (task: () => Promise<void>) => {
      await task().catch(() => {});
      clock.schedule(POLL_INTERVAL_MS, () => runRepeatedly(task));
    };
    clock.schedule(offsetMs, () => runRepeatedly(configuration.poll));
    clock.schedule(offsetMs, () => runRepeatedly(peerSync.poll));
    return instance;
  }

  failureDomains.forEach((domain, at) =>
    startInstance(domain, (at * 137) % POLL_INTERVAL_MS),
  );
  return {clock, platform, instances, startInstance};
}
