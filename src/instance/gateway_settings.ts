/** The settings of one gateway instance, read from an INI file at startup. */
import * as z from 'zod';
import {parseIniDocument} from '../common/ini_document.js';
import {
  addressSchema,
  buildDurationSchema,
  buildIntegerSchema,
  buildSizeSchema,
  nameSchema,
  shareSchema,
} from '../common/units.js';
import {logSectionSchema} from './settings.js';

/** Schema of the parsed INI text. */
export const gatewaySettingsSchema = z.strictObject({
  instance: z.strictObject({
    name: nameSchema.describe('Name of the instance; no other has it.'),
    region: nameSchema.describe('Region it runs in.'),
    failure_domain: nameSchema.describe('Failure domain it runs in.'),
    cpu_share: shareSchema
      .default(1)
      .describe(
        'Part of each core it may use; weak ones are given less to do.',
      ),
    cores: buildIntegerSchema(1, 1024).default(1).describe('Cores it runs on.'),
  }),
  listen: z.strictObject({
    callers: addressSchema.describe('Where callers connect.'),
    operators: addressSchema.describe(
      'Health, metrics and state. Keep callers away from it.',
    ),
    peers: addressSchema.describe('Where other instances connect.'),
  }),
  platform: z.strictObject({
    store: addressSchema.describe(
      "The operators' store: configuration, registrations, and all that lasts.",
    ),
    heartbeat: buildDurationSchema('50ms', '1m')
      .default(1200)
      .describe('How often an endpoint renews its registration.'),
    apply_bound: buildDurationSchema('1s', '1m')
      .default(2000)
      .describe('By when a configuration must be in force.'),
    drain_bound: buildDurationSchema('1s', '1m')
      .default(2000)
      .describe('By when an endpoint that leaves must get no more work.'),
  }),
  memory: z
    .strictObject({
      machine: buildSizeSchema('0B', '1024GiB')
        .optional()
        .describe(
          'Memory of the machine; a tenth of it is the default of `answers`.',
        ),
      answers: buildSizeSchema('0B', '64GiB')
        .optional()
        .describe(
          'Bytes that may be buffered for all slowly reading callers together; 0: none beyond back pressure.',
        ),
    })
    .prefault({}),
  regions: z
    .record(nameSchema, nameSchema)
    .default({})
    .describe('Region of each failure domain.'),
  shutdown: z
    .strictObject({
      notice: buildDurationSchema('0ms', '5m')
        .default(2500)
        .describe(
          'How long the balancer needs to see that the instance is leaving.',
        ),
      grace: buildDurationSchema('1s', '1h')
        .default(8000)
        .describe('Time from SIGTERM by which the process must have ended.'),
    })
    .prefault({}),
  log: logSectionSchema,
});

/** Checked settings. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/**
 * Part of the machine's memory that is buffered for callers by default. A process of
 * a busy instance occupies about half of the smallest machine, and its connections
 * read further bytes ahead.
 */
export const ANSWER_MEMORY_SHARE = 0.1;

/**
 * Computes how many bytes may be buffered for slowly reading callers; 0 if the
 * settings request no buffer.
 */
export function computeAnswerBudget({
  machine = 0,
  answers,
}: GatewaySettings['memory']): number {
  return answers ?? Math.floor(ANSWER_MEMORY_SHARE * machine);
}

/** Throws InvalidDocumentError. `source` names the file in its message. */
export function parseGatewaySettings(
  text: string,
  source: string,
): GatewaySettings {
  return parseIniDocument(text, gatewaySettingsSchema, source);
}
