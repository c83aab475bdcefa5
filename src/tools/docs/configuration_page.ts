/** Generates docs/CONFIGURATION.md from the schemas that validate the files. */
import type * as z from 'zod';
import {serviceDocumentSchema} from '../../instance/configuration/service_document.js';
import {gatewaySettingsSchema} from '../../instance/gateway_settings.js';
import {settingsSchema} from '../../instance/settings.js';

/** The parts of a zod schema's definition that this module reads. */
interface Definition {
  type: string;
  innerType?: z.ZodType;
  in?: z.ZodType;
  shape?: Record<string, z.ZodType>;
  valueType?: z.ZodType;
  entries?: Record<string, string>;
  defaultValue?: unknown;
}

interface KeyRow {
  key: string;
  form: string;
  range: string;
  fallback: string;
  description: string;
}

const WRAPPERS = new Set(['default', 'prefault', 'optional']);

function getDefinition(schema: z.ZodType): Definition {
  return schema.def as unknown as Definition;
}

/** Returns the schema inside wrappers such as `default` and `optional`. */
function stripWrappers(schema: z.ZodType): z.ZodType {
  const {type, innerType} = getDefinition(schema);
  return WRAPPERS.has(type) && innerType ? stripWrappers(innerType) : schema;
}

function findFallback(schema: z.ZodType): string {
  const {type, defaultValue, innerType} = getDefinition(schema);
  if (type === 'optional') return 'none';
  if (type !== 'default') return 'required';
  const form = String(stripWrappers(innerType!).meta()?.form ?? '');
  const format = FALLBACK_FORMATS[form] ?? String;
  return `\`${format(defaultValue as never)}\``;
}

const FALLBACK_FORMATS: Record<string, (value: never) => string> = {
  duration: (ms: number) => formatAmount(ms, DURATION_UNITS),
  size: (bytes: number) => formatAmount(bytes, SIZE_UNITS),
  'yes or no': (value: boolean) => (value ? 'yes' : 'no'),
  'list, separated by commas': (list: string[]) => list.join(', '),
};

const DURATION_UNITS: [number, string][] = [
  [3_600_000, 'h'],
  [60_000, 'm'],
  [1000, 's'],
  [1, 'ms'],
];

const SIZE_UNITS: [number, string][] = [
  [1024 ** 3, 'GiB'],
  [1024 ** 2, 'MiB'],
  [1024, 'KiB'],
  [1, 'B'],
];

function formatAmount(value: number, units: [number, string][]): string {
  const fitting = units.find(([size]) => value >= size && value % size === 0);
  const [size, unit] = fitting ?? units[units.length - 1];
  return `${value / size}${unit}`;
}

function buildRow(key: string, schema: z.ZodType): KeyRow {
  const inner = stripWrappers(schema);
  const {entries} = getDefinition(inner);
  const meta = inner.meta() ?? {};
  return {
    key,
    form: entries ? 'one of' : String(meta.form ?? ''),
    range: entries ? Object.keys(entries).join(', ') : String(meta.range ?? ''),
    fallback: findFallback(schema),
    description: schema.description ?? '',
  };
}

/**
 * Lists the sections of a schema with their keys. `NAME` stands for the variable part of
 * a section that may occur once for each name.
 */
function listSections(
  schema: z.ZodType,
  path: string[],
): [section: string, rows: KeyRow[]][] {
  const {shape, valueType} = getDefinition(stripWrappers(schema));
  if (valueType) return listSections(valueType, [...path, 'NAME']);
  const entries = Object.entries(shape ?? {});
  const isNested = (inner: z.ZodType) => {
    const {type} = getDefinition(stripWrappers(inner));
    return type === 'object' || type === 'record';
  };
  const rows = entries
    .filter(([, inner]) => !isNested(inner))
    .map(([key, inner]) => buildRow(key, inner));
  const nested = entries
    .filter(([, inner]) => isNested(inner))
    .flatMap(([key, inner]) => listSections(inner, [...path, key]));
  return rows.length > 0 ? [[path.join('.'), rows], ...nested] : nested;
}

function renderSection([section, rows]: [string, KeyRow[]]): string {
  const lines = rows.map(
    ({key, form, range, fallback, description}) =>
      `| \`${key}\` | ${form} | ${range} | ${fallback} | ${description} |`,
  );
  return [
    `### [${section}]`,
    '',
    '| key | form | range | default | what it does |',
    '| --- | --- | --- | --- | --- |',
    ...lines,
    '',
  ].join('\n');
}

function renderFile(schema: z.ZodType): string {
  return listSections(schema, []).map(renderSection).join('\n');
}

/** Renders the complete page. */
export function renderConfigurationPage(): string {
  return `# Configuration

Made from the schemas that check the files; \`UPDATE_GOLDEN=1 npm test\` makes it
anew. \`mulberryrouter check FILE\` checks a file without starting anything.
Durations are a number and \`ms\`, \`s\`, \`m\`, \`h\` or \`d\`; sizes a whole number and
\`B\`, \`MB\`, \`KiB\`, \`MiB\` or \`GiB\`; rates a number and \`/s\`, \`/m\` or \`/h\`. A comment
starts with \`;\` or \`#\`. A key that is not listed here, or given twice, is refused.

## Settings of an instance

Read once, at start, from the file that \`serve --settings\` names.

${renderFile(settingsSchema)}
## Settings of a gateway on the operators' platform

The same command serves them: a file whose \`[platform]\` names a \`store\` is a
gateway's. Read at start; SIGHUP reads \`[regions]\`, \`[shutdown]\` and \`[log]\`
again. Routes, accounts and endpoints come from the store.

${renderFile(gatewaySettingsSchema)}
## Document of a service

Owned by the service's team, kept in version control and put into force with
\`mulberryrouter apply FILE\`; in force everywhere within seconds.

${renderFile(serviceDocumentSchema)}`;
}
