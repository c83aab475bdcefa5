/**
 * Stores bundles. All rows of one bundle are in one shard, so that each change
 * is one transaction:
 *
 * - The bundle's row contains its account, the listed items and the epoch of the
 *   owner that may commit.
 * - While the bundle is open, a second row names its owner. A few instances watch
 *   these rows.
 * - Each listed result has a row. Its position never changes.
 */
import {
  waitingBundlesSchema,
  type WaitingBundles,
} from '../../decisions/waiting_tokens.js';
import {buildPartition} from '../../stores/collections.js';
import type {SmallObjectStore} from '../../stores/object_store.js';
import {computeStoredBytes} from '../../stores/stored_size.js';
import {
  StoreError,
  type Row,
  type TableStore,
  type WriteOperation,
} from '../../stores/table_store.js';
import {
  buildItemPuts,
  buildKey,
  buildProgressName,
  buildResultKey,
  buildTextName,
  buildTextPrefix,
  buildWaitingKey,
  BUNDLES,
  chooseShard,
  decodeBundleRow,
  decodeOwnerRow,
  findBundle,
  isTextName,
  ITEMS,
  OPEN_BUNDLES,
  RESULTS,
  type StoredBundle,
} from './bundle_rows.js';
import {
  bundleItemsSchema,
  encodeListed,
  resultFieldsSchema,
  type BundleFields,
  type BundleItem,
  type ItemResult,
  type OwnerFields,
} from './bundle_types.js';
import {
  BUNDLE_SHARDS,
  MAX_ITEMS_IN_ROWS,
  MAX_PAGE_BYTES,
  MAX_PAGE_RESULTS,
  MAX_TEXT_IN_ROW,
} from './constants.js';

/** Whether a change was committed, or a row differed from what was expected. */
export type ChangeOutcome = 'committed' | 'conflict';

/** Reads and changes bundles. All methods throw StoreError. */
export interface BundleStore {
  find(id: string): Promise<StoredBundle | undefined>;
  /**
   * Creates a bundle with its items; `conflict` when a bundle has this id.
   * Items that fit are written as rows in the same transaction, because objects
   * are slower and may be unavailable while rows are available.
   */
  create(
    id: string,
    fields: BundleFields,
    owner: OwnerFields,
    items: readonly BundleItem[],
  ): Promise<ChangeOutcome>;
  /**
   * Makes `owner` the only one that may commit. Its epoch is the next one.
   * Undefined after a conflict.
   */
  changeOwner(
    bundle: StoredBundle,
    owner: OwnerFields,
  ): Promise<StoredBundle | undefined>;
  /**
   * Appends results to the list; the last one completes the bundle. Undefined
   * after a conflict.
   */
  commitResults(
    bundle: StoredBundle,
    listed: readonly number[],
    results: readonly ItemResult[],
  ): Promise<StoredBundle | undefined>;
  /** Ends an open bundle and returns the instance that owned it as `owner`. */
  end(bundle: StoredBundle): Promise<{outcome: ChangeOutcome; owner: string}>;
  /** Finds the owner of a bundle; undefined when the bundle is not open. */
  findOwner(id: string): Promise<OwnerFields | undefined>;
  /** Ids of all open bundles. */
  listOpen(): Promise<string[]>;
  /** Results from a position on, as many as fit into one page. */
  listResults(id: string, after: number): Promise<ItemResult[]>;
  fetchItems(bundle: StoredBundle): Promise<BundleItem[] | undefined>;
  /** Stores the progress of items not listed yet, for the next owner. */
  putProgress(id: string, progress: string): Promise<void>;
  fetchProgress(id: string): Promise<string | undefined>;
  /** Waiting bundles of an account on a route; undefined without a row. */
  fetchWaiting(
    account: string,
    route: string,
  ): Promise<{version: number; waiting: WaitingBundles} | undefined>;
  /**
   * Writes the waiting bundles of an account on a route; false when the row
   * does not have the given version any more.
   */
  putWaiting(
    account: string,
    route: string,
    version: number | undefined,
    waiting: WaitingBundles,
  ): Promise<boolean>;
  /**
   * Bundles of one shard that are not open and were accepted before `before`.
   */
  listExpired(shard: string, before: number): Promise<StoredBundle[]>;
  /** Deletes all rows and objects of a bundle. */
  delete(bundle: StoredBundle): Promise<void>;
}

/** Creates a store that uses table rows and small objects. */
export function createBundleStore(
  table: TableStore,
  objects: SmallObjectStore,
): BundleStore {
  async function changeRow(
    bundle: StoredBundle,
    fields: BundleFields,
    others: readonly WriteOperation[],
  ): Promise<StoredBundle | undefined> {
    const {id, version} = bundle;
    const outcome = await table.transact([
      {
        kind: 'put',
        key: buildKey(BUNDLES, id),
        fields,
        condition: {kind: 'version', version},
      },
      ...others,
    ]);
    if (outcome.kind === 'conflict') return undefined;
    return {id, version: version + 1, fields};
  }

  async function fetchOpenRow(id: string): Promise<Row | undefined> {
    return table.get(buildKey(OPEN_BUNDLES, id));
  }

  /** Deletes the owner row in the transaction that ends the bundle. */
  function buildRemoval(row: Row | undefined): WriteOperation[] {
    if (!row) return [];
    const condition = {kind: 'version', version: row.version} as const;
    return [{kind: 'delete', key: row.key, condition}];
  }

  async function buildResultPut(
    id: string,
    position: number,
    result: ItemResult,
  ): Promise<WriteOperation> {
    const {itemId, state, text, isRefused} = result;
    const key = buildResultKey(id, position);
    const condition = {kind: 'absent'} as const;
    if (!isRefused && computeStoredBytes(text) <= MAX_TEXT_IN_ROW) {
      return {kind: 'put', key, fields: {itemId, state, text}, condition};
    }
    const object = buildTextName(id, itemId, text);
    const body = Buffer.from(text);
    await objects.put(object, body);
    const fields = {itemId, state, object, bytes: body.length};
    return {kind: 'put', key, fields, condition};
  }

  function listItemRows(id: string): Promise<Row[]> {
    return table.query(buildPartition(ITEMS, chooseShard(id)), {
      prefix: `${id}/`,
    });
  }

  async function decodeResult({fields}: Row): Promise<ItemResult> {
    const {itemId, state, text, object, bytes} =
      resultFieldsSchema.parse(fields);
    if (object === undefined) return {itemId, state, text: text ?? ''};
    const body = await objects.get(object);
    if (!body) throw new StoreError(`object ${object} is missing`, 'none');
    if (bytes !== undefined && body.length !== bytes) {
      const message = `object ${object} has ${body.length} of ${bytes} bytes`;
      throw new StoreError(message, 'none');
    }
    return {itemId, state, text: body.toString('utf8')};
  }

  /** Throws StoreError if the text is not whole. */
  function decodeItems(id: string, text: string): BundleItem[] {
    try {
      return bundleItemsSchema.parse(JSON.parse(text));
    } catch (cause) {
      const message = `the items of bundle ${id} cannot be decoded`;
      throw new StoreError(message, 'none', cause);
    }
  }

  /** Deletes all texts of a bundle, also those that late owners wrote and none listed. */
  async function deleteTexts(id: string) {
    const prefix = buildTextPrefix(id);
    let after: string | undefined;
    for (;;) {
      const names = await objects.list(prefix, after);
      for (const name of names) {
        if (isTextName(name, id)) await objects.delete(name);
      }
      after = names.at(-1);
      if (after === undefined) return;
    }
  }

  return {
    async find(id) {
      const row = await table.get(buildKey(BUNDLES, id));
      return row && decodeBundleRow(row);
    },
    async create(id, fields, owner, items) {
      const condition = {kind: 'absent'} as const;
      const text = JSON.stringify(items);
      const isLarge = computeStoredBytes(text) > MAX_ITEMS_IN_ROWS;
      if (isLarge) await objects.put(fields.object, Buffer.from(text));
      const outcome = await table.transact([
        ...(isLarge ? [] : buildItemPuts(id, text)),
        {kind: 'put', key: buildKey(BUNDLES, id), fields, condition},
        {
          kind: 'put',
          key: buildKey(OPEN_BUNDLES, id),
          fields: owner,
          condition,
        },
      ]);
      return outcome.kind;
    },
    async changeOwner(bundle, owner) {
      const {id} = bundle;
      const row = await fetchOpenRow(id);
      if (!row) return undefined;
      const condition = {kind: 'version', version: row.version} as const;
      return changeRow(bundle, {...bundle.fields, epoch: owner.epoch}, [
        {kind: 'put', key: row.key, fields: owner, condition},
      ]);
    },
    async commitResults(bundle, listed, results) {
      const {id, fields} = bundle;
      const first = listed.length - results.length;
      const puts = await Promise.all(
        results.map((result, index) =>
          buildResultPut(id, first + index, result),
        ),
      );
      const isComplete = listed.length === fields.total;
      const removal = isComplete ? buildRemoval(await fetchOpenRow(id)) : [];
      const state = isComplete ? 'complete' : fields.state;
      const next = {...fields, state, listed: encodeListed(listed)} as const;
      return changeRow(bundle, next, [...puts, ...removal]);
    },
    async end(bundle) {
      const next = {...bundle.fields, state: 'ended'} as const;
      const row = await fetchOpenRow(bundle.id);
      const ended = await changeRow(bundle, next, buildRemoval(row));
      const owner = (row && decodeOwnerRow(row)?.owner) ?? '';
      return {outcome: ended ? 'committed' : 'conflict', owner};
    },
    async findOwner(id) {
      const row = await fetchOpenRow(id);
      return row && decodeOwnerRow(row);
    },
    async listOpen() {
      const rows = await Promise.all(
        Array.from({length: BUNDLE_SHARDS}, (_, shard) =>
          table.query(buildPartition(OPEN_BUNDLES, String(shard))),
        ),
      );
      return rows.flat().map(({key}) => key.sort);
    },
    async listResults(id, after) {
      const rows = await table.query(buildPartition(RESULTS, chooseShard(id)), {
        prefix: `${id}/`,
        after: after > 0 ? buildResultKey(id, after - 1).sort : undefined,
        limit: MAX_PAGE_RESULTS,
      });
      const results: ItemResult[] = [];
      let bytes = 0;
      for (const row of rows) {
        const result = await decodeResult(row);
        bytes += computeStoredBytes(result.text);
        if (results.length > 0 && bytes > MAX_PAGE_BYTES) break;
        results.push(result);
      }
      return results;
    },
    async fetchItems({id, fields}) {
      const rows = await listItemRows(id);
      const text =
        rows.length > 0
          ? rows.map(row => String(row.fields.text)).join('')
          : (await objects.get(fields.object))?.toString();
      return text === undefined ? undefined : decodeItems(id, text);
    },
    putProgress: (id, progress) =>
      objects.put(buildProgressName(id), Buffer.from(progress)),
    async fetchProgress(id) {
      return (await objects.get(buildProgressName(id)))?.toString();
    },
    async fetchWaiting(account, route) {
      const row = await table.get(buildWaitingKey(account, route));
      if (!row) return undefined;
      const text = String(row.fields.bundles);
      const waiting = waitingBundlesSchema.parse(JSON.parse(text));
      return {version: row.version, waiting};
    },
    async putWaiting(account, route, version, waiting) {
      const condition =
        version === undefined
          ? ({kind: 'absent'} as const)
          : ({kind: 'version', version} as const);
      const key = buildWaitingKey(account, route);
      const fields = {bundles: JSON.stringify(waiting)};
      const outcome = await table.transact([
        {kind: 'put', key, fields, condition},
      ]);
      return outcome.kind === 'committed';
    },
    async listExpired(shard, before) {
      const rows = await table.query(buildPartition(BUNDLES, shard));
      return rows
        .map(findBundle)
        .filter(bundle => bundle !== undefined)
        .filter(
          ({fields}) => fields.state !== 'open' && fields.acceptedAt < before,
        );
    },
    async delete(bundle) {
      const {id, version, fields} = bundle;
      const results = await table.query(
        buildPartition(RESULTS, chooseShard(id)),
        {prefix: `${id}/`},
      );
      for (const row of [...results, ...(await listItemRows(id))]) {
        if (row.fields.object) await objects.delete(String(row.fields.object));
        const condition = {kind: 'version', version: row.version} as const;
        await table.transact([{kind: 'delete', key: row.key, condition}]);
      }
      await deleteTexts(id);
      await objects.delete(fields.object);
      await objects.delete(buildProgressName(id));
      const condition = {kind: 'version', version} as const;
      const key = buildKey(BUNDLES, id);
      await table.transact([{kind: 'delete', key, condition}]);
    },
  };
}
