/**
 * The processes of the overhead measurement. Each runs one server and reports its
 * address, processor time and memory to its parent process.
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

/** Where a server listens, and the key that it requires. */
export interface ServerAccess {
  address: string;
  /** Engines listen on several addresses, because an instance serves several endpoints. */
  addresses: string[];
  key: string;
}

/** Endpoints for each instance: 1,900 endpoints over 360 instances, rounded up. */
const ENGINES = 6;

/** What a server's process has used so far. */
export interface ProcessUsage {
  /** Processor time, user and system, in ms. */
  processorMs: number;
  /** Resident memory in bytes. */
  residentBytes: number;
}

/** A server in a separate process. */
export interface ServerProcess {
  access: ServerAccess;
  measureUsage(): Promise<ProcessUsage>;
  stop(): void;
}

/** The roles a process can have. */
export type Role = 'engine' | 'pass-through' | 'instance';

/** Length of the engine's responses and time between their tokens. */
export interface EngineTiming {
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
  (engines: string[], timing: EngineTiming) => Promise<ServerAccess>
> = {
  async engine(_engines, timing) {
    const servers = await Promise.all(
      Array.from({length: ENGINES}, () =>
        startEngineServer({...timing, firstTokenMs: 0, maxRunning: 4096}),
      ),
    );
    return buildAccess(servers.map(({address}) => address));
  },
  async 'pass-through'([engine]) {
    return buildAccess([await startPassThrough(engine)]);
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
    return buildAccess([callersAddress], secret);
  },
};

function buildAccess(addresses: string[], key = 'none'): ServerAccess {
  return {address: addresses[0], addresses, key};
}

/** Starts this module as a child process with the given role. */
export async function startServerProcess(
  role: Role,
  engines: readonly string[],
  timing: EngineTiming,
): Promise<ServerProcess> {
  const child = fork(fileURLToPath(import.meta.url), [
    role,
    engines.join(),
    JSON.stringify(timing),
  ]);
  const access = await receiveMessage<ServerAccess>(child);
  return {
    access,
    measureUsage() {
      child.send('usage');
      return receiveMessage<ProcessUsage>(child);
    },
    stop: () => void child.kill(),
  };
}

function receiveMessage<Message>(child: ChildProcess): Promise<Message> {
  return new Promise((resolve, reject) => {
    const handleExit = () =>
      reject(new Error('a server process exited before it responded'));
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
  const [role, engines, timing] = process.argv.slice(2);
  process.on('message', () => process.send?.(measureOwnUsage()));
  process.on('disconnect', () => process.exit(0));
  const access = await STARTERS[role as Role](
    engines.split(','),
    JSON.parse(timing),
  );
  process.send?.(access);
}
