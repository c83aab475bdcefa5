/**
 * The document of one service, which its own team declares and edits. This
 * schema defines the unit, the range and any default of every key.
 */
import * as z from 'zod';
import {parseIniDocument} from '../../common/ini_document.js';
import {
  booleanSchema,
  buildDurationSchema,
  buildIntegerSchema,
  buildSizeSchema,
  listSchema,
  nameSchema,
  rateSchema,
} from '../../common/units.js';

const serviceSectionSchema = z
  .strictObject({
    name: nameSchema.describe('Name of the service; it never changes.'),
    kind: z
      .enum(['model-engine', 'plain'])
      .describe('How its endpoints are spoken to.'),
    models: listSchema
      .default([])
      .describe('Models that the endpoints of a model engine serve.'),
    default_deadline: buildDurationSchema('100ms', '1h')
      .default(10_000)
      .describe('Deadline of a request that names none.'),
    max_deadline: buildDurationSchema('100ms', '1h')
      .default(120_000)
      .describe('Longest deadline a request may name.'),
    max_body: buildSizeSchema('1KiB', '64MiB')
      .default(1024 ** 2)
      .describe('Largest body of a request.'),
  })
  .superRefine(checkServiceSection);

/** Checks conditions that involve several keys. */
function checkServiceSection(
  section: {
    kind: string;
    models: string[];
    default_deadline: number;
    max_deadline: number;
  },
  context: z.RefinementCtx,
) {
  if (section.kind === 'model-engine' && section.models.length === 0) {
    context.addIssue({
      code: 'custom',
      path: ['models'],
      message: 'is missing: a model-engine service names at least one model',
    });
  }
  if (section.default_deadline > section.max_deadline) {
    context.addIssue({
      code: 'custom',
      path: ['default_deadline'],
      message: 'is longer than max_deadline',
    });
  }
}

const endpointSectionSchema = z.strictObject({
  max_concurrency: buildIntegerSchema(1, 4096)
    .default(16)
    .describe('Requests one endpoint runs at once, at the most.'),
  connect_timeout: buildDurationSchema('10ms', '1m')
    .default(1000)
    .describe('Longest wait for a connection.'),
  first_byte_timeout: buildDurationSchema('10ms', '10m')
    .default(5000)
    .describe('Longest silence before the first byte of an answer.'),
  between_bytes_timeout: buildDurationSchema('10ms', '10m')
    .default(2000)
    .describe('Longest silence between two bytes of an answer.'),
  max_connection_age: buildDurationSchema('1s', '1d')
    .default(300_000)
    .describe('Oldest a connection may be when a request is put on it.'),
  fencing: z
    .enum(['enforced', 'ignored'])
    .default('ignored')
    .describe('Whether engines refuse an order with an old fencing number.'),
  kv_transfer: booleanSchema
    .default(false)
    .describe('Whether engines export and import KV cache entries.'),
  idempotent_calls: listSchema
    .default([])
    .describe(
      'Calls of a plain service that may be repeated, such as `GET /status`.',
    ),
});

const batchSectionSchema = z.strictObject({
  max_items: buildIntegerSchema(1, 1_000_000)
    .default(290_000)
    .describe('Largest bundle, in items.'),
  max_attempts: buildIntegerSchema(1, 20)
    .default(3)
    .describe('Tries of one item before its line in the output is an error.'),
  item_deadline: buildDurationSchema('100ms', '1h')
    .default(60_000)
    .describe('Longest time of one try.'),
  idempotent: booleanSchema
    .default(true)
    .describe('Whether an item may be run again after an unclear outcome.'),
  items_draw_rate: booleanSchema
    .default(false)
    .describe("Whether each item counts against its account's rate."),
});

const isolationSectionSchema = z.strictObject({
  doubt: z
    .enum(['refuse', 'serve'])
    .default('refuse')
    .describe(
      'What an instance does that cannot tell whether a key was withdrawn.',
    ),
});

const accountSectionSchema = z.strictObject({
  rate: rateSchema.describe('Requests over the whole fleet.'),
  burst: buildIntegerSchema(1, 1_000_000).describe(
    'Requests at once after a pause, over the whole fleet.',
  ),
  weight: buildIntegerSchema(1, 1000)
    .default(1)
    .describe('Share of a contended pool relative to other accounts.'),
});

const modelSectionSchema = z.strictObject({
  version: z
    .string()
    .default('')
    .describe('Version of the weights; empty leaves it to the engine.'),
  adapters: listSchema
    .default([])
    .describe('Adapters that its engines have loaded, and no others.'),
  role: z
    .string()
    .default('')
    .describe('Role of its engines; empty leaves it to the engine.'),
  endpoints: buildIntegerSchema(0, 10_000)
    .default(0)
    .describe(
      'Engines that run it in each region; 0 shares those left by the others.',
    ),
  regions: listSchema
    .default([])
    .describe('Regions that run it; none named means all.'),
});

/**
 * Rejects a model section that no request may name: an engine ordered to run
 * that model would stay idle.
 */
function checkModelSections(
  document: {service: {models: string[]}; model: Record<string, unknown>},
  context: z.RefinementCtx,
) {
  for (const name of Object.keys(document.model)) {
    if (document.service.models.includes(name)) continue;
    context.addIssue({
      code: 'custom',
      path: ['model', name],
      message: 'is not among the models of [service]',
    });
  }
}

/** Schema of the parsed INI text. */
export const serviceDocumentSchema = z
  .strictObject({
    service: serviceSectionSchema,
    endpoint: endpointSectionSchema.prefault({}),
    batch: batchSectionSchema.prefault({}),
    isolation: isolationSectionSchema.prefault({}),
    account: z.record(nameSchema, accountSectionSchema).default({}),
    /**
     * Models that engines are ordered to run. Without any, no orders are
     * issued.
     */
    model: z.record(nameSchema, modelSectionSchema).default({}),
  })
  .superRefine(checkModelSections);

/** A checked service document. */
export type ServiceDocument = z.infer<typeof serviceDocumentSchema>;

/** Limits and weight of one client account in a service. */
export type AccountLimits = z.infer<typeof accountSectionSchema>;

/** Throws InvalidDocumentError. `source` names the text in its message. */
export function parseServiceDocument(
  text: string,
  source: string,
): ServiceDocument {
  return parseIniDocument(text, serviceDocumentSchema, source);
}
