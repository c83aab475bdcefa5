/**
 * Schemas of the values in settings and documents, such as values with units.
 */
import {isIPv4, isIPv6} from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

const MS_PER_UNIT: Record<string, number> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const BYTES_PER_UNIT: Record<string, number> = {
  B: 1,
  MB: 1_000_000,
  KiB: 1024,
  MiB: 1024 ** 2,
  GiB: 1024 ** 3,
};

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)\s*(ms|s|m|h|d)$/;
const SIZE_PATTERN = /^(\d+)\s*(B|MB|KiB|MiB|GiB)$/;

const SECONDS_PER_UNIT: Record<string, number> = {s: 1, m: 60, h: 3600};

/** Describes the values that a schema accepts, for the configuration page. */
export interface ValueForm {
  /** Such as `duration` or `whole number`. */
  form: string;
  /** Such as `1ms to 1h`; undefined if any value of the form is accepted. */
  range?: string;
}

/**
 * Accepts `250ms`, `10s`, `5m`, `1h`, `2d` between `min` and `max`, which are
 * written the same way; the value is in ms.
 */
export function buildDurationSchema(min: string, max: string) {
  const minMs = parseAmount(min, DURATION_PATTERN, MS_PER_UNIT)!;
  const maxMs = parseAmount(max, DURATION_PATTERN, MS_PER_UNIT)!;
  return z
    .string()
    .transform((text, context) => {
      const value = parseAmount(text, DURATION_PATTERN, MS_PER_UNIT);
      if (value !== undefined && value >= minMs && value <= maxMs) return value;
      context.addIssue({
        code: 'custom',
        message: `'${text}' is not a duration from ${min} to ${max}: write a number and ms, s, m, h or d, such as 250ms or 10s`,
      });
      return z.NEVER;
    })
    .meta({form: 'duration', range: `${min} to ${max}`});
}

/** Accepts any duration up to a year. */
export const durationSchema = buildDurationSchema('0ms', '365d');

/**
 * Accepts `512B`, `24MB`, `64KiB`, `1MiB`, `2GiB` between `min` and `max`, and `0` if
 * `min` is 0; the value is in bytes.
 */
export function buildSizeSchema(min: string, max: string) {
  const minBytes = parseAmount(min, SIZE_PATTERN, BYTES_PER_UNIT)!;
  const maxBytes = parseAmount(max, SIZE_PATTERN, BYTES_PER_UNIT)!;
  return z
    .string()
    .transform((text, context) => {
      const value =
        text.trim() === '0'
          ? 0
          : parseAmount(text, SIZE_PATTERN, BYTES_PER_UNIT);
      if (value !== undefined && value >= minBytes && value <= maxBytes) {
        return value;
      }
      context.addIssue({
        code: 'custom',
        message: `'${text}' is not a size from ${min} to ${max}: write a whole number and B, MB, KiB, MiB or GiB, such as 64KiB`,
      });
      return z.NEVER;
    })
    .meta({form: 'size', range: `${min} to ${max}`});
}

/** Parses an amount; undefined if it has none of the units. */
function parseAmount(
  text: string,
  pattern: RegExp,
  factors: Record<string, number>,
): number | undefined {
  const match = pattern.exec(text.trim());
  return match ? Number(match[1]) * factors[match[2]] : undefined;
}

/** Accepts `20/s`, `600/m`, `100/h`; the value is in requests per second. */
export const rateSchema = z
  .string()
  .transform((text, context) => {
    const match = /^(\d+(?:\.\d+)?)\s*\/\s*(s|m|h)$/.exec(text.trim());
    if (match && Number(match[1]) > 0) {
      return Number(match[1]) / SECONDS_PER_UNIT[match[2]];
    }
    context.addIssue({
      code: 'custom',
      message: `'${text}' is not a rate: write a number above 0 and /s, /m or /h, such as 20/s`,
    });
    return z.NEVER;
  })
  .meta({form: 'rate', range: 'above 0'});

/** Accepts a number above 0 and up to 1, such as `0.675`. */
export const shareSchema = z
  .string()
  .transform((text, context) => {
    const value = Number(text);
    if (text.trim() !== '' && value > 0 && value <= 1) return value;
    context.addIssue({
      code: 'custom',
      message: `'${text}' is not a share: write a number above 0 and up to 1, such as 0.5`,
    });
    return z.NEVER;
  })
  .meta({form: 'share', range: 'above 0, up to 1'});

/** Accepts an integer between `min` and `max`. */
export function buildIntegerSchema(min: number, max: number) {
  return z
    .string()
    .transform((text, context) => {
      const value = Number(text);
      if (/^-?\d+$/.test(text.trim()) && value >= min && value <= max) {
        return value;
      }
      context.addIssue({
        code: 'custom',
        message: `'${text}' is not a whole number from ${min} to ${max}`,
      });
      return z.NEVER;
    })
    .meta({form: 'whole number', range: `${min} to ${max}`});
}

/** Accepts a list separated by commas; empty entries are dropped. */
export const listSchema = z
  .string()
  .transform(text =>
    text
      .split(',')
      .map(entry => entry.trim())
      .filter(entry => entry !== ''),
  )
  .meta({form: 'list, separated by commas'});

/** Accepts `yes` or `no` (also `true`, `false`). */
export const booleanSchema = z
  .union([z.string(), z.boolean()])
  .transform((value, context) => {
    const text = String(value).trim();
    if (text === 'yes' || text === 'true') return true;
    if (text === 'no' || text === 'false') return false;
    context.addIssue({
      code: 'custom',
      message: `'${text}' must be yes or no`,
    });
    return z.NEVER;
  })
  .meta({form: 'yes or no'});

/**
 * Accepts an IP address and a port, such as `10.0.0.1:8080` or `[::1]:8080`.
 */
export const addressSchema = z
  .string()
  .refine(
    isAddress,
    'must be an IP number and a port up to 65535, such as 10.0.0.1:8080',
  )
  .meta({form: 'IP number and port'});

function isAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([\d.]+)):(\d{1,5})$/.exec(text);
  if (!match) return false;
  const [, ipv6, ipv4, port] = match;
  const isHost = ipv6 !== undefined ? isIPv6(ipv6) : isIPv4(ipv4);
  return isHost && Number(port) <= MAX_PORT;
}

/** Accepts names of services, accounts, pools, instances and domains. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'must be 1 to 63 of a-z, 0-9 and -, beginning with a letter or digit',
  )
  .meta({form: 'name', range: '1 to 63 of a-z, 0-9 and -'});
