/**
 * Runs the command line with oclif. oclif loads commands from a directory, which a
 * single executable does not have, so it is given a plugin built from the command table.
 */
import {Config, Help, type Interfaces, type Command} from '@oclif/core';
import {COMMANDS} from './commands.js';

const PACKAGE = {
  name: 'mulberryrouter',
  version: '0.1.0',
  oclif: {bin: 'mulberryrouter', topicSeparator: ' '},
};

const TOPICS = [
  {
    name: 'jobs',
    description: 'Submit, watch and cancel bundles of batch items',
  },
  {name: 'key', description: 'Give and withdraw keys of client accounts'},
  {
    name: 'services',
    description: 'Look at service documents and their versions',
  },
  {name: 'stand-in', description: 'Run what takes the place of the outside'},
];

const EXIT_USAGE = 2;

/** Runs the command that `argv` names; prints its failure and sets the exit code. */
export async function runCli(argv: readonly string[]): Promise<void> {
  const config = await createConfig();
  const {id, rest} = findCommand(argv);
  try {
    if (id === undefined || rest.includes('--help')) {
      await printHelp(config, id?.split(':') ?? argv);
    } else await config.runCommand(id, rest);
  } catch (error) {
    printFailure(error);
  }
}

async function createConfig(): Promise<Config> {
  const config = new Config({
    root: process.cwd(),
    pjson: PACKAGE as unknown as Interfaces.PJSON,
    plugins: new Map([['mulberryrouter', buildPlugin()]]),
  } as Interfaces.LoadOptions as never);
  await config.load();
  return config;
}

/** Builds a plugin with only those members of oclif's interface that its loader reads. */
function buildPlugin(): never {
  const commands = Object.entries(COMMANDS).map(([id, command]) => ({
    id,
    pluginName: PACKAGE.name,
    pluginType: 'core',
    aliases: command.aliases ?? [],
    hiddenAliases: [],
    hidden: command.hidden ?? false,
    summary: command.summary,
    description: command.description,
    examples: command.examples ?? [],
    flags: addNames({...command.baseFlags, ...command.flags}),
    args: addNames(command.args ?? {}),
    strict: command.strict,
    enableJsonFlag: command.enableJsonFlag,
    load: async () => setId(command, id),
  }));
  return {
    ...PACKAGE,
    type: 'core',
    root: process.cwd(),
    alias: PACKAGE.name,
    pjson: PACKAGE,
    isRoot: true,
    valid: true,
    options: {},
    hooks: {},
    topics: TOPICS,
    commandIDs: Object.keys(COMMANDS),
    commands,
    load: async () => {},
    findCommand: async (id: string) => COMMANDS[id],
  } as unknown as never;
}

/** Adds to each flag and argument its name, which the help page shows. */
function addNames<Entry extends object>(
  entries: Record<string, Entry>,
): Record<string, Entry> {
  return Object.fromEntries(
    Object.entries(entries).map(([name, entry]) => [name, {...entry, name}]),
  );
}

function setId(command: typeof Command, id: string): typeof Command {
  command.id = id;
  return command;
}

/** Finds the command with the longest id, of at most two words, that `argv` starts with. */
function findCommand(argv: readonly string[]): {
  id: string | undefined;
  rest: string[];
} {
  for (let wordCount = Math.min(2, argv.length); wordCount > 0; wordCount--) {
    const id = argv.slice(0, wordCount).join(':');
    if (id in COMMANDS) return {id, rest: argv.slice(wordCount)};
  }
  return {id: undefined, rest: [...argv]};
}

async function printHelp(config: Config, argv: readonly string[]) {
  const topicWords = argv.filter(
    word => !word.startsWith('-') && word !== 'help',
  );
  const id = topicWords.join(':');
  const isKnown = Object.keys(COMMANDS).some(
    known => known === id || known.startsWith(`${id}:`),
  );
  if (topicWords.length > 0 && !isKnown) {
    throw new UsageError(`there is no command '${topicWords.join(' ')}'`);
  }
  await new Help(config).showHelp(topicWords.length > 0 ? [id] : []);
}

/** The command line names no known command or topic. */
class UsageError extends Error {
  readonly exitCode = EXIT_USAGE;
}

/** Prints a failure as one line, without a stack; exit codes are in docs/OPERATIONS.md. */
function printFailure(error: unknown) {
  const failure = error as {
    message?: string;
    exitCode?: number;
    oclif?: {exit?: number};
  };
  const exitCode = failure.exitCode ?? failure.oclif?.exit ?? 1;
  process.exitCode = exitCode;
  if (exitCode === 0) return;
  // A command that failed after it opened servers may have left them listening, which
  // would keep the process alive without any use.
  process.stderr.write(`mulberryrouter: ${failure.message ?? error}\n`, () =>
    process.exit(exitCode),
  );
}
