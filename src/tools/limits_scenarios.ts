/** Scenarios of `measure:limits`: the load, what fails and when. Times in ms. */
import type {LimitsFleet} from '../testing/limits_fleet.js';

/** One client account's load. */
export interface AccountLoad {
  account: string;
  rate: number;
  burst: number;
  /** Offered requests divided by the rate. */
  load: number;
  /** Whether only requests within rate and burst are offered. */
  conforming: boolean;
}

/** One scenario. */
export interface LimitsScenario {
  name: string;
  durationMs: number;
  accounts: AccountLoad[];
  /** Called after the warm-up. */
  start(fleet: LimitsFleet): void;
  /** Called when `durationMs` has passed, to end faults. */
  end(fleet: LimitsFleet): void;
}

const CONFORMING_ACCOUNTS: AccountLoad[] = Array.from(
  {length: 8},
  (_, index) => ({
    account: `account-${index}`,
    rate: [5, 10, 20, 40][index % 4],
    burst: [10, 20, 40, 80][index % 4],
    load: 0.8,
    conforming: true,
  }),
);

const ACCOUNTS_WITH_GREEDY: AccountLoad[] = [
  ...CONFORMING_ACCOUNTS.slice(1),
  {
    account: 'account-greedy',
    rate: 20,
    burst: 40,
    load: 5,
    conforming: false,
  },
];

function stopOneInstance(fleet: LimitsFleet) {
  fleet.kill(fleet.names[0]);
}

function leaveUnchanged() {}

/** Every scenario of the measurement. */
export const LIMITS_SCENARIOS: LimitsScenario[] = [
  {
    name: 'no faults',
    durationMs: 60_000,
    accounts: CONFORMING_ACCOUNTS,
    start: leaveUnchanged,
    end: leaveUnchanged,
  },
  {
    name: 'a neighbour at 5 times its rate',
    durationMs: 60_000,
    accounts: ACCOUNTS_WITH_GREEDY,
    start: leaveUnchanged,
    end: leaveUnchanged,
  },
  {
    name: 'an instance lost',
    durationMs: 60_000,
    accounts: CONFORMING_ACCOUNTS,
    start: stopOneInstance,
    end: leaveUnchanged,
  },
  {
    name: 'an outage of an hour',
    durationMs: 3_600_000,
    accounts: CONFORMING_ACCOUNTS.map(account => ({
      ...account,
      rate: account.rate / 20,
      burst: Math.max(2, account.burst / 20),
    })),
    start: fleet => {
      fleet.platform.faults.down = true;
    },
    end: fleet => {
      fleet.platform.faults.down = false;
    },
  },
  {
    name: 'an outage with an instance lost in it',
    durationMs: 120_000,
    accounts: CONFORMING_ACCOUNTS,
    start: fleet => {
      fleet.platform.faults.down = true;
      fleet.clock.schedule(60_000, () => stopOneInstance(fleet));
    },
    end: fleet => {
      fleet.platform.faults.down = false;
    },
  },
  {
    name: 'two instances lost at once',
    durationMs: 60_000,
    accounts: CONFORMING_ACCOUNTS,
    start: fleet => {
      fleet.kill(fleet.names[0]);
      fleet.kill(fleet.names[1]);
    },
    end: leaveUnchanged,
  },
];
