/** The bound on an account's waiting tokens, over instances and their ends. */
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

/** Instances share a store; each has an allowance of its own. */
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

describe('the bound on waiting tokens', () => {
  // Two instances are handed a bundle of one account at the same moment; each
  // sees room for its own, and together they pass the bound.
  it('holds when instances accept at the same moment', async () => {
    const fleet = createFleet();
    const outcomes = await Promise.all(
      ['a', 'b', 'c'].map(id => fleet.join().enter(makeRequest(id, 50))),
    );
    assert.deepEqual(outcomes.sort(), ['entered', 'entered', 'full']);
  });

  it('counts a bundle once that is handed in again', async () => {
    const fleet = createFleet();
    for (let times = 0; times < 3; times++) {
      const outcome = await fleet.join().enter(makeRequest('a', 60));
      assert.equal(outcome, 'entered');
    }
  });

  it('has room again for what is listed, and when a bundle ends', async () => {
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

  // An instance dies between entering a bundle and writing it. Its tokens would
  // be missing from the account's bound for good.
  it('forgets a bundle that was never written, but not at once', async () => {
    const fleet = createFleet();
    await fleet.join().enter(makeRequest('lost', 80));
    assert.equal(await fleet.join().enter(makeRequest('a', 60)), 'full');
    fleet.clock.advance(ENTRY_GRACE_MS);
    assert.equal(await fleet.join().enter(makeRequest('a', 60)), 'entered');
  });

  // A configuration sets a bound on a route that had none: what is open then
  // was never entered.
  it('counts what was accepted before there was a bound', async () => {
    const fleet = createFleet();
    await fleet.accept('before', 70);
    assert.equal(await fleet.join().enter(makeRequest('a', 40)), 'full');
    assert.equal(await fleet.join().enter(makeRequest('a', 30)), 'entered');
  });
});
