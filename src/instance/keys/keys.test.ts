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
const TWICE = [...DOMAINS, ...DOMAINS];
const SERVE_IN_DOUBT = `${ENGINE_DOCUMENT}\n[isolation]\ndoubt = serve\n`;

/** A fleet with a key in force everywhere. */
async function createKeyedFleet(document = ENGINE_DOCUMENT) {
  const fleet = createConfigurationFleet(TWICE);
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

/** A cut that begins or ends, and the time until the next. */
interface CutEvent {
  instance: number;
  cut: 'cutFromStore' | 'cutFromPeers';
  on: boolean;
  waitMs: number;
}

/** Verdict of one instance after so long. */
async function awaitVerdict(
  {clock}: ConfigurationFleet,
  {keys}: ConfiguredInstance,
  {secret}: GivenKey,
  afterMs: number,
): Promise<string> {
  await clock.advanceAsync(afterMs);
  return keys.authenticate(secret, clock.now()).kind;
}

function listSame(kind: string): string[] {
  return TWICE.map(() => kind);
}

describe('keys', () => {
  it('work and stop working everywhere within three seconds', async () => {
    const fleet = await createKeyedFleet();
    assert.deepEqual(listVerdicts(fleet, fleet.key), listSame('valid'));
    const withdrawn = await withdrawKey(fleet.table, fleet.key.keyId);
    assert.equal(withdrawn?.account, 'gate');
    await fleet.clock.advanceAsync(CONFIRMATION_LIMIT_MS);
    assert.deepEqual(listVerdicts(fleet, fleet.key), listSame('unknown'));
    const again = await withdrawKey(fleet.table, fleet.key.keyId);
    assert.equal(again?.already, true);
    assert.equal(await withdrawKey(fleet.table, 'key-of-nobody'), undefined);
  });

  it('are stored as hashes alone', async () => {
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
    it(`are found when answers are lost, ${kinds[0]} first`, async () => {
      // The operator would hold no secret of a key that exists, or be told
      // that there is no such key: the write commits, its answer is lost.
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

  it('are withdrawn once by racing operators', async () => {
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
  it('serves on while the store is out for all', async () => {
    // Callers of the whole fleet would be refused for as long as the platform
    // is out. Every failure domain says that it reads no table: then nothing
    // can be withdrawn, and serving on is safe.
    const fleet = await createKeyedFleet();
    fleet.platform.faults.down = true;
    for (let second = 0; second < 60; second++) {
      await fleet.clock.advanceAsync(1000);
      assert.deepEqual(listVerdicts(fleet, fleet.key), listSame('valid'));
    }
    assert.equal(
      fleet.instances[0].keys.describeUnready(fleet.clock.now()),
      undefined,
    );
    const asked = Math.max(...fleet.instances.map(one => one.asked)) / 60;
    assert.ok(asked <= 2 * DOMAINS.length, `${asked} calls a second`);
  });

  it('serves on while the store is silent for all', async () => {
    // A store that answers nothing at all would be waited for, and the
    // witnesses asked only afterwards: every caller of the fleet would be
    // refused for the first seconds of the outage. They are asked meanwhile.
    const fleet = await createKeyedFleet();
    fleet.platform.faults.slowMs = 60_000;
    for (let step = 0; step < 40; step++) {
      await fleet.clock.advanceAsync(250);
      assert.deepEqual(listVerdicts(fleet, fleet.key), listSame('valid'));
    }
  });

  describe('with instances lost in an outage for all', () => {
    // Callers were refused by turns. The store is out, instances die and are
    // still listed, and calls to them hang. To those who wait for them their
    // domain is silent, which looks like a cut; to the neighbour of a lost one
    // its own domain always is.
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

    it('serves on beside one of each of two domains', async () => {
      const fleet = await createKeyedFleet();
      await checkServing(fleet, new Set(fleet.instances.slice(0, 2)));
    });

    it('serves on beside a rack of one domain, once it is suspected', async () => {
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

  it('refuses where neither the store nor a peer answers', async () => {
    // A withdrawn key would work for good on an instance that sees nothing
    // and nobody. It refuses, says that it is isolated, and is of use again
    // as soon as it can ask.
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

  it('learns of a withdrawal through peers where a cut hides the store', async () => {
    // Both instances of one domain lose the table, and each other's answers
    // say so; the other domains read it and pass the withdrawal on.
    const fleet = await createKeyedFleet();
    const cut = fleet.instances.filter(
      ({failureDomain}) => failureDomain === 'klang-a',
    );
    for (const instance of cut) instance.cutFromStore = true;
    await fleet.clock.advanceAsync(10_000);
    assert.deepEqual(listVerdicts(fleet, fleet.key), listSame('valid'));
    await withdrawKey(fleet.table, fleet.key.keyId);
    await fleet.clock.advanceAsync(CONFIRMATION_LIMIT_MS);
    assert.deepEqual(listVerdicts(fleet, fleet.key), listSame('unknown'));
  });

  for (const [doubt, document, verdict] of [
    ['refuse', ENGINE_DOCUMENT, 'isolated'],
    ['serve', SERVE_IN_DOUBT, 'valid'],
  ]) {
    it(`in doubt does what the service says: ${doubt}`, async () => {
      // The store is out for those who answer, and one failure domain is
      // silent: it may still read a withdrawal that nobody else can see.
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
    it(`withdraws after an outage, ${order}`, async () => {
      // A key withdrawn as soon as the store is back must not live on where
      // the store is seen last: one instance stays cut off and hears it.
      const fleet = await createKeyedFleet();
      for (let round = 0; round < 2; round++) {
        fleet.platform.faults.down = true;
        await fleet.clock.advanceAsync(20_000);
        const key = fleet.key;
        assert.equal(fleet.instances[0].asked > 0, true);
        fleet.instances[0].cutFromStore = order === 'peers first';
        fleet.platform.faults.down = false;
        const given = await giveKey(fleet.table, 'gate');
        await withdrawKey(fleet.table, round === 0 ? key.keyId : given.keyId);
        await fleet.clock.advanceAsync(CONFIRMATION_LIMIT_MS);
        assert.deepEqual(listVerdicts(fleet, key), listSame('unknown'));
        assert.deepEqual(
          listVerdicts(fleet, given),
          listSame(round === 0 ? 'valid' : 'unknown'),
        );
        fleet.instances[0].cutFromStore = false;
      }
    });
  }

  it('never serves a withdrawn key once the limit is over', async () => {
    // Any cuts, in any order, and a withdrawal that commits through them: as
    // long as one instance both reads the table and talks to others, no
    // instance at all serves the key past the limit.
    const event = fc.record({
      instance: fc.integer({min: 0, max: TWICE.length - 1}),
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

  it('decides by the newest evidence', () => {
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
