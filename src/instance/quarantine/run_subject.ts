/** What identifies a run for the quarantine. */
import {hashText, normalizeId} from '../../common/ids.js';
import {MAX_PARTS} from './constants.js';

/** The content that a run asks for, and what its prompt shares with others. */
export interface RunSubject {
  /** Identifies the request's content; see computeContentId. */
  content: string;
  /** Ids of the parts of its prompt that other prompts may share, in order. */
  parts: readonly string[];
}

/** Characters of the ids of parts as they are; they separate nothing in rows and keys. */
const PLAIN_ID = /^[\w.:-]+$/;

/** Builds a subject with bounded parts, whose ids come from callers. */
export function buildRunSubject(
  content: string,
  parts: readonly string[],
): RunSubject {
  const first = [...new Set(parts)].slice(0, MAX_PARTS);
  return {content, parts: first.map(normalizePartId)};
}

function normalizePartId(id: string): string {
  return PLAIN_ID.test(id) ? normalizeId(id) : hashText(id);
}
