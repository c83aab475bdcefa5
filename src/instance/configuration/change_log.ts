/**
 * The log of changes in the platform's table. Each change commits in one
 * transaction with the rows it affects, the head row, and a row under its
 * generation. So generations have no gaps, two operators cannot take the same
 * one, and a reader needs one read to learn whether anything changed, and what.
 */
import {generateId} from '../../common/ids.js';
import {
  StoreError,
  type Row,
  type TableStore,
  type WriteOperation,
} from '../../stores/table_store.js';
import {
  changeSchema,
  type Change,
  type DocumentChange,
  type KeyChange,
  type ConfigurationUpdate,
} from './changes.js';
import {
  CHANGES_PER_PAGE,
  CHANGES_PARTITION,
  CONFIGURATION_PARTITION,
  HEAD_KEY,
  RETAINED_CHANGES,
  KEYS_PARTITION,
  MAX_GENERATION_CONFLICTS,
  MAX_UNCLEAR_ATTEMPTS,
} from './constants.js';

const GENERATION_DIGITS = 12;

/** Result of a change. `index` is the operation whose condition failed. */
export type ChangeOutcome =
  {kind: 'committed'; generation: number} | {kind: 'conflict'; index: number};

function buildChangeKey(generation: number) {
  const sort = String(generation).padStart(GENERATION_DIGITS, '0');
  return {partition: CHANGES_PARTITION, sort};
}

/** Generation of the last change. */
export async function readHead(table: TableStore): Promise<number> {
  return (await table.get(HEAD_KEY))?.version ?? 0;
}

/**
 * Commits `change` together with `operations`. If the response is lost, the row
 * under the change's generation shows whether it was committed, because it
 * names the change. Throws StoreError with effect `unknown` if that row cannot
 * be read either.
 */
export async function commitChange(
  table: TableStore,
  change: Change,
  operations: readonly WriteOperation[],
): Promise<ChangeOutcome> {
  const changeId = generateId('change');
  let unclearAt: number | undefined;
  let unclearAttempts = 0;

  async function hasCommitted(generation: number | undefined) {
    if (generation === undefined) return false;
    const row = await table.get(buildChangeKey(generation));
    return row?.fields.changeId === changeId;
  }

  async function runAttempt(): Promise<ChangeOutcome | 'again'> {
    const head = await readHead(table);
    if (await hasCommitted(unclearAt)) {
      return {kind: 'committed', generation: unclearAt!};
    }
    const generation = head + 1;
    const transaction = buildOperations(operations, change, changeId, head);
    try {
      const outcome = await table.transact(transaction);
      if (outcome.kind === 'committed') return {kind: 'committed', generation};
      if (await hasCommitted(unclearAt)) {
        return {kind: 'committed', generation: unclearAt!};
      }
      return outcome.index < operations.length ? outcome : 'again';
    } catch (error) {
      if (error instanceof StoreError && error.effect === 'unknown') {
        unclearAt = generation;
      }
      throw error;
    }
  }

  for (let conflicts = 0; conflicts < MAX_GENERATION_CONFLICTS; conflicts++) {
    try {
      const outcome = await runAttempt();
      if (outcome === 'again') continue;
      if (outcome.kind === 'committed') {
        await deleteOldChange(table, outcome.generation);
      }
      return outcome;
    } catch (error) {
      if (!(error instanceof StoreError) || unclearAt === undefined)
        throw error;
      if (++unclearAttempts < MAX_UNCLEAR_ATTEMPTS) continue;
      throw new StoreError(error.message, 'unknown', error);
    }
  }
  throw new StoreError(
    'too many concurrent changes took the next generation',
    'none',
  );
}

function buildOperations(
  operations: readonly WriteOperation[],
  change: Change,
  changeId: string,
  head: number,
): WriteOperation[] {
  return [
    ...operations,
    {
      kind: 'put',
      key: HEAD_KEY,
      fields: {},
      condition:
        head === 0 ? {kind: 'absent'} : {kind: 'version', version: head},
    },
    {
      kind: 'put',
      key: buildChangeKey(head + 1),
      fields: {changeId, change: JSON.stringify(change)},
      condition: {kind: 'absent'},
    },
  ];
}

/** If this fails the row stays, which only costs a few bytes. */
async function deleteOldChange(table: TableStore, generation: number) {
  if (generation <= RETAINED_CHANGES) return;
  const key = buildChangeKey(generation - RETAINED_CHANGES);
  const condition = {kind: 'fields', equals: {}} as const;
  await table.transact([{kind: 'delete', key, condition}]).catch(() => {});
}

/**
 * Fetches what brings an instance from generation `held` to the newest one: the
 * changes since then, or the complete state if some of them are no longer
 * retained.
 */
export async function fetchUpdate(
  table: TableStore,
  held: number,
): Promise<ConfigurationUpdate> {
  if (held === 0) return fetchCompleteState(table);
  const changes: Change[] = [];
  for (let generation = held; ;) {
    const rows = await table.query(CHANGES_PARTITION, {
      after: buildChangeKey(generation).sort,
      limit: CHANGES_PER_PAGE,
    });
    for (const row of rows) {
      if (Number(row.key.sort) !== ++generation)
        return fetchCompleteState(table);
      changes.push(decodeChange(row));
    }
    if (rows.length < CHANGES_PER_PAGE)
      return {generation, from: held, changes};
  }
}

/**
 * Reads the complete state. The head is read first, so a change committed
 * during the reads is read again by the next update.
 */
async function fetchCompleteState(
  table: TableStore,
): Promise<ConfigurationUpdate> {
  const generation = await readHead(table);
  const documents = await table.query(CONFIGURATION_PARTITION);
  const keys = await table.query(KEYS_PARTITION);
  const changes = [
    ...documents.map(toDocumentChange),
    ...keys.map(toKeyChange),
  ];
  return {generation, from: null, changes};
}

function decodeChange(row: Row): Change {
  return changeSchema.parse(JSON.parse(String(row.fields.change)));
}

/** The document change that corresponds to a document's row. */
export function toDocumentChange({key, version, fields}: Row): DocumentChange {
  return {
    kind: 'document',
    service: key.sort,
    version,
    text: String(fields.text),
    author: String(fields.author),
  };
}

/** The key change that corresponds to a key's row. */
export function toKeyChange({key, fields}: Row): KeyChange {
  return {
    kind: 'key',
    keyHash: key.sort,
    keyId: String(fields.keyId),
    account: String(fields.account),
    state: fields.state === 'withdrawn' ? 'withdrawn' : 'valid',
  };
}
