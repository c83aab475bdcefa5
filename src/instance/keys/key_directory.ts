/**
 * Client account keys, held only as hashes. A key is looked up on each request
 * and once more when a queued request is about to run, so that a withdrawn key
 * stops working on connections that are already open.
 */
import {generateId, generateSecret, hashText} from '../../common/ids.js';
import {StoreError, type TableStore} from '../../platform/table_store.js';

const KEYS_PARTITION = 'keys';

/** Whose key it is. The hash identifies the key in later checks. */
export interface KeyOwner {
  account: string;
  keyId: string;
  keyHash: string;
}

/** What the directory says of a key. */
export type KeyVerdict =
  | {kind: 'valid'; owner: KeyOwner}
  | {kind: 'unknown'}
  /** This instance cannot tell whether the key was withdrawn. */
  | {kind: 'isolated'};

/** The keys in force here. */
export interface KeyDirectory {
  /** Looks up the secret a caller presented. */
  authenticate(secret: string, now: number): KeyVerdict;
  /** Looks up a key that was valid before. */
  check(keyHash: string, now: number): KeyVerdict;
  /** Reads the table once; throws StoreError when it gives no answer. */
  poll(now: number): Promise<void>;
}

/** Starts without any key. */
export function createKeyDirectory(table: TableStore): KeyDirectory {
  let owners = new Map<string, KeyOwner>();

  function check(keyHash: string): KeyVerdict {
    const owner = owners.get(keyHash);
    return owner ? {kind: 'valid', owner} : {kind: 'unknown'};
  }

  return {
    authenticate: secret => check(hashText(secret)),
    check,
    async poll() {
      const rows = await table.query(KEYS_PARTITION);
      owners = new Map(
        rows.map(row => [
          row.key.sort,
          {
            account: String(row.fields.account),
            keyId: String(row.fields.keyId),
            keyHash: row.key.sort,
          },
        ]),
      );
    },
  };
}

/** Issues a key; the secret is returned once and kept nowhere. */
export async function giveKey(
  table: TableStore,
  account: string,
): Promise<{keyId: string; secret: string}> {
  const secret = generateSecret();
  const keyId = generateId('key');
  const outcome = await table.transact([
    {
      kind: 'put',
      key: {partition: KEYS_PARTITION, sort: hashText(secret)},
      fields: {account, keyId},
      condition: {kind: 'absent'},
    },
  ]);
  if (outcome.kind === 'conflict') {
    throw new StoreError('the new key collides with another', 'none');
  }
  return {keyId, secret};
}

/** Revokes a key by its id. Returns whether it was there. */
export async function withdrawKey(
  table: TableStore,
  keyId: string,
): Promise<boolean> {
  const rows = await table.query(KEYS_PARTITION);
  const row = rows.find(candidate => candidate.fields.keyId === keyId);
  if (!row) return false;
  const outcome = await table.transact([
    {
      kind: 'delete',
      key: row.key,
      condition: {kind: 'version', version: row.version},
    },
  ]);
  return outcome.kind === 'committed';
}
