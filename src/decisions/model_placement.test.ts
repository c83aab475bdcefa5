/** Tests which endpoints change their model. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {planModelMoves, type PlacedModel} from './model_placement.js';

function makePlaced(models: readonly string[]): PlacedModel[] {
  return models.map((model, index) => ({
    endpoint: `endpoint-${index}`,
    model,
    isLoading: false,
  }));
}

describe('model placement', () => {
  it('moves endpoints to the model in demand, within the budget', () => {
    const placed = makePlaced(['a', 'a', 'a', 'a', 'b', 'b']);
    const demand = new Map([
      ['a', 1],
      ['b', 9],
    ]);
    const moves = planModelMoves(placed, demand, 1);
    assert.deepEqual(moves, [{endpoint: 'endpoint-0', from: 'a', to: 'b'}]);
    assert.equal(planModelMoves(placed, demand, 8).length, 2);
  });

  it('moves an endpoint to a model that has none', () => {
    const placed = makePlaced(['a', 'a']);
    const demand = new Map([
      ['a', 100],
      ['b', 1],
    ]);
    assert.equal(planModelMoves(placed, demand, 2)[0]?.to, 'b');
  });

  // Guards against repeated moves when demand fluctuates around equal shares:
  // each fluctuation would cost two loads of a minute each, and a minute later
  // the model that lost its endpoint would lack one.
  it('moves nothing for a small fluctuation of demand', () => {
    const placed = makePlaced(['a', 'a', 'a', 'b', 'b', 'b']);
    const demand = new Map([
      ['a', 55],
      ['b', 45],
    ]);
    assert.deepEqual(planModelMoves(placed, demand, 6), []);
  });

  it('starts no load while the budget is in use', () => {
    const placed = makePlaced(['a', 'a', 'a', 'b']);
    placed[3].isLoading = true;
    assert.deepEqual(planModelMoves(placed, new Map([['b', 1]]), 1), []);
  });

  it('becomes stable and leaves no model in demand without an endpoint', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom('a', 'b', 'c'), {minLength: 4, maxLength: 20}),
        fc.array(fc.integer({min: 1, max: 50}), {minLength: 3, maxLength: 3}),
        (models, work) => {
          const demand = new Map(work.map((each, i) => ['abc'[i], each]));
          const placed = makePlaced(models);
          for (let round = 0; round < 30; round++) {
            for (const {endpoint, to} of planModelMoves(placed, demand, 2)) {
              placed.find(each => each.endpoint === endpoint)!.model = to;
            }
          }
          assert.deepEqual(planModelMoves(placed, demand, 2), []);
          const served = new Set(placed.map(({model}) => model));
          assert.equal(served.size, 3);
        },
      ),
      {seed: 3, numRuns: 200},
    );
  });
});
