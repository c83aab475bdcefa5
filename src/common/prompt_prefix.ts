/**
 * Computes digests of a prompt's leading blocks. Engines cache prompt prefixes,
 * so requests that share leading blocks are cheaper on an engine that cached
 * them.
 */
import murmurhash from 'murmurhash';

/** Characters per block: about 256 tokens, a few pages of an engine's cache. */
const BLOCK_CHARACTERS = 1024;

/**
 * Maximum blocks; the first 16 Ki characters are enough to distinguish prompts.
 */
const MAX_BLOCKS = 16;

/** The fields of a completion's body that determine its prompt prefix. */
export interface PromptSource {
  model: string;
  /** Of a chat completion. */
  messages?: unknown;
  /** Of a text completion. */
  prompt?: unknown;
}

/**
 * Computes the prefix digests of a completion; engines cache the same blocks.
 */
export function computeRequestPrefixes({
  model,
  messages,
  prompt,
}: PromptSource): string[] {
  return computePrefixHashes(model, JSON.stringify(messages ?? prompt ?? ''));
}

/**
 * Computes one digest for each complete leading block, shortest prefix first.
 * Each covers the model and all text up to its block, so equal digests mean
 * equal prefixes.
 */
export function computePrefixHashes(model: string, prompt: string): string[] {
  const blocks = Math.min(
    MAX_BLOCKS,
    Math.floor(prompt.length / BLOCK_CHARACTERS),
  );
  const hashes: string[] = [];
  let previous = model;
  for (let block = 0; block < blocks; block++) {
    const start = block * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    previous = computeDigest(previous + text);
    hashes.push(previous);
  }
  return hashes;
}

/**
 * Computes 64 bits from two seeds; 32 bits would collide among a day's prompts.
 */
function computeDigest(text: string): string {
  const [high, low] = [0, 1].map(seed => murmurhash.v3(text, seed));
  return [high, low].map(half => half.toString(16).padStart(8, '0')).join('');
}
