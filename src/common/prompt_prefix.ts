/**
 * Digests of a prompt's leading blocks. Engines cache prompt prefixes; requests
 * that share leading blocks are cheaper on the engine that holds them.
 */
import murmurhash from 'murmurhash';

/** Characters in a block: about 256 tokens, a few pages of an engine's cache. */
const BLOCK_CHARACTERS = 1024;

/** Blocks beyond this add no choice: 16 Ki characters tell prompts apart. */
const MAX_BLOCKS = 16;

/** What of a completion's body its prompt is. */
export interface PromptSource {
  model: string;
  /** Chat. */
  messages?: unknown;
  /** Text completions. */
  prompt?: unknown;
}

/** The digests of a completion's prompt; engines cache the same blocks. */
export function computeRequestPrefixes({
  model,
  messages,
  prompt,
}: PromptSource): string[] {
  return computePrefixHashes(model, JSON.stringify(messages ?? prompt ?? ''));
}

/**
 * One digest for each whole leading block, shortest prefix first. Each covers
 * all text before it, so equal digests mean equal prefixes.
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

/** 64 bits from two seeds: 32 would collide among a day's prompts. */
function computeDigest(text: string): string {
  const [high, low] = [0, 1].map(seed => murmurhash.v3(text, seed));
  return [high, low].map(half => half.toString(16).padStart(8, '0')).join('');
}
