/** Tests of fleet-wide limits on virtual time, with single faults. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  startLimitsFleet,
  type FleetInstance,
  type LimitsFleet,
} from '../../testing/limits_fleet.js';
import {createRateOracle} from '../../testing/rate_oracle.js';

const LIMITS = {rate: 50, burst: 20, weight: 1};
const BUCKET = {service: 'drum-reader', account: 'gate'};
const DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];

function startFleet(size = 6): Promise<LimitsFleet> {
  return startLimitsFleet({size, domains: DOMAINS, findVersion: () => 1});
}

interface Load {
  granted: number;
  refused: number;
  excess: number;
}

/** Sends a request every `everyMs`, to the running instances in turn. */
async function runLoad(
  fleet: LimitsFleet,
  durationMs: number,
  everyMs: number,
  oracle = createRateOracle(LIMITS),
): Promise<Load> {
  let granted = 0;
  let refused = 0;
  const before = oracle.excess;
  const until = fleet.clock.now() + durationMs;
  for (let turn = 0; fleet.clock.now() < until; turn++) {
    const names = [...fleet.instances.keys()];
    const instance = fleet.instances.get(names[turn % names.length])!;
    void sendRequest(instance);
    await fleet.advance(everyMs);
  }
  await fleet.advance(4000);
  return {granted, refused, excess: Math.max(before, oracle.excess)};

  async function sendRequest({limits}: FleetInstance) {
    const decision = await limits.acquire(BUCKET, LIMITS);
    if (decision.kind === 'refused') return void refused++;
    granted++;
    oracle.noteGrant(fleet.clock.now());
  }
}

function findHolder(fleet: LimitsFleet): string {
  const holder = [...fleet.instances.values()].find(({limits}) => {
    const state = limits.describeState() as {holder: {held: object}};
    return Object.keys(state.holder.held).length > 0;
  });
  return holder!.name;
}

describe('limits', () => {
  it('refuses no request within the rate, on any instance', async () => {
    const fleet = await startFleet();
    const load = await runLoad(fleet, 10_000, 1000 / 48);
    assert.equal(load.refused, 0);
    assert.equal(load.excess, 0);
  });

  it('grants burst and rate, and no more, to an account that sends 5 times its rate', async () => {
    const fleet = await startFleet();
    const load = await runLoad(fleet, 10_000, 4);
    assert.equal(load.excess, 0);
    assert.ok(load.granted >= 50 * 10, `${load.granted}`);
    assert.ok(load.granted <= 50 * 14 + 20, `${load.granted}`);
  });

  it('continues after the loss of the holder', async t => {
    // The instance that holds an account's bucket fails, and requests of the
    // account wait on the other instances. When the first standby's promise
    // ends, it takes over with the reserved tokens and serves the requests.
    const fleet = await startFleet();
    await runLoad(fleet, 3000, 25);
    fleet.kill(findHolder(fleet));
    const load = await runLoad(fleet, 10_000, 25);
    t.diagnostic(`${load.refused} of ${load.refused + load.granted} refused`);
    assert.equal(load.excess, 0);
    assert.ok(load.refused / load.granted < 0.1, `${load.refused}`);
  });

  it('continues when the store is down and the holder is lost meanwhile', async t => {
    // No lease can be renewed for 2 minutes. The holder continues on its
    // standbys' promises; when it fails too, they elect one of themselves.
    const fleet = await startFleet();
    await runLoad(fleet, 3000, 25);
    fleet.platform.faults.down = true;
    await fleet.advance(120_000);
    const calm = await runLoad(fleet, 5000, 25);
    assert.equal(calm.refused, 0);
    fleet.kill(findHolder(fleet));
    const load = await runLoad(fleet, 10_000, 25);
    t.diagnostic(`${load.refused} of ${load.refused + load.granted} refused`);
    assert.equal(load.excess, 0);
    assert.ok(load.refused / load.granted < 0.1, `${load.refused}`);
  });

  it('continues when the store goes down just after the holder was lost', async () => {
    // The same 2 failures in the opposite order: the standbys elect one of
    // themselves without the store, before the failed holder's lease expires.
    const fleet = await startFleet();
    const oracle = createRateOracle(LIMITS);
    await runLoad(fleet, 3000, 25, oracle);
    fleet.kill(findHolder(fleet));
    fleet.platform.faults.down = true;
    const load = await runLoad(fleet, 60_000, 50, oracle);
    assert.equal(load.excess, 0);
    assert.ok(load.refused / load.granted < 0.02, `${load.refused}`);
  });

  it('hands its buckets over when it shuts down', async () => {
    const fleet = await startFleet();
    const oracle = createRateOracle(LIMITS);
    await runLoad(fleet, 3000, 25, oracle);
    void fleet.instances.get(findHolder(fleet))!.stop();
    const load = await runLoad(fleet, 5000, 25, oracle);
    assert.equal(load.refused, 0);
    assert.equal(load.excess, 0);
  });

  it('grants no token twice after a pause longer than every promise', async () => {
    // The holder is paused beyond its promises, and a standby takes over. When
    // the holder resumes, it has tokens and waiting calls, but its promises
    // have expired on its own clock, so it grants nothing.
    const fleet = await startFleet();
    const oracle = createRateOracle(LIMITS);
    await runLoad(fleet, 2000, 4, oracle);
    const holder = fleet.instances.get(findHolder(fleet))!;
    holder.clock.pause();
    await runLoad(fleet, 6000, 4, oracle);
    holder.clock.resume();
    const load = await runLoad(fleet, 6000, 4, oracle);
    assert.equal(load.excess, 0);
    assert.ok(load.granted > 0);
  });

  it('uses no reserved token before its standby has released it', async () => {
    // Half of a full bucket is reserved for the first standby. The connection
    // to it is cut, a burst arrives that needs all tokens, the holder fails and
    // the standby takes over with its half. If the holder had used that half
    // too, one and a half bursts would have been granted.
    const limits = {rate: 1, burst: 40, weight: 1};
    const fleet = await startFleet();
    const oracle = createRateOracle(limits);
    const sendBurst = (instance: FleetInstance) => {
      for (let sent = 0; sent < 40; sent++) {
        void instance.limits.acquire(BUCKET, limits).then(({kind}) => {
          if (kind === 'granted') oracle.noteGrant(fleet.clock.now());
        });
      }
    };
    void fleet.instances.get('entry-0')!.limits.acquire(BUCKET, limits);
    await fleet.advance(3000);
    const holder = fleet.instances.get(findHolder(fleet))!;
    const {members} = (
      holder.limits.describeState() as {
        holder: {view: {members: {name: string; address: string}[]}};
      }
    ).holder.view;
    fleet.network.setCut(members[0].address, members[1].address, true);
    sendBurst(holder);
    await fleet.advance(500);
    fleet.kill(holder.name);
    await fleet.advance(4000);
    sendBurst(fleet.instances.get(members[1].name)!);
    await fleet.advance(4000);
    assert.ok(oracle.granted >= 30, `${oracle.granted}`);
    assert.equal(oracle.excess, 0);
  });

  it('grants nothing from a view that was claimed while all its members were paused', async () => {
    // The holder and both standbys are paused for longer than a lease, and
    // another instance claims the bucket in the table and grants. When they
    // resume, they could still promise and use reserved tokens. The claim
    // expired their leases first, so that they start afresh instead.
    const fleet = await startFleet();
    const oracle = createRateOracle(LIMITS);
    await runLoad(fleet, 2000, 10, oracle);
    const {view} = (
      fleet.instances.get(findHolder(fleet))!.limits.describeState() as {
        holder: {view: {members: {name: string}[]}};
      }
    ).holder;
    const paused = view.members.map(({name}) => fleet.instances.get(name)!);
    for (const {clock} of paused) clock.pause();
    const without = await runLoad(fleet, 60_000, 50, oracle);
    assert.ok(without.granted > 0);
    for (const {clock} of paused) clock.resume();
    const load = await runLoad(fleet, 15_000, 10, oracle);
    assert.ok(load.granted > 0);
    assert.equal(load.excess, 0);
  });

  it('recovers within a minute when every instance is replaced at once', async () => {
    const fleet = await startFleet(4);
    await runLoad(fleet, 2000, 25);
    for (const name of fleet.names) fleet.kill(name);
    for (const name of fleet.names) await fleet.start(name);
    await fleet.advance(60_000);
    const load = await runLoad(fleet, 3000, 25);
    assert.equal(load.refused, 0);
  });
});
