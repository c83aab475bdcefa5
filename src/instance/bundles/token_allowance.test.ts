/** Tests the limit on an account's waiting tokens with several instances. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {ENTRY_GRACE_MS} from '../../decisions/waiting_tokens.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {createBundleStore, type BundleStore} from './bundle_store.js';
import type {BundleFields} from './bundle_types.js';
import {createTokenAllowance} from './token_allowance.js';

const MAX_TOKENS = 100;
const OWNER = {owner: 'entry-1', incarnation: 'entry-1-1', epoch: 1};

function makeRequest(id: string, tokens: number) {
  const maxTokens = MAX_TOKENS;
  return {id, account: 'planner', route: 'lots', tokens, maxTokens};
}

function makeFields(tokens: number, overrides: Partial<BundleFields> = {}) {
  return {
    account: 'planner',
    route: 'lots',
    routingVersion: 1,
    state: 'open' as const,
    total: 2,
    tokens,
    listed: '',
    epoch: 1,
    acceptedAt: 0,
    object: 'none',
    digest: 'none',
    ...overrides,
  };
}

/** Instances share a store; each has its own allowance. */
function createFleet() {
  const clock = createVirtualClock();
  const memory = createMemoryPlatform(clock);
  const store = createBundleStore(memory.table, memory.objects);
  const open = new Set<string>();
  const time = {read: () => clock.now()};
  const listOpen = async () => [...open];
  const join = () => createTokenAllowance({store, time, listOpen});

  async function accept(id: string, tokens: number) {
    await store.create(id, makeFields(tokens), OWNER, []);
    open.add(id);
  }

  return {clock, store, join, accept};
}

async function listOne(store: BundleStore, id: string) {
  const bundle = await store.find(id);
  const result = {itemId: 'item-0', state: 'complete', text: ''} as const;
  await store.commitResults(bundle!, [0], [result]);
}

describe('limit on waiting tokens', () => {
  // Instances receive bundles of one account at the same time. Each finds room
  // for its own bundle, and together they exceed the limit.
  it('holds when instances accept concurrently', async () => {
    const fleet = createFleet();
    const outcomes = await Promise.all(
      ['a', 'b', 'c'].map(id => fleet.join().enter(makeRequest(id, 50))),
    );
    assert.deepEqual(outcomes.sort(), ['entered', 'entered', 'full']);
  });

  it('counts a bundle once when it is submitted again', async () => {
    const fleet = createFleet();
    for (let times = 0; times < 3; times++) {
      const outcome = await fleet.join().enter(makeRequest('a', 60));
      assert.equal(outcome, 'entered');
    }
  });

  it('frees the tokens of listed items and of ended bundles', async () => {
    const fleet = createFleet();
    const one = fleet.join();
    await one.enter(makeRequest('a', 80));
    await fleet.accept('a', 80);
    assert.equal(await one.enter(makeRequest('b', 60)), 'full');
    await listOne(fleet.store, 'a');
    assert.equal(await one.enter(makeRequest('b', 60)), 'entered');
    await fleet.accept('b', 60);
    await fleet.store.end((await fleet.store.find('b'))!);
    assert.equal(await one.enter(makeRequest('c', 60)), 'entered');
  });

  // An instance crashes between entering a bundle and writing it. Its tokens
  // would count against the account's limit permanently.
  it('removes a bundle that was never written after a grace period', async () => {
    const fleet = createFleet();
    await fleet.join().enter(makeRequest('lost', 80));
    assert.equal(await fleet.join().enter(makeRequest('a', 60)), 'full');
    fleet.clock.advance(ENTRY_GRACE_MS);
    assert.equal(await fleet.join().enter(makeRequest('a', 60)), 'entered');
  });

  // A configuration sets a limit on a route that had none. The bundles that are
  // open then were never entered.
  it('counts bundles that were accepted before there was a limit', async () => {
    const fleet = createFleet();
    await fleet.accept('before', 70);
    assert.equal(await fleet.join().enter(makeRequest('a', 40)), 'full');
    assert.equal(await fleet.join().enter(makeRequest('a', 30)), 'entered');
  });
});
