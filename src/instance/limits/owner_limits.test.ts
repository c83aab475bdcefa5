/** One owner for each account, found by rank, asked by the others. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {OWNER_COOLDOWN_MS} from './constants.js';
import {createOwnerLimits, type OwnerLimits} from './owner_limits.js';

const NAMES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const ACCOUNT = {name: 'gate', ratePerS: 10, burst: 10};

/** A fleet with one view; `cut` instances neither ask nor answer. */
function createFleet() {
  const clock = createVirtualClock();
  const cut = new Set<string>();
  const asked: string[] = [];
  const fleet = new Map<string, OwnerLimits>();
  for (const name of NAMES) {
    const limits = createOwnerLimits({
      clock,
      metrics: createMetrics(),
      members: {
        self: {name} as never,
        listLive: () =>
          NAMES.map(each => ({name: each, address: each})) as never,
        subscribe: () => () => {},
      },
      countKnown: () => NAMES.length,
      findLimits: () => undefined,
      peers: {
        async take(address, input) {
          asked.push(address);
          if (cut.has(address) || cut.has(name)) throw new Error('no answer');
          return fleet.get(address)!.procedures.take(input);
        },
        refund: (address, account) =>
          fleet.get(address)!.procedures.refund({account}),
      },
    });
    fleet.set(name, limits);
  }
  clock.advance(10_000);
  return {clock, cut, asked, fleet};
}

async function countGranted(limits: OwnerLimits[], tries: number) {
  let granted = 0;
  for (let index = 0; index < tries; index++) {
    const decision = await limits[index % limits.length].acquire(ACCOUNT);
    if (decision.kind === 'granted') granted++;
  }
  return granted;
}

describe('rate and burst by one owner', () => {
  it('count requests through all instances together', async () => {
    const {fleet} = createFleet();
    assert.equal(await countGranted([...fleet.values()], 100), ACCOUNT.burst);
  });

  it('refuse with the time of the next token', async () => {
    const {fleet, clock} = createFleet();
    const [limits] = fleet.values();
    await countGranted([limits], ACCOUNT.burst);
    const refused = await limits.acquire(ACCOUNT);
    assert.equal(refused.kind, 'refused');
    const {retryAfterMs} = refused as {retryAfterMs: number};
    assert.ok(retryAfterMs <= 100);
    clock.advance(retryAfterMs);
    assert.equal((await limits.acquire(ACCOUNT)).kind, 'granted');
  });

  it('give back what did not run', async () => {
    const {fleet} = createFleet();
    const limits = [...fleet.values()];
    for (const each of limits) {
      const decision = await each.acquire(ACCOUNT);
      if (decision.kind === 'granted') decision.refund();
    }
    assert.equal(await countGranted(limits, 100), ACCOUNT.burst);
  });

  it('let an account without a limit through', async () => {
    const {fleet} = createFleet();
    const [limits] = fleet.values();
    const free = {...ACCOUNT, ratePerS: 0};
    assert.equal((await limits.acquire(free)).kind, 'granted');
  });

  it('leave a share to instances that cannot reach the owner', async () => {
    // Callers of an instance that is cut off would be refused although they
    // are inside their rate, or let through without bound. Each such instance
    // has its part of rate and burst, and does not ask the owner every time.
    const {fleet, cut, asked, clock} = createFleet();
    await [...fleet.values()][0].acquire(ACCOUNT);
    const [owner] = asked.length > 0 ? asked : ['entry-1'];
    cut.add(owner);
    const others = [...fleet]
      .filter(([name]) => name !== owner)
      .map(([, limits]) => limits);
    const before = asked.length;
    await countGranted(others, 30);
    assert.equal(asked.length - before, others.length);
    clock.advance(1000);
    const granted = await countGranted(others, 300);
    const share = (others.length * ACCOUNT.burst) / NAMES.length;
    assert.ok(granted > 0 && granted <= share);
    cut.clear();
    clock.advance(OWNER_COOLDOWN_MS);
    assert.equal((await others[0].acquire(ACCOUNT)).kind, 'granted');
  });
});
