/**
 * Runs an operator's command against the platform and the instances, which it reaches
 * with the platform section and the peer key of an instance's settings file.
 */
import {readFileSync} from 'node:fs';
import {Flags, type Command} from '@oclif/core';
import type {Clock} from '../common/clock.js';
import {generateId} from '../common/ids.js';
import {InvalidDocumentError} from '../common/ini_document.js';
import {
  awaitGeneration,
  type InstanceReport,
} from '../instance/configuration/await_generation.js';
import {createPeerClients} from '../instance/peers/peer_client.js';
import {createPeerKeys} from '../instance/peers/peer_keys.js';
import {parseSettings, type Settings} from '../instance/settings.js';
import {createPlatform} from '../stores/create_platform.js';
import type {Platform} from '../stores/platform.js';
import {StoreError} from '../stores/table_store.js';
import {EXIT_CODES} from './exit_codes.js';

/** Flags of every command that connects to the platform. */
export const OPERATOR_FLAGS = {
  settings: Flags.string({
    char: 's',
    required: true,
    env: 'MULBERRYROUTER_SETTINGS',
    description: "an instance's settings file: where the platform is",
  }),
};

/** Flags of the commands that wait until the instances have applied a change. */
export const WAIT_FLAGS = {
  timeout: Flags.integer({
    default: 15,
    min: 1,
    description: 'longest wait for the instances, in seconds',
  }),
};

/** What one operator command can use while it runs. */
export interface OperatorSession {
  platform: Platform;
  /**
   * Waits until each live instance has applied the change, at most `timeoutS`;
   * the reports say which have not.
   */
  awaitInstances(
    change: {generation: number; service?: string},
    timeoutS: number,
  ): Promise<InstanceReport[]>;
}

/**
 * A clock whose timers keep the process alive, unlike those of the instances' clock:
 * a command has to run until its wait ends.
 */
function createForegroundClock(): Clock {
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    schedule(delayMs, task) {
      const timer = setTimeout(task, delayMs);
      return () => clearTimeout(timer);
    },
  };
}

/**
 * Runs `task`, then closes all connections. Invalid settings and store errors end the
 * command with a message and an exit code.
 */
export async function runOperatorSession<Result>(
  command: Command,
  settingsFile: string,
  task: (session: OperatorSession) => Promise<Result>,
): Promise<Result> {
  const settings = loadSettings(command, settingsFile);
  const clock = createForegroundClock();
  const platform = createPlatform(settings.platform, {clock});
  const {keys, self} = describeOperator(settings);
  const peers = createPeerClients(self, keys, clock);
  try {
    return await task({
      platform,
      awaitInstances: ({generation, service}, timeoutS) =>
        awaitGeneration({
          clock,
          generation,
          service,
          timeoutMs: timeoutS * 1000,
          listInstances: () => platform.instances.fetch(),
          fetchView: ({address}) =>
            peers.get(address).configuration.describeView.query(),
          onProgress: printProgress,
        }),
    });
  } catch (error) {
    if (!(error instanceof StoreError)) throw error;
    return command.error(describeStoreError(error), {exit: EXIT_CODES.failure});
  } finally {
    peers.close();
    await platform.close();
  }
}

function loadSettings(command: Command, file: string): Settings {
  try {
    return parseSettings(readFileSync(file, 'utf8'), file);
  } catch (error) {
    return command.error((error as Error).message, {
      exit:
        error instanceof InvalidDocumentError
          ? EXIT_CODES.failure
          : EXIT_CODES.usage,
    });
  }
}

function describeOperator({instance, peers}: Settings) {
  return {
    keys: createPeerKeys(peers.key, peers.previous_key),
    self: {
      name: 'operator',
      address: '127.0.0.1:0',
      region: instance.region,
      failureDomain: instance.failure_domain,
      incarnation: generateId('operator'),
    },
  };
}

function describeStoreError({effect, message}: StoreError): string {
  const outcome =
    effect === 'none'
      ? 'nothing was changed'
      : 'the change may have taken effect: run the command again to find out';
  return `the platform gave no answer (${message}); ${outcome}`;
}

/** Printed on a terminal only, so that scripts get nothing but the result. */
function printProgress(confirmed: number, all: number) {
  if (!process.stderr.isTTY) return;
  process.stderr.write(`\r${confirmed} of ${all} instances`);
  if (confirmed === all) process.stderr.write('\n');
}

/**
 * Prints how many instances have confirmed a change and which have not, and sets the
 * exit code if any is missing. Returns whether all have confirmed.
 */
export function reportInstances(
  command: Command,
  reports: readonly InstanceReport[],
): boolean {
  const missing = reports.filter(({state}) => state !== 'confirmed');
  const confirmed = reports.length - missing.length;
  command.log(`in force on ${confirmed} of ${reports.length} instances`);
  for (const {name, failureDomain, state, message = ''} of missing) {
    command.log(`  not on ${name} (${failureDomain}): ${state} ${message}`);
  }
  if (missing.length > 0) process.exitCode = EXIT_CODES.unconfirmed;
  return missing.length === 0;
}
