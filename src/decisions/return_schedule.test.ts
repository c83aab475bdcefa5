/** Tests when the callers that are refused return. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateAccounts, type RequestRecord} from './account_load.js';
import {ALL_MECHANISMS} from './mechanisms.js';
import {createReturnSchedule} from './return_schedule.js';
import {MAX_RETURN_SHARE} from './scheduler_constants.js';

const HOT = {account: 'hot', deadline: 60_000};

describe('the return schedule', () => {
  it('gives the k-th refused caller k intervals more than the first', () => {
    const returns = createReturnSchedule();
    const delays = [0, 1, 2].map(() => returns.schedule(HOT, 500, 40, 1000));
    assert.deepEqual(delays, [500, 540, 580]);
    assert.equal(
      returns.schedule({...HOT, account: 'other'}, 500, 40, 1000),
      500,
    );
  });

  it('starts again once the returns of an account have passed', () => {
    const returns = createReturnSchedule();
    for (let count = 0; count < 5; count++) returns.schedule(HOT, 500, 40, 0);
    assert.equal(returns.schedule(HOT, 500, 40, 5000), 500);
  });

  // Guards against hundreds of callers that all get the longest delay, and against
  // delays after which their callers have given up.
  it('keeps delays in bounds and spread', () => {
    const returns = createReturnSchedule();
    const delays = Array.from({length: 200}, () =>
      returns.schedule({...HOT, deadline: 5000}, 500, 1000, 0),
    );
    assert.ok(Math.max(...delays) <= MAX_RETURN_SHARE * 5000);
    const same = delays.filter(delay => delay === delays[0]).length;
    assert.ok(same < 10, `${same} of 200 with the same delay`);
  });

  // Guards against memory that grows with every account ever refused.
  it('removes accounts whose callers have returned', () => {
    const returns = createReturnSchedule();
    for (let count = 0; count < 10_000; count++) {
      const deadline = count * 100 + 5000;
      const request = {account: `account-${count}`, deadline};
      returns.schedule(request, 500, 100, count * 100);
    }
    assert.ok(returns.count() < 200, `${returns.count()} accounts`);
  });
});

/** Largest number of retries of one account within 100 ms. */
function countMostReturns(records: readonly RequestRecord[]): number {
  const counts = new Map<string, number>();
  for (const {account, arrivedAt, isRetry} of records) {
    if (!isRetry) continue;
    const key = `${account}/${Math.floor(arrivedAt / 100)}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return Math.max(...counts.values());
}

describe('callers that return when they were told to', () => {
  // Guards against callers of a hot account that return together, of whom all
  // but the first few are refused again.
  it('are served more often and come less often together', t => {
    const run = (returnSchedule: boolean) => {
      const records = [1, 2, 3].flatMap(seed =>
        simulateAccounts({
          seed,
          durationMs: 30_000,
          accounts: 79,
          endpoints: 42,
          perSecond: 152,
          hot: {account: 4, factor: 8, from: 11_600, until: 17_400},
          hasLongWaits: true,
          hasRetries: true,
          mechanisms: {...ALL_MECHANISMS, returnSchedule},
        }),
      );
      const retries = records.filter(({isRetry}) => isRetry);
      const served = retries.filter(({firstByteAt}) => firstByteAt);
      return {
        retries: retries.length,
        served: served.length / retries.length,
        most: countMostReturns(records),
      };
    };
    const together = run(false);
    const spread = run(true);
    t.diagnostic(JSON.stringify({together, spread}));
    assert.ok(spread.served > together.served);
    assert.ok(spread.most < together.most);
  });
});
