/**
 * Parses INI text and validates it with a schema. Every fault names the
 * section, the key and the allowed values, so that its author can correct it
 * without reading code.
 */
import ini from 'ini';
import type * as z from 'zod';

/** One fault of a document. */
export interface DocumentFault {
  /** Section and key, such as `account.gate / rate`. */
  where: string;
  /** What is wrong and what is allowed. */
  message: string;
}

/** A document that violates its schema. */
export class InvalidDocumentError extends Error {
  readonly source: string;
  readonly faults: readonly DocumentFault[];

  constructor(source: string, faults: readonly DocumentFault[]) {
    const lines = faults.map(fault => `  [${fault.where}] ${fault.message}`);
    super(`${source} is not valid:\n${lines.join('\n')}`);
    this.name = 'InvalidDocumentError';
    this.source = source;
    this.faults = faults;
  }
}

/**
 * Parses `text`; `source` is its name in errors. Throws InvalidDocumentError
 * with all faults found.
 */
export function parseIniDocument<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  source: string,
): z.infer<Schema> {
  const repeated = findRepeatedKeys(text);
  if (repeated.length > 0) throw new InvalidDocumentError(source, repeated);
  const parsed = schema.safeParse(ini.parse(text));
  if (parsed.success) return parsed.data;
  throw new InvalidDocumentError(source, parsed.error.issues.flatMap(toFaults));
}

function toFaults(issue: z.core.$ZodIssue): DocumentFault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      where: describePath([...path, key]),
      message: 'is not known here; docs/CONFIGURATION.md lists what is',
    }));
  }
  if (issue.code === 'invalid_type' && issue.input === undefined) {
    const message = issue.message.includes('received undefined')
      ? 'is missing'
      : issue.message;
    return [{where: describePath(path), message}];
  }
  return [{where: describePath(path), message: issue.message}];
}

/** Formats a path: its last element is the key, the others are the section. */
function describePath(path: string[]): string {
  if (path.length < 2) return path.join('') || 'document';
  return `${path.slice(0, -1).join('.')} / ${path[path.length - 1]}`;
}

/**
 * Finds keys given twice in one section. The parser silently uses the last
 * value, while the author may expect the first to be active.
 */
function findRepeatedKeys(text: string): DocumentFault[] {
  const faults: DocumentFault[] = [];
  const seen = new Set<string>();
  let section = '';
  for (const line of text.split(/\r?\n/)) {
    const header = /^\s*\[([^\]]+)\]/.exec(line);
    if (header) section = header[1].trim();
    const pair = /^\s*([^=;#[\]]+?)\s*=/.exec(line);
    if (header || !pair) continue;
    const where = `${section} / ${pair[1]}`;
    if (seen.has(where)) faults.push({where, message: 'is given twice'});
    seen.add(where);
  }
  return faults;
}
