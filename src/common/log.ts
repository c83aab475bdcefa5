/** Loggers. Only the gateway logs each request; others log changes of state. */
import bunyan from 'bunyan';

/** A logger that takes fields first, then a short message. */
export type Log = bunyan;

/** Creates a logger on standard error. */
export function createLog(name: string, level: bunyan.LogLevel = 'info'): Log {
  return bunyan.createLogger({name, level, stream: process.stderr});
}

/** Creates a logger that writes to `output`, which must not block. */
export function createOutputLog(
  name: string,
  level: bunyan.LogLevel,
  output: {write(line: string): void},
): Log {
  const stream = output as NodeJS.WritableStream;
  return bunyan.createLogger({name, streams: [{level, stream}]});
}

/** Creates a logger that writes nothing, for tests and embedded use. */
export function createSilentLog(): Log {
  return bunyan.createLogger({name: 'silent', streams: []});
}
