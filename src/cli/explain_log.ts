/** Selects the log records that concern one id and formats them for reading. */
import * as z from 'zod';

const recordSchema = z
  .looseObject({
    name: z.string(),
    msg: z.string(),
    time: z.string(),
    req: z.string().optional(),
    item: z.string().optional(),
    bundle: z.string().optional(),
  })
  .transform(({hostname, pid, level, v, ...rest}) => {
    void [hostname, pid, level, v];
    return rest;
  });

type LogRecord = z.infer<typeof recordSchema>;

/** Parses a log line; a log collector may have put a prefix before the JSON. */
function parseLine(line: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    return recordSchema.safeParse(JSON.parse(line.slice(start))).data;
  } catch {
    return undefined;
  }
}

function hasId(record: LogRecord, id: string): boolean {
  return record.req === id || record.item === id || record.bundle === id;
}

function formatRecord({name, msg, time, ...fields}: LogRecord): string {
  const formattedFields = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return `${time} ${name} ${msg} ${formattedFields.join(' ')}`.trimEnd();
}

/**
 * Returns the records of `id` and those of the bundles it belongs to, ordered by time
 * and formatted one a line. Lines that hold no log record are skipped.
 */
export function explainId(lines: readonly string[], id: string): string[] {
  const records = lines.map(parseLine).filter(record => record !== undefined);
  const matching = records.filter(record => hasId(record, id));
  const bundles = new Set(matching.map(({bundle}) => bundle ?? id));
  const related = records.filter(
    record =>
      matching.includes(record) ||
      (record.item === undefined &&
        [record.bundle, record.req].some(
          loggedId => loggedId !== undefined && bundles.has(loggedId),
        )),
  );
  return related
    .sort((a, b) => (a.time < b.time ? -1 : a.time > b.time ? 1 : 0))
    .map(formatRecord);
}
