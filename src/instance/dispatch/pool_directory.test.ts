/** Requests that must not leave some of three regions, and cold endpoints. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {makeEndpoint} from '../../testing/fixtures.js';
import type {Members} from '../members/members.js';
import type {SlotRequest} from './dispatch.js';
import {createPoolDirectory} from './pool_directory.js';

const REGIONS = ['east', 'north', 'west'];
const WARM_UP = {durationMs: 3000, requestsPerS: 11};
const COLD_UNTIL = 5000;
const MEMORY_TOKENS = 1000;

function createDirectory({live = 3, listed = 3} = {}) {
  const entries = Array.from({length: listed}, (_, index) => ({
    ...makeEndpoint(`entry-${index}`),
    role: 'entry' as const,
  }));
  const members = {
    self: {address: entries[0].address, region: 'east'},
    listLive: () => entries.slice(0, live),
    listListedPeers: () => entries.slice(1),
    listEndpoints: () =>
      REGIONS.map(region => ({...makeEndpoint(`e-${region}`), region})),
  } as unknown as Members;
  const services = {
    findConcurrency: () => 8,
    findWarmUp: () => WARM_UP,
    findMemoryTokens: () => MEMORY_TOKENS,
    listServices: () => ['reader'],
  };
  return createPoolDirectory(
    members,
    services,
    () => false,
    () => COLD_UNTIL,
  );
}

function listRegions(regions?: readonly string[]): string[] {
  const request = {
    service: 'reader',
    workClass: 'online',
    account: 'gate',
    prefixHashes: [],
    regions,
  } as unknown as SlotRequest;
  return createDirectory()
    .rankFor(request)
    .map(({region}) => region);
}

describe('pools of three regions', () => {
  it('are all tried by a request without a rule', () => {
    assert.deepEqual(listRegions().sort(), REGIONS);
  });

  // A request that leaves its regions breaks a promise to its account, even if no
  // endpoint there is free.
  it('are only those that the request must not leave', () => {
    assert.deepEqual(listRegions(['north', 'west']).sort(), ['north', 'west']);
    assert.deepEqual(listRegions([]), []);
  });
});

describe('cold endpoints of a pool', () => {
  const POOL = 'reader/east/0';

  it('are described with the rate that they tolerate', () => {
    const {endpoints, limits} = createDirectory().viewPool('reader', POOL);
    assert.equal(endpoints[0].coldUntil, COLD_UNTIL);
    assert.deepEqual(limits.warmUp, WARM_UP);
  });

  // Each part of a split fleet has a dispatcher; their requests would add up.
  it('get nothing from an instance that sees less than half of the fleet', () => {
    const directory = createDirectory({live: 2, listed: 5});
    const {limits} = directory.viewPool('reader', POOL);
    assert.equal(limits.warmUp?.requestsPerS, 0);
  });
});

describe('the memory of endpoints', () => {
  function findMemory(live: number, listed: number) {
    const directory = createDirectory({live, listed});
    return directory.viewPool('reader', 'reader/east/0').limits.memory;
  }

  it('belongs to the dispatcher of a complete fleet', () => {
    assert.deepEqual(findMemory(5, 5), {
      tokens: MEMORY_TOKENS,
      shareTokens: MEMORY_TOKENS,
      slots: 8,
      isSplit: false,
    });
  });

  it('is not that of a split fleet after the loss of one instance', () => {
    assert.equal(findMemory(4, 5)?.isSplit, false);
    assert.equal(findMemory(3, 5)?.isSplit, true);
    assert.equal(findMemory(68, 74)?.isSplit, false);
    assert.equal(findMemory(66, 74)?.isSplit, true);
  });

  // Each part of a split fleet has a dispatcher; together they would use it twice.
  it('is split by size among the parts of a split fleet', () => {
    for (let listed = 1; listed <= 30; listed++) {
      for (let live = 1; live < listed; live++) {
        const parts = [
          findMemory(live, listed),
          findMemory(listed - live, listed),
        ];
        const sum = parts.reduce((total, part) => total + part!.shareTokens, 0);
        assert.ok(sum <= MEMORY_TOKENS, `${live} of ${listed}: ${sum}`);
        assert.equal(
          parts[0]?.tokens,
          MEMORY_TOKENS,
          'no size is refused for good',
        );
      }
    }
  });
});
