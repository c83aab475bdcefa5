/**
 * Compares the output of a complete session with a golden file, line by line.
 * `UPDATE_GOLDEN=1 npm test` rewrites the golden files; review the diff.
 */
import assert from 'node:assert/strict';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';

const PROJECT_ROOT = join(import.meta.dirname, '..', '..', '..');

/** Returns the path of a source file; works from the compiled tests. */
export function findSourcePath(...parts: string[]): string {
  return join(PROJECT_ROOT, 'src', ...parts);
}

/** Compares `actual` with the golden file at `path` under src/. */
export function assertGolden(path: string, actual: string): void {
  const file = findSourcePath(path);
  if (process.env.UPDATE_GOLDEN === '1') {
    mkdirSync(dirname(file), {recursive: true});
    writeFileSync(file, actual);
    return;
  }
  assert.equal(actual, readFileSync(file, 'utf8'), `differs from ${path}`);
}

/** Replaces values that differ between runs by fixed placeholders. */
export function normalizeSession(text: string): string {
  return text
    .replace(/(req|item|run|key|write)-[0-9a-z]{26}/g, '$1-ID')
    .replace(/127\.0\.0\.1:\d+/g, 'ADDRESS')
    .replace(/(file|file-output|batch)-[0-9a-f]{64}/g, '$1-DIGEST')
    .replace(/("(?:\w+_at)"):\d{10}\b/g, '$1:0');
}
