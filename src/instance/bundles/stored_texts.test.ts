/** Stored texts of bundles of which only the start is read. */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '../../stand_ins/platform/memory_platform.js';
import {StoreError} from '../../stores/table_store.js';
import {createBundleStore, type BundleStore} from './bundle_store.js';
import {buildTextName} from './bundle_rows.js';
import type {BundleItem} from './bundle_types.js';
import {createProgressStore, encodeProgress} from './item_progress.js';
import {MAX_ITEMS_IN_ROWS, MAX_TEXT_IN_ROW} from './constants.js';

const ID = 'bundle-1';
const ITEMS_OBJECT = 'items-of-bundle-1';
const OWNER = {owner: 'front-0', incarnation: 'run-0', epoch: 1};
const FIELDS = {
  account: 'gate',
  route: 'lots',
  routingVersion: 1,
  state: 'open' as const,
  total: 1,
  tokens: 10,
  listed: '',
  epoch: 1,
  acceptedAt: 0,
  object: ITEMS_OBJECT,
  digest: '',
};
const TEXT = 'ä'.repeat(MAX_TEXT_IN_ROW + 1);

function makeItem(body: string): BundleItem {
  return {
    id: 'item-1',
    target: '/lots/x',
    headers: [],
    body,
    promptTokens: 5,
    answerTokens: 5,
    tokens: 10,
  };
}

describe('stored text of a bundle', () => {
  let platform: MemoryPlatform;
  let store: BundleStore;

  beforeEach(() => {
    platform = createMemoryPlatform();
    store = createBundleStore(platform.table, platform.objects);
  });

  /** As if the store had sent only the start of the object. */
  async function replaceByStart(name: string) {
    const body = await platform.objects.get(name);
    await platform.objects.put(name, body!.subarray(0, -1));
  }

  // Guards against the start of a text that is listed as the text of an item.
  it('is used as a result only if it is whole', async () => {
    await store.create(ID, FIELDS, OWNER, [makeItem('')]);
    const bundle = await store.find(ID);
    const result = {itemId: 'item-1', state: 'complete' as const, text: TEXT};
    await store.commitResults(bundle!, [0], [result]);
    assert.equal((await store.listResults(ID, 0))[0].text, TEXT);
    await replaceByStart(buildTextName(ID, 'item-1'));
    await assert.rejects(store.listResults(ID, 0), StoreError);
  });

  // An error that is none of the store would end the takeover of the bundle.
  it('is used as items only if it is whole', async () => {
    const item = makeItem('x'.repeat(MAX_ITEMS_IN_ROWS));
    await store.create(ID, FIELDS, OWNER, [item]);
    const bundle = await store.find(ID);
    assert.deepEqual(await store.fetchItems(bundle!), [item]);
    await replaceByStart(ITEMS_OBJECT);
    await assert.rejects(store.fetchItems(bundle!), StoreError);
  });

  it('is used as progress only if it is whole', async () => {
    const progress = createProgressStore(store, createSilentLog());
    const text = encodeProgress({});
    await store.putProgress(ID, text);
    assert.deepEqual(await progress.find(ID), {});
    await store.putProgress(ID, text.slice(0, -1));
    assert.equal(await progress.find(ID), undefined);
  });
});
