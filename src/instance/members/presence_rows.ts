/** Rows of presence checks: the current check, and the confirmations. */
import murmurhash from 'murmurhash';
import * as z from 'zod';
import {buildPartition} from '../../stores/collections.js';
import type {Fields, Row, RowKey} from '../../stores/table_store.js';
import type {AbsentInstance} from './absences.js';
import {CONFIRMATION_SHARDS, MAX_ABSENT_PER_CHECK} from './constants.js';

/** Collection of the one row of the current check, which all instances follow. */
export const PRESENCE_CHECKS = 'presence_checks';

/** Table of the confirmations, which only the requester of a check reads. */
const CONFIRMATIONS = 'presence';

export const CHECK_KEY: RowKey = {
  partition: buildPartition(PRESENCE_CHECKS),
  sort: 'current',
};

/** A presence check; `startedAt` is in ms of the shared time. */
export interface PresenceCheck {
  number: number;
  requester: string;
  startedAt: number;
  /** The instances that did not confirm; undefined while the check is open. */
  absent?: readonly AbsentInstance[];
}

const checkFieldsSchema = z.object({
  number: z.number().int().positive(),
  requester: z.string(),
  startedAt: z.number(),
  /** JSON of the absent instances; empty while the check is open. */
  absent: z.string(),
});

const absentSchema = z
  .array(z.object({name: z.string(), incarnation: z.string()}))
  .max(MAX_ABSENT_PER_CHECK);

export function encodeCheck(check: PresenceCheck): Fields {
  const {absent, ...fields} = check;
  return {...fields, absent: absent ? JSON.stringify(absent) : ''};
}

/** Returns undefined for a row that is no presence check. */
export function decodeCheck({fields}: Row): PresenceCheck | undefined {
  const parsed = checkFieldsSchema.safeParse(fields);
  if (!parsed.success) return undefined;
  const {absent, ...check} = parsed.data;
  if (absent === '') return check;
  try {
    return {...check, absent: absentSchema.parse(JSON.parse(absent))};
  } catch {
    return undefined;
  }
}

/** Key of the row by which an instance confirms its presence. */
export function buildConfirmationKey(name: string): RowKey {
  const shard = murmurhash.v3(name) % CONFIRMATION_SHARDS;
  return {partition: buildConfirmationPartition(shard), sort: name};
}

export function listConfirmationPartitions(): string[] {
  return Array.from({length: CONFIRMATION_SHARDS}, (_, shard) =>
    buildConfirmationPartition(shard),
  );
}

function buildConfirmationPartition(shard: number): string {
  return buildPartition(CONFIRMATIONS, String(shard));
}
