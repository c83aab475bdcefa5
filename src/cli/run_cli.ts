/**
 * The command line without command files: one executable has no directory to
 * load them from, so the loader is given the table of commands.
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

/** Runs the command that `argv` names; the exit code is left in the process. */
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

/** The plugin interface is wide; these are the members the loader reads. */
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
    flags: withNames({...command.baseFlags, ...command.flags}),
    args: withNames(command.args ?? {}),
    strict: command.strict,
    enableJsonFlag: command.enableJsonFlag,
    load: async () => withId(command, id),
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

/** The help page shows each flag and argument by its own name. */
function withNames<Entry extends object>(
  entries: Record<string, Entry>,
): Record<string, Entry> {
  return Object.fromEntries(
    Object.entries(entries).map(([name, entry]) => [name, {...entry, name}]),
  );
}

function withId(command: typeof Command, id: string): typeof Command {
  command.id = id;
  return command;
}

/** The longest run of leading words that names a command. */
function findCommand(argv: readonly string[]): {
  id: string | undefined;
  rest: string[];
} {
  for (let words = Math.min(2, argv.length); words > 0; words--) {
    const id = argv.slice(0, words).join(':');
    if (id in COMMANDS) return {id, rest: argv.slice(words)};
  }
  return {id: undefined, rest: [...argv]};
}

async function printHelp(config: Config, argv: readonly string[]) {
  const wanted = argv.filter(word => !word.startsWith('-') && word !== 'help');
  const id = wanted.join(':');
  const isKnown = Object.keys(COMMANDS).some(
    known => known === id || known.startsWith(`${id}:`),
  );
  if (wanted.length > 0 && !isKnown) {
    throw new UsageError(`there is no command '${wanted.join(' ')}'`);
  }
  await new Help(config).showHelp(wanted.length > 0 ? [id] : []);
}

/** A command line that names nothing known. */
class UsageError extends Error {
  readonly exitCode = EXIT_USAGE;
}

/** One line for what the user can mend; exit codes are in docs/OPERATIONS.md. */
function printFailure(error: unknown) {
  const failure = error as {
    message?: string;
    exitCode?: number;
    oclif?: {exit?: number};
  };
  const exitCode = failure.exitCode ?? failure.oclif?.exit ?? 1;
  process.exitCode = exitCode;
  if (exitCode === 0) return;
  // A command that failed half way may have left servers listening, which
  // would keep the process alive, doing nothing.
  process.stderr.write(`mulberryrouter: ${failure.message ?? error}\n`, () =>
    process.exit(exitCode),
  );
}
