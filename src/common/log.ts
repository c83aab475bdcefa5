/** Logs: one line for each change of state, none for each request. */
import bunyan from 'bunyan';

/** A logger; fields first, then a short message. */
export type Log = bunyan;

/** `level` is a bunyan level name; output goes to standard error. */
export function createLog(name: string, level: bunyan.LogLevel = 'info'): Log {
  return bunyan.createLogger({name, level, stream: process.stderr});
}

/** A logger whose lines go to `output`, which never blocks. */
export function createOutputLog(
  name: string,
  level: bunyan.LogLevel,
  output: {write(line: string): void},
): Log {
  const stream = output as NodeJS.WritableStream;
  return bunyan.createLogger({name, streams: [{level, stream}]});
}

/** A logger that writes nothing, for tests and embedded use. */
export function createSilentLog(): Log {
  return bunyan.createLogger({name: 'silent', streams: []});
}
