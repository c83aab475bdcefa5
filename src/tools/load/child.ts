/** A child process of the load run, ended by its id alone. */
import {spawn, type ChildProcess} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {START_TIMEOUT_MS} from './constants.js';

/** What a child has used since it started. */
export interface ChildUsage {
  /** Resident memory at its highest. */
  memoryBytes: number;
  cpuMs: number;
  /** Read and written by its system calls; nearly all of it on sockets. */
  ioBytes: number;
}

/** A running child. */
export interface Child {
  /** What its pattern matched when it said that it was ready. */
  ready: RegExpExecArray;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with its exit code, or null when a signal ended it. */
  exited: Promise<number | null>;
  measure(): Promise<ChildUsage>;
}

/** Starts this program with `args`; `readyPattern` appears on its output. */
export async function startChild(
  args: readonly string[],
  readyPattern: RegExp,
): Promise<Child> {
  const child = spawn(process.execPath, [process.argv[1], ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const exited = new Promise<number | null>(resolve =>
    child.once('exit', code => resolve(code)),
  );
  const ready = await awaitReady(child, readyPattern, args);
  return {
    ready,
    exited,
    signal: signal => void child.kill(signal),
    measure: () => readUsage(child.pid!),
  };
}

function awaitReady(
  child: ChildProcess,
  pattern: RegExp,
  args: readonly string[],
): Promise<RegExpExecArray> {
  return new Promise((resolve, reject) => {
    let output = '';
    const timer = setTimeout(fail, START_TIMEOUT_MS);
    function fail() {
      reject(new Error(`${args.join(' ')} did not start: ${output}`));
    }
    function readOutput(part: Buffer) {
      output = `${output}${part}`.slice(-20_000);
      const match = pattern.exec(output);
      if (!match) return;
      clearTimeout(timer);
      resolve(match);
    }
    child.stdout!.on('data', readOutput);
    child.stderr!.on('data', readOutput);
    child.once('exit', fail);
  });
}

const CLOCK_TICK_MS = 10;

/** From the process table of the system. */
async function readUsage(pid: number): Promise<ChildUsage> {
  const [status, stat, io] = await Promise.all(
    ['status', 'stat', 'io'].map(name =>
      readFile(`/proc/${pid}/${name}`, 'utf8'),
    ),
  );
  const peakKib = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const read = Number(/rchar: (\d+)/.exec(io)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0);
  return {
    memoryBytes: peakKib * 1024,
    cpuMs: ticks * CLOCK_TICK_MS,
    ioBytes: read + written,
  };
}
