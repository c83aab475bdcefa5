/** Validates the lines of a bundle one by one while it is uploaded. */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {RouterError} from '../../common/errors.js';
import {isCompletionPath} from '../execution/completions.js';
import {MAX_REPORTED_FAULTS} from './constants.js';
import type {NumberedLine} from './line_reader.js';

/** Schema of one line of a bundle. */
export const batchItemSchema = z.strictObject({
  custom_id: z.string().min(1).max(512),
  method: z.literal('POST'),
  url: z.string().refine(isCompletionPath, 'must be a completions path'),
  body: z.looseObject({model: z.string()}),
});

/** An item as submitted. */
export type BatchItem = z.infer<typeof batchItemSchema>;

/** What all items have in common, determined by the first item. */
export interface BundleTarget {
  service: string;
  endpoint: string;
  maxItems: number;
}

/** Finds the target of an item's model; throws RouterError without one. */
export type TargetFinder = (model: string) => Omit<BundleTarget, 'endpoint'>;

/** Validates lines in order and collects faults. */
export interface BundleCheck {
  /** Whether the line is a valid item. */
  checkLine(line: NumberedLine): boolean;
  /**
   * Returns the target; throws RouterError with the faults if there are any.
   */
  finish(): BundleTarget;
  /**
   * Whether MAX_REPORTED_FAULTS faults were found, so that reading can stop.
   */
  isFull(): boolean;
  hasFaults(): boolean;
  /** Undefined before the first line with a known model. */
  getTarget(): BundleTarget | undefined;
}

interface LineFault {
  line: number;
  message: string;
}

/** Creates the check of one bundle. */
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

  function findFaultMessage(text: string): string | undefined {
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
      const message = findFaultMessage(text);
      if (message !== undefined) faults.push({line: number, message});
      return message === undefined;
    },
    finish() {
      if (faults.length > 0) throw buildLinesError(faults);
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

/** Parses a line; returns a message if it is not a valid item. */
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

/** Computes a digest that is never 0, as 0 marks a free slot. */
function computeDigest(text: string): bigint {
  const digest = createHash('sha256').update(text).digest();
  return digest.readBigUInt64LE() || 1n;
}

function buildLinesError(faults: readonly LineFault[]): RouterError {
  const described = faults.map(({line, message}) => `line ${line}: ${message}`);
  return new RouterError('invalid_request', described.join('; '), {
    verdict: 'not-run',
    field: `line ${faults[0].line}`,
  });
}

/**
 * Creates a set of 64-bit digests, which takes 16 to 32 bytes per entry. The
 * ids of 290,000 items as strings would take a tenth of an instance's memory.
 * With SHA-256, two different ids of a bundle of that size have the same digest
 * in about 1 of 400 million bundles. Murmur hashes with two seeds collided at
 * the 126,650th of sequentially numbered ids, and a valid bundle was refused.
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
    /** Adds `text`; false if it was already in the set. */
    add(text: string): boolean {
      const digest = computeDigest(text);
      const added = insertDigest(slots, digest);
      if (added) size++;
      if (size * 2 > slots.length) replaceTable();
      return added;
    },
  };
}
