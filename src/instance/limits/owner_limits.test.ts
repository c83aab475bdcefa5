/** Tests of limits with one owner for each account, found by rank. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {OWNER_COOLDOWN_MS} from './constants.js';
import {createOwnerLimits, type OwnerLimits} from './owner_limits.js';

const NAMES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const ACCOUNT = {name: 'gate', ratePerS: 10, burst: 10};

/** Creates a fleet with one view; calls from and to `cut` instances fail. */
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
          if (cut.has(address) || cut.has(name)) throw new Error('no response');
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

async function countGranted(limits: OwnerLimits[], attempts: number) {
  let granted = 0;
  for (let index = 0; index < attempts; index++) {
    const decision = await limits[index % limits.length].acquire(ACCOUNT);
    if (decision.kind === 'granted') granted++;
  }
  return granted;
}

describe('limits by one owner for each account', () => {
  it('counts requests of all instances together', async () => {
    const {fleet} = createFleet();
    assert.equal(await countGranted([...fleet.values()], 100), ACCOUNT.burst);
  });

  it('refuses with the time until the next token', async () => {
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

  it('refunds the tokens of requests that did not run', async () => {
    const {fleet} = createFleet();
    const limits = [...fleet.values()];
    for (const each of limits) {
      const decision = await each.acquire(ACCOUNT);
      if (decision.kind === 'granted') decision.refund();
    }
    assert.equal(await countGranted(limits, 100), ACCOUNT.burst);
  });

  it('grants every request of an account without a limit', async () => {
    const {fleet} = createFleet();
    const [limits] = fleet.values();
    const free = {...ACCOUNT, ratePerS: 0};
    assert.equal((await limits.acquire(free)).kind, 'granted');
  });

  it('grants a share of the rate on instances that cannot reach the owner', async () => {
    // Without a share, an instance that is cut off from the owner would refuse
    // requests within the rate, or grant them without bound. Each such instance
    // uses its own share of rate and burst, and does not ask the owner every
    // time.
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
