/** The settings of one instance, read from an INI file at startup. */
import * as z from 'zod';
import {parseIniDocument} from '../common/ini_document.js';
import {
  addressSchema,
  buildDurationSchema,
  nameSchema,
} from '../common/units.js';

const urlSchema = z
  .string()
  .regex(/^https?:\/\/\S+$/, 'must be a URL such as http://10.0.0.1:8000')
  .meta({form: 'URL'});

const textSchema = z.string().min(1, 'must not be empty').meta({form: 'text'});

const peerKeySchema = z
  .string()
  .min(32, 'must be at least 32 characters')
  .meta({form: 'text', range: 'at least 32 characters'});

/** The log section, the same for every kind of instance. */
export const logSectionSchema = z
  .strictObject({
    level: z
      .enum(['debug', 'info', 'warn', 'error'])
      .default('info')
      .describe('Least level that is written.'),
  })
  .prefault({});

/** Schema of the parsed INI text. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: nameSchema.describe(
      'Name of the instance, as the platform lists it.',
    ),
    region: nameSchema.describe('Region it runs in.'),
    failure_domain: nameSchema.describe('Failure domain it runs in.'),
  }),
  listen: z.strictObject({
    callers: addressSchema.describe('Where callers connect.'),
    operators: addressSchema.describe(
      'Health, metrics and state. Keep callers away from it.',
    ),
    peers: addressSchema.describe('Where other instances connect.'),
  }),
  platform: z.strictObject({
    table_url: urlSchema.describe('The table service (DynamoDB JSON).'),
    table: textSchema
      .default('mulberryrouter')
      .describe('Name of the table, with the keys `partition` and `sort`.'),
    object_url: urlSchema.describe('The object store (S3).'),
    bucket: textSchema.default('mulberryrouter').describe('Its bucket.'),
    instances_url: urlSchema.describe('The list of instances (JSON).'),
    signing_region: textSchema
      .default('local')
      .describe('Region name that requests are signed for.'),
    access_key_id: textSchema.describe('Signs requests to the platform.'),
    secret_access_key: textSchema.describe('Signs requests to the platform.'),
  }),
  peers: z.strictObject({
    key: peerKeySchema.describe(
      'Shared by all instances; proves that a message is from one of them.',
    ),
    previous_key: peerKeySchema
      .optional()
      .describe('The key before the last rotation, still accepted.'),
  }),
  shutdown: z
    .strictObject({
      notice: buildDurationSchema('0ms', '5m')
        .default(5000)
        .describe('How long the balancer needs to see that it is leaving.'),
      drain: buildDurationSchema('0ms', '1h')
        .default(120_000)
        .describe('Longest wait for running requests.'),
    })
    .prefault({}),
  log: logSectionSchema,
});

/** Checked settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Throws InvalidDocumentError. `source` names the file in its message. */
export function parseSettings(text: string, source: string): Settings {
  return parseIniDocument(text, settingsSchema, source);
}

/** Host and port of an address such as `127.0.0.1:8080`. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
}

/** Splits an address into the arguments of a listener. */
export function splitListenAddress(
  address: string,
): [host: string, port: number] {
  const {host, port} = splitAddress(address);
  return [host, port];
}
