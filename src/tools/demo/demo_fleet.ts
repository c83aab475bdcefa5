/** Starts 3 instances, 12 endpoints and the platform in one process, for the demo. */
import {createSystemClock} from '../../common/clock.js';
import {createSilentLog} from '../../common/log.js';
import {applyServiceDocument} from '../../instance/configuration/configuration.js';
import {startInstance, type Instance} from '../../instance/instance.js';
import {giveKey} from '../../instance/keys/key_directory.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {startEngineServer} from '../../stand_ins/engine/engine_server.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {makeEndpoint, makeSettings} from '../../testing/fixtures.js';

const INSTANCES = 3;
const ENDPOINTS = 12;
const FAILURE_DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];

const ENGINE_TIMING = {
  tokens: 12,
  firstTokenMs: 60,
  betweenTokensMs: 20,
  stepMsPerStream: 0.5,
};

/** The document of the demo's service. */
const DOCUMENT = `[service]
name = drum-reader
kind = model-engine
models = drum-reader-7b

[endpoint]
max_concurrency = 4

[account.gate]
rate = 100/s
burst = 100
weight = 2

[account.planner]
rate = 50/s
burst = 50
`;

/** The running fleet of the demo. */
export interface DemoFleet {
  instances: Instance[];
  keys: {gate: string; gateSpare: string; gateSpareId: string; planner: string};
  withdrawKey(keyId: string): Promise<unknown>;
  stop(): Promise<void>;
}

/** Starts everything on free ports of loopback. */
export async function startDemoFleet(
  withdrawKey: (
    table: ReturnType<typeof createMemoryPlatform>['table'],
    keyId: string,
  ) => Promise<unknown>,
): Promise<DemoFleet> {
  const platform = createMemoryPlatform();
  const engines = await Promise.all(
    Array.from({length: ENDPOINTS}, () => startEngineServer(ENGINE_TIMING)),
  );
  const endpoints = engines.map(({address}, index) =>
    makeEndpoint(address, {failureDomain: pickDomain(index)}),
  );
  platform.setInstances(endpoints);
  await applyServiceDocument(platform.table, DOCUMENT, 'demo');
  const gate = await giveKey(platform.table, 'gate');
  const spare = await giveKey(platform.table, 'gate');
  const planner = await giveKey(platform.table, 'planner');
  const instances: Instance[] = [];
  const entries: ListedInstance[] = [];
  for (let index = 0; index < INSTANCES; index++) {
    const name = `entry-${index + 1}`;
    const instance = await startInstance({
      settings: makeSettings(name),
      platform,
      clock: createSystemClock(),
      log: createSilentLog(),
    });
    instances.push(instance);
    entries.push({
      ...makeEndpoint(instance.peersAddress),
      name,
      role: 'entry',
      service: undefined,
      failureDomain: pickDomain(index),
    });
    platform.setInstances([...entries, ...endpoints]);
  }
  return {
    instances,
    keys: {
      gate: gate.secret,
      gateSpare: spare.secret,
      gateSpareId: spare.keyId,
      planner: planner.secret,
    },
    withdrawKey: keyId => withdrawKey(platform.table, keyId),
    async stop() {
      await Promise.all(instances.map(instance => instance.stop()));
      await Promise.all(engines.map(engine => engine.stop()));
    },
  };
}

function pickDomain(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
}
