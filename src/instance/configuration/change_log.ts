/**
 * The changes in the platform's table. Each change commits in one transaction
 * with the rows it is about, the head row and a row under its generation: so
 * generations have no gaps, two operators cannot take the same one, and a
 * reader needs one read to learn that nothing changed, or what did.
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
  type Update,
} from './changes.js';
import {
  CHANGE_PAGE,
  CHANGES_PARTITION,
  CONFIGURATION_PARTITION,
  HEAD_KEY,
  KEPT_CHANGES,
  KEYS_PARTITION,
  MAX_HEAD_RACES,
  MAX_UNCLEAR_TRIES,
} from './constants.js';

const GENERATION_DIGITS = 12;

/** How a change ended; `index` is the operation whose condition failed. */
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
 * Commits `change` together with `operations`. An answer that is lost is
 * settled by the row under the change's generation, which names the change;
 * throws StoreError with effect `unknown` when even that cannot be read.
 */
export async function commitChange(
  table: TableStore,
  change: Change,
  operations: readonly WriteOperation[],
): Promise<ChangeOutcome> {
  const changeId = generateId('change');
  let unclearAt: number | undefined;
  let unclearTries = 0;

  async function hasCommitted(generation: number | undefined) {
    if (generation === undefined) return false;
    const row = await table.get(buildChangeKey(generation));
    return row?.fields.changeId === changeId;
  }

  async function runOnce(): Promise<ChangeOutcome | 'again'> {
    const head = await readHead(table);
    if (await hasCommitted(unclearAt)) {
      return {kind: 'committed', generation: unclearAt!};
    }
    const generation = head + 1;
    const steps = buildSteps(operations, change, changeId, head);
    try {
      const outcome = await table.transact(steps);
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

  for (let races = 0; races < MAX_HEAD_RACES; races++) {
    try {
      const outcome = await runOnce();
      if (outcome === 'again') continue;
      if (outcome.kind === 'committed') {
        await deleteOldChange(table, outcome.generation);
      }
      return outcome;
    } catch (error) {
      if (!(error instanceof StoreError) || unclearAt === undefined)
        throw error;
      if (++unclearTries < MAX_UNCLEAR_TRIES) continue;
      throw new StoreError(error.message, 'unknown', error);
    }
  }
  throw new StoreError('too many changes at once', 'none');
}

function buildSteps(
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

/** A row that stays for want of an answer costs some bytes and no more. */
async function deleteOldChange(table: TableStore, generation: number) {
  if (generation <= KEPT_CHANGES) return;
  const key = buildChangeKey(generation - KEPT_CHANGES);
  const condition = {kind: 'fields', equals: {}} as const;
  await table.transact([{kind: 'delete', key, condition}]).catch(() => {});
}

/**
 * What brings an instance from generation `held` to the newest: the changes
 * since, or everything when some of those are kept no more.
 */
export async function fetchUpdate(
  table: TableStore,
  held: number,
): Promise<Update> {
  if (held === 0) return fetchAll(table);
  const changes: Change[] = [];
  for (let generation = held; ;) {
    const rows = await table.query(CHANGES_PARTITION, {
      after: buildChangeKey(generation).sort,
      limit: CHANGE_PAGE,
    });
    for (const row of rows) {
      if (Number(row.key.sort) !== ++generation) return fetchAll(table);
      changes.push(decodeChange(row));
    }
    if (rows.length < CHANGE_PAGE) return {generation, from: held, changes};
  }
}

/** The head is read first: what is committed meanwhile is read twice. */
async function fetchAll(table: TableStore): Promise<Update> {
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

/** The change that a document's row amounts to. */
export function toDocumentChange({key, version, fields}: Row): DocumentChange {
  return {
    kind: 'document',
    service: key.sort,
    version,
    text: String(fields.text),
    author: String(fields.author),
  };
}

/** The change that a key's row amounts to. */
export function toKeyChange({key, fields}: Row): KeyChange {
  return {
    kind: 'key',
    keyHash: key.sort,
    keyId: String(fields.keyId),
    account: String(fields.account),
    state: fields.state === 'withdrawn' ? 'withdrawn' : 'valid',
  };
}
