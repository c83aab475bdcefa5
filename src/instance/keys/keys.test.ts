import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {hashText} from '../../common/ids.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {
  createConfigurationFleet,
  type ConfigurationFleet,
  type ConfiguredInstance,
} from '../../testing/configuration_fleet.js';
import {ENGINE_DOCUMENT} from '../../testing/fixtures.js';
import {applyServiceDocument} from '../configuration/configuration.js';
import {CONFIRMATION_LIMIT_MS} from '../configuration/constants.js';
import {decideConfidence} from './confidence.js';
import {giveKey, listKeys, withdrawKey, type GivenKey} from './key_admin.js';

const DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];
const TWO_PER_DOMAIN = [...DOMAINS, ...DOMAINS];
const SERVE_IN_DOUBT = `${ENGINE_DOCUMENT}\n[isolation]\ndoubt = serve\n`;

/** Creates a fleet with a key that is active on all instances. */
async function createKeyedFleet(document = ENGINE_DOCUMENT) {
  const fleet = createConfigurationFleet(TWO_PER_DOMAIN);
  const {table} = fleet.platform;
  await applyServiceDocument(table, document, 'ana');
  const key = await giveKey(table, 'gate');
  await fleet.clock.advanceAsync(2000);
  return {...fleet, key, table};
}

type KeyedFleet = Awaited<ReturnType<typeof createKeyedFleet>>;

function listVerdicts(
  {clock, instances}: ConfigurationFleet,
  {secret}: GivenKey,
): string[] {
  return instances.map(({keys}) => keys.authenticate(secret, clock.now()).kind);
}

/** The begin or end of a cut, and the time until the next event. */
interface CutEvent {
  instance: number;
  cut: 'cutFromStore' | 'cutFromPeers';
  on: boolean;
  waitMs: number;
}

/** Waits, then returns the verdict of one instance on the key. */
async function awaitVerdict(
  {clock}: ConfigurationFleet,
  {keys}: ConfiguredInstance,
  {secret}: GivenKey,
  afterMs: number,
): Promise<string> {
  await clock.advanceAsync(afterMs);
  return keys.authenticate(secret, clock.now()).kind;
}

function listForAll(kind: string): string[] {
  return TWO_PER_DOMAIN.map(() => kind);
}

describe('keys', () => {
  it('start and stop working on all instances within three seconds', async () => {
    const fleet = await createKeyedFleet();
    assert.deepEqual(listVerdicts(fleet, fleet.key), listForAll('valid'));
    const withdrawn = await withdrawKey(fleet.table, fleet.key.keyId);
    assert.equal(withdrawn?.account, 'gate');
    await fleet.clock.advanceAsync(CONFIRMATION_LIMIT_MS);
    assert.deepEqual(listVerdicts(fleet, fleet.key), listForAll('unknown'));
    const again = await withdrawKey(fleet.table, fleet.key.keyId);
    assert.equal(again?.already, true);
    assert.equal(await withdrawKey(fleet.table, 'key-of-nobody'), undefined);
  });

  it('are stored only as hashes', async () => {
    const {table, key} = await createKeyedFleet();
    const stored = JSON.stringify([
      await table.query('keys'),
      await table.query('changes'),
    ]);
    assert.ok(stored.includes(hashText(key.secret)));
    assert.ok(!stored.includes(key.secret));
  });

  for (const kinds of [
    ['give', 'withdraw'],
    ['withdraw', 'give'],
  ]) {
    it(`are found when responses are lost, ${kinds[0]} first`, async () => {
      // Guards against an operator who has no secret of a key that exists, or
      // who is told that an existing key does not exist: the write commits and
      // its response is lost.
      const {table, faults} = createMemoryPlatform();
      for (let round = 0; round < 2; round++) {
        const old = await giveKey(table, 'planner');
        const steps: Record<string, () => Promise<void>> = {
          async give() {
            const {keyId, secret} = await giveKey(table, 'gate');
            const [held] = (await listKeys(table)).filter(
              key => key.keyHash === hashText(secret),
            );
            assert.deepEqual([held.keyId, held.state], [keyId, 'valid']);
          },
          async withdraw() {
            const outcome = await withdrawKey(table, old.keyId);
            assert.equal(outcome?.already, false);
          },
        };
        for (const kind of kinds) {
          faults.answersToLoseOf = {keys: 1};
          await steps[kind]();
          assert.equal(faults.answersToLoseOf.keys, 0);
        }
        assert.equal((await listKeys(table)).length, 2 * (round + 1));
      }
    });
  }

  it('are withdrawn once by concurrent operators', async () => {
    const {table} = createMemoryPlatform();
    const key = await giveKey(table, 'gate');
    const outcomes = await Promise.all(
      [1, 2, 3].map(() => withdrawKey(table, key.keyId)),
    );
    const first = outcomes.filter(outcome => outcome?.already === false);
    assert.equal(first.length, 1);
  });
});

describe('isolation', () => {
  it('continues to serve while the store is unavailable to all instances', async () => {
    // Guards against refusing all callers of the fleet for as long as the
    // platform is unavailable. Every failure domain reports that it cannot read
    // the table. Then no key can be withdrawn, and it is safe to continue
    // serving.
    const fleet = await createKeyedFleet();
    fleet.platform.faults.down = true;
    for (let second = 0; second < 60; second++) {
      await fleet.clock.advanceAsync(1000);
      assert.deepEqual(listVerdicts(fleet, fleet.key), listForAll('valid'));
    }
    assert.equal(
      fleet.instances[0].keys.describeUnready(fleet.clock.now()),
      undefined,
    );
    const asked =
      Math.max(...fleet.instances.map(one => one.answeredPeerCalls)) / 60;
    assert.ok(asked <= 2 * DOMAINS.length, `${asked} calls a second`);
  });

  it('continues to serve while the store does not respond to any instance', async () => {
    // Guards against refusing all callers during the first seconds of an
    // outage, because instances wait for a silent store before they ask the
    // witnesses. The witnesses are asked in the meantime.
    const fleet = await createKeyedFleet();
    fleet.platform.faults.slowMs = 60_000;
    for (let step = 0; step < 40; step++) {
      await fleet.clock.advanceAsync(250);
      assert.deepEqual(listVerdicts(fleet, fleet.key), listForAll('valid'));
    }
  });

  describe('with instances lost during an outage for all instances', () => {
    // Guards against refused callers on changing instances. The store is
    // unavailable, some instances are dead but still listed, and calls to them
    // hang. An instance that waits for such a call considers the dead
    // instance's domain silent, which looks like a network partition. For the
    // only neighbour of a dead instance, its own domain is always silent.
    async function checkServing(
      fleet: KeyedFleet,
      lost: ReadonlySet<ConfiguredInstance>,
    ) {
      fleet.platform.faults.down = true;
      await fleet.clock.advanceAsync(5000);
      for (const instance of lost) instance.cutFromPeers = true;
      const rest = fleet.instances.filter(instance => !lost.has(instance));
      for (let step = 0; step < 120; step++) {
        await fleet.clock.advanceAsync(250);
        const verdicts = listVerdicts({...fleet, instances: rest}, fleet.key);
        assert.deepEqual(new Set(verdicts), new Set(['valid']));
      }
    }

    it('continues to serve after the loss of one instance in each of two domains', async () => {
      const fleet = await createKeyedFleet();
      await checkServing(fleet, new Set(fleet.instances.slice(0, 2)));
    });

    it('continues to serve after the loss of a rack, once its instances are suspected', async () => {
      const fleet = await createKeyedFleet();
      fleet.startInstance(DOMAINS[0], 50);
      await fleet.clock.advanceAsync(2000);
      const inDomain = fleet.instances.filter(
        ({failureDomain}) => failureDomain === DOMAINS[0],
      );
      const lost = inDomain.slice(0, 2);
      for (const instance of lost) instance.isSuspected = true;
      await checkServing(fleet, new Set(lost));
    });
  });

  it('refuses when neither the store nor a peer answers', async () => {
    // Guards against a withdrawn key that works forever on an instance that
    // reaches neither the store nor a peer. The instance refuses, reports that
    // it is isolated, and serves again as soon as a peer answers.
    const fleet = await createKeyedFleet(SERVE_IN_DOUBT);
    const [cut] = fleet.instances;
    cut.cutFromStore = true;
    cut.cutFromPeers = true;
    await withdrawKey(fleet.table, fleet.key.keyId);
    assert.equal(
      await awaitVerdict(fleet, cut, fleet.key, CONFIRMATION_LIMIT_MS),
      'isolated',
    );
    const reason = cut.keys.describeUnready(fleet.clock.now());
    assert.match(reason ?? '', /isolated/);
    cut.cutFromPeers = false;
    assert.equal(await awaitVerdict(fleet, cut, fleet.key, 1000), 'unknown');
    assert.equal(cut.keys.describeUnready(fleet.clock.now()), undefined);
  });

  it('learns of a withdrawal from peers when it has no store access', async () => {
    // Both instances of one domain lose access to the table, and report so to
    // each other. The other domains read it and relay the withdrawal.
    const fleet = await createKeyedFleet();
    const cut = fleet.instances.filter(
      ({failureDomain}) => failureDomain === 'klang-a',
    );
    for (const instance of cut) instance.cutFromStore = true;
    await fleet.clock.advanceAsync(10_000);
    assert.deepEqual(listVerdicts(fleet, fleet.key), listForAll('valid'));
    await withdrawKey(fleet.table, fleet.key.keyId);
    await fleet.clock.advanceAsync(CONFIRMATION_LIMIT_MS);
    assert.deepEqual(listVerdicts(fleet, fleet.key), listForAll('unknown'));
  });

  for (const [doubt, document, verdict] of [
    ['refuse', ENGINE_DOCUMENT, 'isolated'],
    ['serve', SERVE_IN_DOUBT, 'valid'],
  ]) {
    it(`follows the service document in doubt: ${doubt}`, async () => {
      // The store is unavailable to all instances that answer, and one failure
      // domain is silent. It may still read a withdrawal that no other domain
      // can see.
      const fleet = await createKeyedFleet(document);
      fleet.platform.faults.down = true;
      for (const instance of fleet.instances) {
        instance.cutFromPeers = instance.failureDomain === 'johor-a';
      }
      const [instance] = fleet.instances;
      assert.equal(
        await awaitVerdict(fleet, instance, fleet.key, 8000),
        verdict,
      );
      const reason = instance.keys.describeUnready(fleet.clock.now());
      assert.equal(reason === undefined, doubt === 'serve');
    });
  }

  for (const order of ['table first', 'peers first']) {
    it(`applies a withdrawal after an outage, ${order}`, async () => {
      // Guards against a key that is withdrawn right after an outage and still
      // works on the instance that regains store access last: one instance
      // stays cut off and learns of the withdrawal from peers.
      const fleet = await createKeyedFleet();
      for (let round = 0; round < 2; round++) {
        fleet.platform.faults.down = true;
        await fleet.clock.advanceAsync(20_000);
        const key = fleet.key;
        assert.equal(fleet.instances[0].answeredPeerCalls > 0, true);
        fleet.instances[0].cutFromStore = order === 'peers first';
        fleet.platform.faults.down = false;
        const given = await giveKey(fleet.table, 'gate');
        await withdrawKey(fleet.table, round === 0 ? key.keyId : given.keyId);
        await fleet.clock.advanceAsync(CONFIRMATION_LIMIT_MS);
        assert.deepEqual(listVerdicts(fleet, key), listForAll('unknown'));
        assert.deepEqual(
          listVerdicts(fleet, given),
          listForAll(round === 0 ? 'valid' : 'unknown'),
        );
        fleet.instances[0].cutFromStore = false;
      }
    });
  }

  it('never serves a withdrawn key after the time limit', async () => {
    // Random cuts in any order, and a withdrawal that commits during them: if
    // at least one instance both reads the table and reaches others, no instance
    // serves the key after the time limit.
    const event = fc.record({
      instance: fc.integer({min: 0, max: TWO_PER_DOMAIN.length - 1}),
      cut: fc.constantFrom<CutEvent['cut']>('cutFromStore', 'cutFromPeers'),
      on: fc.boolean(),
      waitMs: fc.integer({min: 0, max: 4000}),
    });

    async function checkEvents(events: CutEvent[]) {
      const fleet = await createKeyedFleet();
      for (const {instance, cut, on} of events) {
        fleet.instances[instance][cut] = on;
      }
      await fleet.clock.advanceAsync(5000);
      await withdrawKey(fleet.table, fleet.key.keyId);
      let since = fleet.clock.now();
      for (const {instance, cut, on, waitMs} of events) {
        fleet.instances[instance][cut] = on;
        await fleet.clock.advanceAsync(waitMs);
        const isSeen = fleet.instances.some(
          one => !one.cutFromStore && !one.cutFromPeers,
        );
        if (!isSeen) since = fleet.clock.now();
        if (fleet.clock.now() <= since + CONFIRMATION_LIMIT_MS) continue;
        const verdicts = listVerdicts(fleet, fleet.key);
        assert.ok(!verdicts.includes('valid'), String(verdicts));
      }
    }

    await fc.assert(
      fc.asyncProperty(
        fc.array(event, {minLength: 4, maxLength: 24, size: 'max'}),
        checkEvents,
      ),
      {
        numRuns: 40,
        seed: 1,
      },
    );
  });

  it('decides from the newest evidence', () => {
    const failureDomains = ['a', 'b'];
    const answer = (failureDomain: string, askedAt: number) => ({
      failureDomain,
      askedAt,
    });
    const decide = (confirmedAt: number, answers: object[], now = 10_000) =>
      decideConfidence(
        {confirmedAt, answers: answers as never, failureDomains},
        now,
      );
    assert.equal(decide(7001, []), 'confirmed');
    assert.equal(decide(7000, []), 'isolated');
    assert.equal(decide(0, [answer('a', 9000)]), 'doubt');
    assert.equal(decide(0, [answer('a', 9000), answer('b', 6000)]), 'doubt');
    assert.equal(decide(0, [answer('a', 9000), answer('b', 9000)]), 'outage');
  });
});
