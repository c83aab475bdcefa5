/**
 * A fleet of which only configuration and keys run, on virtual time: one
 * platform in memory, instances that poll it and ask each other in process,
 * and cuts between any of them.
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

/** A call to a peer that is cut off is given up after so long. */
const CALL_TIMEOUT_MS = 1500;

/** One instance of the fleet, with its cuts. */
export interface ConfiguredInstance {
  name: string;
  failureDomain: string;
  configuration: Configuration;
  keys: KeyDirectory;
  peerSync: PeerSync;
  /** Cut off from the table. */
  cutFromStore: boolean;
  /** Cut off from every other instance. */
  cutFromPeers: boolean;
  /** Found silent by the others' heartbeats. */
  isSuspected: boolean;
  /** Calls it answered to peers. */
  asked: number;
}

/** A fleet with its controls. */
export type ConfigurationFleet = ReturnType<typeof createConfigurationFleet>;

/** One instance in each of `failureDomains`, which may repeat. */
export function createConfigurationFleet(failureDomains: readonly string[]) {
  const clock = createVirtualClock(1_790_000_000_000);
  const platform: MemoryPlatform = createMemoryPlatform(clock);
  const instances: ConfiguredInstance[] = [];

  function describeListed({
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

  function buildGuarded(isCut: () => boolean): TableStore {
    const {table} = platform;
    const check = async () => {
      if (isCut()) throw new StoreError('cut off', 'none');
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

  async function askPeer(
    from: ConfiguredInstance,
    to: ConfiguredInstance,
    {after, skip}: {after: number; skip: number},
  ) {
    if (from.cutFromPeers || to.cutFromPeers) {
      await waitFor(clock, CALL_TIMEOUT_MS);
      throw new Error('no answer');
    }
    to.asked++;
    const age = clock.now() - to.peerSync.getConfirmedAt();
    return {
      ...to.configuration.exportDocuments(after, skip),
      confirmedMsAgo: Number.isFinite(age) ? age : null,
    };
  }

  /** Starts an instance whose polls begin `offsetMs` from now. */
  function startInstance(failureDomain: string, offsetMs: number) {
    const name = `entry-${instances.length + 1}`;
    const table = buildGuarded(() => instance.cutFromStore);
    const configuration = createConfiguration(table, {clock});
    const peerSync = createPeerSync({
      clock,
      self: name,
      failureDomain,
      isSuspected: other =>
        instances.some(one => one.name === other && one.isSuspected),
      configuration,
      listPeers: () =>
        instances.filter(one => one !== instance).map(describeListed),
      fetchFromPeer: (peer, request) =>
        askPeer(
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
      asked: 0,
    };
    instances.push(instance);
    const repeat = async (task: () => Promise<void>) => {
      await task().catch(() => {});
      clock.schedule(POLL_INTERVAL_MS, () => repeat(task));
    };
    clock.schedule(offsetMs, () => repeat(configuration.poll));
    clock.schedule(offsetMs, () => repeat(peerSync.poll));
    return instance;
  }

  failureDomains.forEach((domain, at) =>
    startInstance(domain, (at * 137) % POLL_INTERVAL_MS),
  );
  return {clock, platform, instances, startInstance};
}
