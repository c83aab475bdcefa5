/** Checks the lines of a bundle one by one as they stream in. */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {RouterError} from '../../common/errors.js';
import {isCompletionPath} from '../execution/completions.js';
import {MAX_REPORTED_FAULTS} from './constants.js';
import type {NumberedLine} from './line_reader.js';

/** One line of a bundle. */
export const batchItemSchema = z.strictObject({
  custom_id: z.string().min(1).max(512),
  method: z.literal('POST'),
  url: z.string().refine(isCompletionPath, 'must be a completions path'),
  body: z.looseObject({model: z.string()}),
});

/** An item as submitted. */
export type BatchItem = z.infer<typeof batchItemSchema>;

/** What the first item fixes for all others. */
export interface BundleTarget {
  service: string;
  endpoint: string;
  maxItems: number;
}

/** Finds the target of an item's model; throws RouterError without one. */
export type TargetFinder = (model: string) => Omit<BundleTarget, 'endpoint'>;

/** Takes lines in order and collects faults. */
export interface BundleCheck {
  /** Whether the line is a good item. */
  checkLine(line: NumberedLine): boolean;
  /** Throws RouterError naming the lines at fault; the target otherwise. */
  finish(): BundleTarget;
  /** Whether so many faults were found that reading on tells no more. */
  isFull(): boolean;
  hasFaults(): boolean;
  /** Undefined before the first good line. */
  getTarget(): BundleTarget | undefined;
}

interface LineFault {
  line: number;
  message: string;
}

/** Starts the check of one bundle. */
export function createBundleCheck(findTarget: TargetFinder): BundleCheck {
  const faults: LineFault[] = [];
  const seenIds = createDigestSet();
  let target: BundleTarget | undefined;
  let items = 0;

  function findFault(text: string): string | undefined {
    const parsed = parseItem(text);
    if (typeof parsed === 'string') return parsed;
    const found = findTarget(parsed.body.model);
    target ??= {...found, endpoint: parsed.url};
    if (found.service !== target.service) {
      return `body.model: '${parsed.body.model}' is served by '${found.service}', the first item by '${target.service}'; send one bundle for each service`;
    }
    if (parsed.url !== target.endpoint) {
      return `url: must be '${target.endpoint}' as in the first item`;
    }
    if (items > target.maxItems) {
      return `a bundle holds at most ${target.maxItems} items`;
    }
    if (!seenIds.add(parsed.custom_id)) {
      return `custom_id: '${parsed.custom_id}' was used on a line before`;
    }
    return undefined;
  }

  function describeThrown(text: string): string | undefined {
    try {
      return findFault(text);
    } catch (thrown) {
      if (thrown instanceof RouterError) return thrown.message;
      throw thrown;
    }
  }

  return {
    checkLine({number, text}) {
      items++;
      const message = describeThrown(text);
      if (message !== undefined) faults.push({line: number, message});
      return message === undefined;
    },
    finish() {
      if (faults.length > 0) throw refuseLines(faults);
      if (target) return target;
      throw new RouterError('invalid_request', 'the file holds no items', {
        verdict: 'not-run',
        field: 'file',
      });
    },
    isFull: () => faults.length >= MAX_REPORTED_FAULTS,
    hasFaults: () => faults.length > 0,
    getTarget: () => target,
  };
}

/** The item of a line, or what is wrong with it. */
function parseItem(text: string): BatchItem | string {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return `not JSON: ${(error as Error).message}`;
  }
  const parsed = batchItemSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const path = issue.path.join('.');
  return path === '' ? issue.message : `${path}: ${issue.message}`;
}

/** Never 0, which marks a free slot. */
function computeDigest(text: string): bigint {
  const digest = createHash('sha256').update(text).digest();
  return digest.readBigUInt64LE() || 1n;
}

function refuseLines(faults: readonly LineFault[]): RouterError {
  const described = faults.map(({line, message}) => `line ${line}: ${message}`);
  return new RouterError('invalid_request', described.join('; '), {
    verdict: 'not-run',
    field: `line ${faults[0].line}`,
  });
}

/**
 * A set of 64-bit digests in 16 bytes an entry at most: the ids of 290,000
 * items as strings would take a tenth of an instance's memory. Two different
 * ids of one bundle share a digest of SHA-256 once in about 400 million bundles
 * of that size; murmur hashes under two seeds did so at the 126,650th of ids
 * that count up, which refused a good bundle.
 */
export function createDigestSet() {
  const initialCapacity = 1024;
  let slots = new BigUint64Array(initialCapacity);
  let size = 0;

  function insertDigest(table: BigUint64Array, digest: bigint): boolean {
    const mask = table.length - 1;
    let slot = Number(digest & 0xffffffffn) & mask;
    for (;;) {
      if (table[slot] === digest) return false;
      if (table[slot] === 0n) break;
      slot = (slot + 1) & mask;
    }
    table[slot] = digest;
    return true;
  }

  function replaceTable() {
    const next = new BigUint64Array(slots.length * 2);
    for (const digest of slots) if (digest !== 0n) insertDigest(next, digest);
    slots = next;
  }

  return {
    /** Adds `text`; false when it was there. */
    add(text: string): boolean {
      const digest = computeDigest(text);
      const added = insertDigest(slots, digest);
      if (added) size++;
      if (size * 2 > slots.length) replaceTable();
      return added;
    },
  };
}
