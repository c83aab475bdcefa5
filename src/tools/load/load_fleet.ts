/**
 * Starts instances and endpoints as child processes, and the platform stand-in in this
 * process.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {applyServiceDocument} from '../../instance/configuration/configuration.js';
import {giveKey} from '../../instance/keys/key_directory.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {
  startPlatformServer,
  type PlatformServer,
} from '../../stand_ins/platform/platform_server.js';
import {startChild, type Child} from './child.js';
import {ENGINE, FAILURE_DOMAINS, MODEL} from './constants.js';

/** An instance of the run. */
export interface LoadInstance {
  name: string;
  child: Child;
  callersAddress: string;
  operatorsAddress: string;
}

/** Size of a fleet. */
export interface FleetShape {
  instances: number;
  endpoints: number;
  maxConcurrency: number;
  /** Rate of each client account, in requests per second; its burst is the same number. */
  accountRates: Record<string, number>;
}

/** The running fleet with its platform. */
export interface LoadFleet {
  platform: PlatformServer;
  instances: LoadInstance[];
  engines: Child[];
  /** Key of each client account. */
  keys: Record<string, string>;
  /** Ends all processes that still run; resolves with the instances' exit codes. */
  stop(): Promise<(number | null)[]>;
}

/** Starts the fleet and its platform on free ports of loopback. */
export async function startLoadFleet(shape: FleetShape): Promise<LoadFleet> {
  const platform = await startPlatformServer();
  const folder = await mkdtemp(join(tmpdir(), 'mulberryrouter-load-'));
  const engines = await startEngines(platform, shape.endpoints);
  const {table} = platform.platform;
  await applyServiceDocument(table, buildDocument(shape), 'load');
  const keys: Record<string, string> = {};
  for (const account of Object.keys(shape.accountRates)) {
    keys[account] = (await giveKey(table, account)).secret;
  }
  const instances = await Promise.all(
    Array.from({length: shape.instances}, (_, index) =>
      startInstanceProcess(platform, folder, index),
    ),
  );
  return {
    platform,
    instances,
    engines,
    keys,
    async stop() {
      for (const {child} of instances) child.signal('SIGTERM');
      const codes = await Promise.all(instances.map(({child}) => child.exited));
      for (const engine of engines) {
        engine.signal('SIGCONT');
        engine.signal('SIGTERM');
      }
      await platform.close();
      await rm(folder, {recursive: true, force: true});
      return codes;
    },
  };
}

async function startEngines(
  platform: PlatformServer,
  count: number,
): Promise<Child[]> {
  const engines = await Promise.all(
    Array.from({length: count}, () =>
      startChild(
        [
          'stand-in',
          'engine',
          `--tokens=${ENGINE.tokens}`,
          `--first-token-ms=${ENGINE.firstTokenMs}`,
          `--between-tokens-ms=${ENGINE.betweenTokensMs}`,
        ],
        /engine stand-in at (\S+)/,
      ),
    ),
  );
  for (const [index, {ready}] of engines.entries()) {
    addToInstanceList(platform, {
      name: `endpoint-${index + 1}`,
      role: 'endpoint',
      address: ready[1],
      region: 'klang',
      failureDomain: pickDomain(index),
      service: 'drum-reader',
      state: 'live',
    });
  }
  return engines;
}

async function startInstanceProcess(
  platform: PlatformServer,
  folder: string,
  index: number,
): Promise<LoadInstance> {
  const name = `entry-${index + 1}`;
  const file = join(folder, `${name}.ini`);
  await writeFile(file, buildSettings(platform, name, index));
  const child = await startChild(
    ['serve', '--settings', file],
    /"callers":"([^"]+)","operators":"([^"]+)","peers":"([^"]+)"/,
  );
  const [, callersAddress, operatorsAddress, peersAddress] = child.ready;
  addToInstanceList(platform, {
    name,
    role: 'entry',
    address: peersAddress,
    region: 'klang',
    failureDomain: pickDomain(index),
    state: 'live',
  });
  return {name, child, callersAddress, operatorsAddress};
}

function addToInstanceList(platform: PlatformServer, entry: ListedInstance) {
  const listed = platform.platform.getInstances();
  platform.platform.setInstances([...listed, entry]);
}

function pickDomain(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
}

function buildDocument({accountRates, maxConcurrency}: FleetShape): string {
  const accounts = Object.entries(accountRates).map(
    ([name, rate]) => `[account.${name}]\nrate = ${rate}/s\nburst = ${rate}\n`,
  );
  return `[service]
name = drum-reader
kind = model-engine
models = ${MODEL}

[endpoint]
max_concurrency = ${maxConcurrency}

${accounts.join('\n')}`;
}

function buildSettings(
  platform: PlatformServer,
  name: string,
  index: number,
): string {
  const lines = Object.entries(platform.settings).map(
    ([key, value]) => `${key} = ${value}`,
  );
  return `[instance]
name = ${name}
region = klang
failure_domain = ${pickDomain(index)}

[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
${lines.join('\n')}

[peers]
key = load-run-key-of-at-least-32-characters

[shutdown]
notice = 1s
`;
}
