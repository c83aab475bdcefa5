/** Finds the lines of a log that tell of one id, and words them for a person. */
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

/** Lines may begin with what a collector put before the JSON. */
function parseLine(line: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    return recordSchema.safeParse(JSON.parse(line.slice(start))).data;
  } catch {
    return undefined;
  }
}

function isOf(record: LogRecord, id: string): boolean {
  return record.req === id || record.item === id || record.bundle === id;
}

function formatRecord({name, msg, time, ...fields}: LogRecord): string {
  const told = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return `${time} ${name} ${msg} ${told.join(' ')}`.trimEnd();
}

/**
 * The lines that name `id` and those of the bundles it belongs to, by time.
 * What is no log record is passed over.
 */
export function explainId(lines: readonly string[], id: string): string[] {
  const records = lines.map(parseLine).filter(record => record !== undefined);
  const own = records.filter(record => isOf(record, id));
  const bundles = new Set(own.map(({bundle}) => bundle ?? id));
  const related = records.filter(
    record =>
      own.includes(record) ||
      (record.item === undefined &&
        [record.bundle, record.req].some(
          named => named !== undefined && bundles.has(named),
        )),
  );
  return related
    .sort((a, b) => (a.time < b.time ? -1 : a.time > b.time ? 1 : 0))
    .map(formatRecord);
}
