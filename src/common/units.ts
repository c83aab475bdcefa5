/** Schemas of the values with units that settings and documents hold. */
import {z} from 'zod';

const MS_PER_UNIT: Record<string, number> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const BYTES_PER_UNIT: Record<string, number> = {
  B: 1,
  KiB: 1024,
  MiB: 1024 ** 2,
  GiB: 1024 ** 3,
};

const SECONDS_PER_UNIT: Record<string, number> = {s: 1, m: 60, h: 3600};

/** `250ms`, `10s`, `5m`, `1h`, `2d`; the value is in milliseconds. */
export const durationSchema = z.string().transform((text, context) => {
  const match = /^(\d+(?:\.\d+)?)\s*(ms|s|m|h|d)$/.exec(text.trim());
  if (match) return Number(match[1]) * MS_PER_UNIT[match[2]];
  context.addIssue({
    code: 'custom',
    message: `'${text}' is not a duration: write a number and ms, s, m, h or d, such as 250ms or 10s`,
  });
  return z.NEVER;
});

/** `512B`, `64KiB`, `1MiB`, `2GiB`; the value is in bytes. */
export const sizeSchema = z.string().transform((text, context) => {
  const match = /^(\d+)\s*(B|KiB|MiB|GiB)$/.exec(text.trim());
  if (match) return Number(match[1]) * BYTES_PER_UNIT[match[2]];
  context.addIssue({
    code: 'custom',
    message: `'${text}' is not a size: write a whole number and B, KiB, MiB or GiB, such as 64KiB`,
  });
  return z.NEVER;
});

/** `20/s`, `600/m`, `100/h`; the value is in requests a second. */
export const rateSchema = z.string().transform((text, context) => {
  const match = /^(\d+(?:\.\d+)?)\s*\/\s*(s|m|h)$/.exec(text.trim());
  if (match && Number(match[1]) > 0) {
    return Number(match[1]) / SECONDS_PER_UNIT[match[2]];
  }
  context.addIssue({
    code: 'custom',
    message: `'${text}' is not a rate: write a number above 0 and /s, /m or /h, such as 20/s`,
  });
  return z.NEVER;
});

/** A whole number between `min` and `max`. */
export function buildIntegerSchema(min: number, max: number) {
  return z.string().transform((text, context) => {
    const value = Number(text);
    if (/^-?\d+$/.test(text.trim()) && value >= min && value <= max) {
      return value;
    }
    context.addIssue({
      code: 'custom',
      message: `'${text}' is not a whole number from ${min} to ${max}`,
    });
    return z.NEVER;
  });
}

/** A list separated by commas; empty entries are dropped. */
export const listSchema = z.string().transform(text =>
  text
    .split(',')
    .map(entry => entry.trim())
    .filter(entry => entry !== ''),
);

/** `yes` or `no` (also `true`, `false`). */
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
  });

/** `10.0.0.1:8080` or `[::1]:8080`: an IP number and a port. */
export const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'must be an IP number and a port, such as 10.0.0.1:8080',
  );

/** Names of services, accounts, pools, instances and domains. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'must be 1 to 63 of a-z, 0-9 and -, beginning with a letter or digit',
  );
