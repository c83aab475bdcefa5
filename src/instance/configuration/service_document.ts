/**
 * The document of one service: what its own team declares and edits. Every
 * key has a unit, a range and, where a default exists, that default here.
 */
import {z} from 'zod';
import {parseIniDocument} from '../../common/ini_document.js';
import {
  booleanSchema,
  buildIntegerSchema,
  durationSchema,
  listSchema,
  nameSchema,
  rateSchema,
  sizeSchema,
} from '../../common/units.js';

const serviceSectionSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['model-engine', 'plain']),
  /** Models the endpoints serve; the first is the default. */
  models: listSchema.default([]),
  /** Deadline of a request that names none. */
  default_deadline: durationSchema.default(10_000),
  /** Longest deadline a request may name. */
  max_deadline: durationSchema.default(120_000),
  max_body: sizeSchema.default(1024 ** 2),
});

const endpointSectionSchema = z.strictObject({
  /** Requests one endpoint runs at once, at the most. */
  max_concurrency: buildIntegerSchema(1, 4096).default(16),
  connect_timeout: durationSchema.default(1000),
  /** Longest silence before the first byte of an answer. */
  first_byte_timeout: durationSchema.default(5000),
  /** Longest silence between two bytes of an answer. */
  between_bytes_timeout: durationSchema.default(2000),
  /** Oldest a connection may be when a request is put on it. */
  max_connection_age: durationSchema.default(300_000),
  /** Whether engines refuse an order with an old fencing number. */
  fencing: z.enum(['enforced', 'ignored']).default('ignored'),
  kv_transfer: booleanSchema.default(false),
  /** Plain services: calls that may be repeated, such as `GET /status`. */
  idempotent_calls: listSchema.default([]),
});

const batchSectionSchema = z.strictObject({
  max_items: buildIntegerSchema(1, 1_000_000).default(290_000),
  /** Tries of one item before its line in the output is an error. */
  max_attempts: buildIntegerSchema(1, 20).default(3),
  item_deadline: durationSchema.default(60_000),
  /** Whether an item may be run again after an unclear outcome. */
  idempotent: booleanSchema.default(true),
  /** Whether each item counts as a request against its account's rate. */
  items_draw_rate: booleanSchema.default(false),
});

const isolationSectionSchema = z.strictObject({
  /** What an instance does that cannot tell whether a key was withdrawn. */
  doubt: z.enum(['refuse', 'serve']).default('refuse'),
});

const accountSectionSchema = z.strictObject({
  rate: rateSchema,
  burst: buildIntegerSchema(1, 1_000_000),
  /** Share of a contended endpoint relative to other accounts. */
  weight: buildIntegerSchema(1, 1000).default(1),
});

/** Schema of the parsed INI text. */
export const serviceDocumentSchema = z.strictObject({
  service: serviceSectionSchema,
  endpoint: endpointSectionSchema.prefault({}),
  batch: batchSectionSchema.prefault({}),
  isolation: isolationSectionSchema.prefault({}),
  account: z.record(nameSchema, accountSectionSchema).default({}),
});

/** A checked service document. */
export type ServiceDocument = z.infer<typeof serviceDocumentSchema>;

/** Limits and weight of one client account in a service. */
export type AccountLimits = z.infer<typeof accountSectionSchema>;

/** Throws InvalidDocumentError; `source` names the text in errors. */
export function parseServiceDocument(
  text: string,
  source: string,
): ServiceDocument {
  return parseIniDocument(text, serviceDocumentSchema, source);
}
