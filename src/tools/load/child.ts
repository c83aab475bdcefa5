/** A child process of the load run, to which signals are sent by its process id only. */
import {spawn, type ChildProcess} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {START_TIMEOUT_MS} from './constants.js';

/** What a child has used since it started. */
export interface ChildUsage {
  /** Peak resident memory. */
  memoryBytes: number;
  cpuMs: number;
  /** Bytes that its system calls read and wrote, nearly all of them on sockets. */
  ioBytes: number;
}

/** A running child. */
export interface Child {
  /** Match of the ready pattern in the child's output. */
  ready: RegExpExecArray;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code, or null if a signal ended the process. */
  exited: Promise<number | null>;
  measure(): Promise<ChildUsage>;
}

/**
 * Starts this program with `args`; resolves when its output matches `readyPattern`, and
 * rejects if it exits or does not match within START_TIMEOUT_MS.
 */
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
    function readOutput(chunk: Buffer) {
      output = `${output}${chunk}`.slice(-20_000);
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

/** Reads the usage of a process from /proc. */
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
