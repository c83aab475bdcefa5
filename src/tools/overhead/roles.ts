/**
 * The processes of the overhead measurement: each runs one server and answers
 * its parent's questions about its address, processor time and memory.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {createSystemClock} from '../../common/clock.js';
import {createSilentLog} from '../../common/log.js';
import {applyServiceDocument} from '../../instance/configuration/configuration.js';
import {startInstance} from '../../instance/instance.js';
import {giveKey} from '../../instance/keys/key_directory.js';
import {startEngineServer} from '../../stand_ins/engine/engine_server.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {makeEndpoint, makeSettings} from '../../testing/fixtures.js';
import {startPassThrough} from './pass_through.js';

/** Where a server listens, and the key it wants. */
export interface ServerPlace {
  address: string;
  /** Engines listen on several, since an instance has several before it. */
  addresses: string[];
  key: string;
}

/** 1,900 endpoints over 360 instances, rounded up. */
const ENGINES = 6;

/** What a server's process has used so far. */
export interface ProcessUsage {
  /** Processor time, user and system, in ms. */
  processorMs: number;
  /** Resident memory in bytes. */
  residentBytes: number;
}

/** A server in a process of its own. */
export interface ServerProcess {
  place: ServerPlace;
  measureUsage(): Promise<ProcessUsage>;
  stop(): void;
}

/** The roles a process can have. */
export type Role = 'engine' | 'pass-through' | 'instance';

/** How the engine answers. */
export interface EnginePace {
  tokens: number;
  betweenTokensMs: number;
}

const DOCUMENT = `[service]
name = drum-reader
kind = model-engine
models = drum-reader-7b
default_deadline = 60s
[endpoint]
max_concurrency = 4096
[account.gate]
rate = 1000000/s
burst = 1000000
`;

const STARTERS: Record<
  Role,
  (engines: string[], pace: EnginePace) => Promise<ServerPlace>
> = {
  async engine(_engines, pace) {
    const servers = await Promise.all(
      Array.from({length: ENGINES}, () =>
        startEngineServer({...pace, firstTokenMs: 0, maxRunning: 4096}),
      ),
    );
    return buildPlace(servers.map(({address}) => address));
  },
  async 'pass-through'([engine]) {
    return buildPlace([await startPassThrough(engine)]);
  },
  async instance(engines) {
    const platform = createMemoryPlatform();
    platform.setInstances(engines.map(address => makeEndpoint(address)));
    await applyServiceDocument(platform.table, DOCUMENT, 'bench');
    const {secret} = await giveKey(platform.table, 'gate');
    const {callersAddress} = await startInstance({
      settings: makeSettings(),
      platform,
      clock: createSystemClock(),
      log: createSilentLog(),
    });
    return buildPlace([callersAddress], secret);
  },
};

function buildPlace(addresses: string[], key = 'none'): ServerPlace {
  return {address: addresses[0], addresses, key};
}

/** Starts this module again as a process with a role. */
export async function startServerProcess(
  role: Role,
  engines: readonly string[],
  pace: EnginePace,
): Promise<ServerProcess> {
  const child = fork(fileURLToPath(import.meta.url), [
    role,
    engines.join(),
    JSON.stringify(pace),
  ]);
  const place = await receiveMessage<ServerPlace>(child);
  return {
    place,
    measureUsage() {
      child.send('usage');
      return receiveMessage<ProcessUsage>(child);
    },
    stop: () => void child.kill(),
  };
}

function receiveMessage<Message>(child: ChildProcess): Promise<Message> {
  return new Promise((resolve, reject) => {
    const handleExit = () => reject(new Error('a server process ended'));
    child.once('exit', handleExit);
    child.once('message', message => {
      child.off('exit', handleExit);
      resolve(message as Message);
    });
  });
}

function measureOwnUsage(): ProcessUsage {
  const {user, system} = process.cpuUsage();
  return {
    processorMs: (user + system) / 1000,
    residentBytes: process.memoryUsage.rss(),
  };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const [role, engines, pace] = process.argv.slice(2);
  process.on('message', () => process.send?.(measureOwnUsage()));
  process.on('disconnect', () => process.exit(0));
  const place = await STARTERS[role as Role](
    engines.split(','),
    JSON.parse(pace),
  );
  process.send?.(place);
}
