/**
 * Gives, withdraws and lists keys of client accounts in the platform's table.
 */
import {generateId, generateSecret, hashText} from '../../common/ids.js';
import {
  StoreError,
  type Row,
  type TableStore,
} from '../../stores/table_store.js';
import {
  commitChange,
  readHead,
  toKeyChange,
} from '../configuration/change_log.js';
import type {KeyChange} from '../configuration/changes.js';
import {KEYS_PARTITION} from '../configuration/constants.js';

/** A new key. Its secret is shown once and not stored anywhere. */
export interface GivenKey {
  keyId: string;
  secret: string;
  generation: number;
}

/**
 * A withdrawn key, with the generation of the change that every instance has to
 * apply.
 */
export interface WithdrawnKey {
  keyId: string;
  account: string;
  generation: number;
  /** Whether it was already withdrawn before. */
  already: boolean;
}

/**
 * Creates a key. Throws StoreError. If the effect of the write is unknown, the
 * key may exist although nobody has its secret: `listKeys` shows it.
 */
export async function giveKey(
  table: TableStore,
  account: string,
): Promise<GivenKey> {
  const secret = generateSecret();
  const keyId = generateId('key');
  const change = {
    kind: 'key',
    keyHash: hashText(secret),
    keyId,
    account,
    state: 'valid',
  } as const;
  const outcome = await commitChange(table, change, [
    buildPut(change, {kind: 'absent'}),
  ]);
  if (outcome.kind === 'conflict') {
    throw new StoreError('the new key collides with another', 'none');
  }
  return {keyId, secret, generation: outcome.generation};
}

/**
 * Withdraws a key by its ID. Returns undefined if there is none. Withdrawing it
 * again does no harm, and should be done after a StoreError.
 */
export async function withdrawKey(
  table: TableStore,
  keyId: string,
): Promise<WithdrawnKey | undefined> {
  const rows = await table.query(KEYS_PARTITION);
  const row = rows.find(candidate => candidate.fields.keyId === keyId);
  if (!row) return undefined;
  const held = toKeyChange(row);
  const {account} = held;
  if (held.state === 'withdrawn') {
    const generation = await readHead(table);
    return {keyId, account, generation, already: true};
  }
  const change = {...held, state: 'withdrawn'} as const;
  const outcome = await commitChange(table, change, [
    buildPut(change, {kind: 'version', version: row.version}),
  ]);
  if (outcome.kind === 'committed') {
    return {keyId, account, generation: outcome.generation, already: false};
  }
  // Another operator changed the key first. The only change of a valid key is
  // its withdrawal, so the retry finds it withdrawn.
  return withdrawKey(table, keyId);
}

/** All keys, withdrawn ones included, ordered by account. */
export async function listKeys(table: TableStore): Promise<KeyChange[]> {
  const keys = (await table.query(KEYS_PARTITION)).map(toKeyChange);
  return keys.sort((a, b) =>
    `${a.account}/${a.keyId}` < `${b.account}/${b.keyId}` ? -1 : 1,
  );
}

function buildPut(
  {keyHash, keyId, account, state}: KeyChange,
  condition: {kind: 'absent'} | {kind: 'version'; version: Row['version']},
) {
  return {
    kind: 'put',
    key: {partition: KEYS_PARTITION, sort: keyHash},
    fields: {keyId, account, state},
    condition,
  } as const;
}
