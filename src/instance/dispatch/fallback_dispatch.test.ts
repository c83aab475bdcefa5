import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {selectOwnShare} from './fallback_dispatch.js';

function makeNames(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

describe('own share of an instance in fallback dispatch', () => {
  it('keeps all instances together within the slots and memory of each endpoint', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 64}),
        fc.integer({min: 1, max: 64}),
        (limit, count) => {
          const instances = makeNames('entry', count).map(name => ({name}));
          const view = {
            endpoints: makeNames('endpoint', 5).map(address => ({
              address,
              failureDomain: 'klang-a',
            })),
            limits: {
              maxConcurrency: limit,
              memory: {tokens: 1000, shareTokens: 900, slots: 8},
            },
          };
          const used = new Map<string, number>();
          const memory = new Map<string, number>();
          for (const {name} of instances) {
            const share = selectOwnShare(view, instances, name);
            for (const {address} of share.endpoints) {
              const before = used.get(address) ?? 0;
              used.set(address, before + share.limits.maxConcurrency);
              const {shareTokens} = share.limits.memory!;
              memory.set(address, (memory.get(address) ?? 0) + shareTokens);
            }
          }
          assert.equal(used.size, 5, 'some instance uses every endpoint');
          for (const sum of used.values()) assert.ok(sum <= limit);
          for (const sum of memory.values()) assert.ok(sum <= 900);
        },
      ),
    );
  });
});
