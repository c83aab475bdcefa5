/** The settings of one instance, an INI file read at start. */
import {z} from 'zod';
import {parseIniDocument} from '../common/ini_document.js';
import {addressSchema, durationSchema, nameSchema} from '../common/units.js';

const urlSchema = z
  .string()
  .regex(/^https?:\/\/\S+$/, 'must be a URL such as http://10.0.0.1:8000');

/** Schema of the parsed INI text. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: nameSchema,
    region: nameSchema,
    failure_domain: nameSchema,
  }),
  listen: z.strictObject({
    /** Callers. */
    callers: addressSchema,
    /** Operators: health, metrics, state. Keep callers away from it. */
    operators: addressSchema,
    /** Other instances. */
    peers: addressSchema,
  }),
  platform: z.strictObject({
    table_url: urlSchema,
    table: z.string().default('mulberryrouter'),
    object_url: urlSchema,
    bucket: z.string().default('mulberryrouter'),
    instances_url: urlSchema,
    /** Region name the platform's signatures are made for. */
    signing_region: z.string().default('local'),
    access_key_id: z.string(),
    secret_access_key: z.string(),
  }),
  peers: z.strictObject({
    /** Shared by all instances; proves that a message is from one of them. */
    key: z.string().min(32, 'must be at least 32 characters'),
    /** The key before the last rotation, still accepted. */
    previous_key: z.string().min(32).optional(),
  }),
  shutdown: z
    .strictObject({
      /** How long the balancer needs to see that this instance is leaving. */
      notice: durationSchema.default(5000),
      /** Longest wait for running requests. */
      drain: durationSchema.default(120_000),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

/** Checked settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Throws InvalidDocumentError; `source` names the file in errors. */
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
