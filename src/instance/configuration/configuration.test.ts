import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {InvalidDocumentError} from '../../common/ini_document.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {StoreError} from '../../stores/table_store.js';
import {createConfigurationFleet} from '../../testing/configuration_fleet.js';
import {ENGINE_DOCUMENT} from '../../testing/fixtures.js';
import {
  applyServiceDocument,
  findStoredDocument,
  listDocumentHistory,
} from './apply_document.js';
import {fetchUpdate} from './change_log.js';
import type {Change} from './changes.js';
import {createConfiguration} from './configuration.js';
import {CHANGES_PER_PAGE, MAX_DOCUMENT_BYTES} from './constants.js';
import {
  createConfigurationState,
  type ConfigurationState,
} from './configuration_state.js';

const DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];

function makeDocument(rate: number): string {
  return ENGINE_DOCUMENT.replace('rate = 50/s', `rate = ${rate}/s`);
}

function makeChange(version: number, service = 'drum-reader'): Change {
  const text = makeDocument(version).replace('drum-reader\n', `${service}\n`);
  return {kind: 'document', service, version, text, author: 'a'};
}

describe('configuration', () => {
  describe('apply', () => {
    it('increments the version, and changes nothing when the text is the same', async () => {
      const {table} = createMemoryPlatform();
      const first = await applyServiceDocument(table, makeDocument(1), 'ana');
      assert.deepEqual(first, {kind: 'applied', version: 1, generation: 1});
      const again = await applyServiceDocument(table, makeDocument(1), 'ben');
      assert.equal(again.kind, 'unchanged');
      const second = await applyServiceDocument(table, makeDocument(2), 'ben');
      assert.deepEqual(second, {kind: 'applied', version: 2, generation: 2});
      const history = await listDocumentHistory(table, 'drum-reader');
      assert.deepEqual(
        history.map(({version, author}) => [version, author]),
        [
          [1, 'ana'],
          [2, 'ben'],
        ],
      );
      const old = await findStoredDocument(table, 'drum-reader', 1);
      assert.equal(old?.text, makeDocument(1));
    });

    it('rejects an invalid document without writing anything', async () => {
      const {table, counts} = createMemoryPlatform();
      await applyServiceDocument(table, makeDocument(1), 'ana');
      const {writes} = counts;
      const broken = makeDocument(2).replace('burst = 5', 'burst = many');
      const long = `${makeDocument(2)}; ${'x'.repeat(MAX_DOCUMENT_BYTES)}\n`;
      for (const text of [broken, long]) {
        await assert.rejects(
          applyServiceDocument(table, text, 'ben'),
          InvalidDocumentError,
        );
      }
      assert.equal(counts.writes, writes);
      const configuration = createConfiguration(table);
      await configuration.poll();
      assert.equal(configuration.find('drum-reader')?.version, 1);
    });

    it('reports a conflict to an operator who edited an older version', async () => {
      const {table} = createMemoryPlatform();
      await applyServiceDocument(table, makeDocument(1), 'ana');
      await applyServiceDocument(table, makeDocument(2), 'ana');
      const outcome = await applyServiceDocument(
        table,
        makeDocument(3),
        'ben',
        {base: 1},
      );
      assert.deepEqual(outcome, {kind: 'conflict', version: 2, author: 'ana'});
    });

    for (const order of [
      ['ana', 'ben'],
      ['ben', 'ana'],
    ]) {
      it(`lets one of two concurrent operators win, ${order[0]} first`, async () => {
        // Guards against two operators who both believe that their document is
        // active: they read the same version and write at the same time. One
        // transaction commits. The condition of the other fails, and its
        // operator learns who won.
        const {table} = createMemoryPlatform();
        for (let round = 0; round < 2; round++) {
          const outcomes = await Promise.all(
            order.map((author, at) =>
              applyServiceDocument(
                table,
                makeDocument(10 * round + at + 1),
                author,
              ),
            ),
          );
          assert.deepEqual(outcomes[1], {
            kind: 'conflict',
            version: round + 1,
            author: order[0],
          });
          assert.equal(outcomes[0].kind, 'applied');
        }
      });

      it(`recognizes an apply whose response was lost, ${order[0]} first`, async () => {
        // Guards against reporting to an operator a conflict with its own
        // change: the change commits and its response is lost. The row under
        // its generation names the change.
        const {table, faults} = createMemoryPlatform();
        for (let round = 0; round < 2; round++) {
          faults.answersToLoseOf = {configuration: 1};
          const [mine, other] = await Promise.all(
            order.map((author, at) =>
              applyServiceDocument(
                table,
                makeDocument(10 * round + at + 1),
                author,
              ),
            ),
          );
          assert.equal(mine.kind, 'applied');
          assert.equal(other.kind, 'conflict');
          assert.equal(mine.version, round + 1);
        }
      });
    }

    it('accepts concurrent applies of different services', async () => {
      const {table} = createMemoryPlatform();
      const names = ['a', 'b', 'c', 'd', 'e', 'f'];
      const outcomes = await Promise.all(
        names.map(name =>
          applyServiceDocument(
            table,
            makeDocument(1).replace('name = drum-reader', `name = ${name}`),
            name,
          ),
        ),
      );
      const generations = outcomes.map(
        outcome => outcome.kind === 'applied' && outcome.generation,
      );
      assert.deepEqual(generations.sort(), [1, 2, 3, 4, 5, 6]);
    });

    it('reports an unknown outcome when no response arrives', async () => {
      const {table, faults} = createMemoryPlatform();
      faults.answersToLose = 1000;
      let lost = 0;
      const silent = {
        ...table,
        get: (key: Parameters<typeof table.get>[0]) =>
          lost > 0
            ? Promise.reject(new StoreError('down', 'none'))
            : table.get(key),
        transact: (steps: Parameters<typeof table.transact>[0]) => {
          lost++;
          return table.transact(steps);
        },
      };
      await assert.rejects(
        applyServiceDocument(silent, makeDocument(1), 'ana'),
        (error: StoreError) => error.effect === 'unknown',
      );
      faults.answersToLose = 0;
      const again = await applyServiceDocument(table, makeDocument(1), 'ana');
      assert.equal(again.kind, 'unchanged');
    });
  });

  describe('on the instances', () => {
    it('is active on all instances within two seconds with a slow store', async () => {
      const {clock, platform, instances} = createConfigurationFleet([
        ...DOMAINS,
        ...DOMAINS,
      ]);
      platform.faults.slowMs = 400;
      await clock.advanceAsync(3000);
      for (let version = 1; version <= 3; version++) {
        const applied = applyServiceDocument(
          platform.table,
          makeDocument(version),
          'ana',
        );
        await clock.advanceAsync(1600);
        await applied;
        await clock.advanceAsync(2000);
        for (const {configuration} of instances) {
          assert.equal(configuration.find('drum-reader')?.version, version);
        }
      }
    });

    it('reaches an instance that is cut off from the store', async () => {
      // Guards against an outdated rate on one instance for as long as it
      // cannot read the table. Its witnesses can, and relay the change.
      const fleet = createConfigurationFleet(DOMAINS);
      const cut = fleet.instances[0];
      await fleet.clock.advanceAsync(2000);
      cut.cutFromStore = true;
      await applyServiceDocument(fleet.platform.table, makeDocument(1), 'ana');
      await fleet.clock.advanceAsync(3500);
      assert.equal(cut.configuration.find('drum-reader')?.version, 1);
    });

    it('reaches an instance that starts during an outage', async () => {
      // Guards against a new instance that answers callers that there is no
      // model. The table is unavailable. The peers hold more than fits into one
      // response, and relay all of it.
      const fleet = createConfigurationFleet(DOMAINS);
      const services = Array.from({length: 12}, (_, at) => `service-${at}`);
      for (const service of services) {
        const text = makeDocument(1)
          .replace('name = drum-reader', `name = ${service}`)
          .concat(`; ${'x'.repeat(20_000)}\n`);
        await applyServiceDocument(fleet.platform.table, text, 'ana');
      }
      await fleet.clock.advanceAsync(2000);
      fleet.platform.faults.down = true;
      const late = fleet.startInstance('klang-a', 0);
      await fleet.clock.advanceAsync(1000);
      assert.equal(late.configuration.list().length, services.length);
      fleet.platform.faults.down = false;
      await applyServiceDocument(fleet.platform.table, makeDocument(1), 'ana');
      await fleet.clock.advanceAsync(2000);
      assert.equal(late.configuration.find('drum-reader')?.version, 1);
    });

    it('keeps the active version when it cannot read a newer one', async () => {
      // During an upgrade, an instance of the older version reads a document
      // with a key it does not know.
      const state = createConfigurationState();
      state.importUpdate({from: null, generation: 1, changes: [makeChange(1)]});
      const newer = {...makeChange(2), text: '[service]\nnew_key = 1\n'};
      state.importUpdate({
        from: null,
        generation: 2,
        changes: [newer as Change],
      });
      assert.equal(state.findDocument('drum-reader')?.version, 1);
      assert.equal(state.listRejections()[0].version, 2);
      assert.equal(state.exportUpdate(1, 0).changes[0], newer);
    });

    it('costs one read per second while nothing changes', async () => {
      const fleet = createConfigurationFleet(DOMAINS);
      await applyServiceDocument(fleet.platform.table, makeDocument(1), 'ana');
      await fleet.clock.advanceAsync(5000);
      const {reads, writes} = fleet.platform.counts;
      await fleet.clock.advanceAsync(60_000);
      assert.equal(fleet.platform.counts.reads - reads, 60 * DOMAINS.length);
      assert.equal(fleet.platform.counts.writes, writes);
      assert.ok(
        fleet.instances.every(({answeredPeerCalls: asked}) => asked === 0),
      );
    });
  });

  describe('change log', () => {
    it('is read in several pages, and completely again if it has gaps', async () => {
      const {table} = createMemoryPlatform();
      const count = CHANGES_PER_PAGE + 3;
      for (let version = 1; version <= count; version++) {
        await applyServiceDocument(table, makeDocument(version), 'ana');
      }
      const update = await fetchUpdate(table, 1);
      assert.equal(update.generation, count);
      assert.equal(update.changes.length, count - 1);
      const key = {partition: 'changes', sort: '000000000002'};
      const condition = {kind: 'version', version: 1} as const;
      await table.transact([{kind: 'delete', key, condition}]);
      const complete = await fetchUpdate(table, 1);
      assert.deepEqual(
        [complete.generation, complete.changes.length],
        [count, 1],
      );
    });

    it('relays every change that the peer lacks', async () => {
      // Guards against an instance that reaches its peer's generation without
      // one of the changes, and then keeps an old document forever. Instances
      // that sometimes read the complete state and sometimes single changes
      // relay updates to each other: an instance at the newest generation must
      // have every document.
      const move = fc.record({
        kind: fc.constantFrom('apply', 'read', 'pass'),
        at: fc.integer({min: 0, max: 2}),
        to: fc.integer({min: 0, max: 2}),
      });
      await fc.assert(
        fc.asyncProperty(
          fc.array(move, {minLength: 10, maxLength: 40, size: 'max'}),
          async moves => {
            const {table} = createMemoryPlatform();
            const states = [0, 1, 2].map(createConfigurationState);
            const applied: string[] = [];
            let version = 0;

            /** The change with number n wrote the text with version n. */
            function checkComplete(state: ConfigurationState) {
              applied.slice(0, state.getGeneration()).forEach((service, at) => {
                const held = state.findDocument(service)?.document;
                assert.ok((held?.account.gate.rate ?? 0) >= at + 1);
              });
            }

            const actions = {
              async apply(service: number) {
                applied.push(`service-${service}`);
                const text = makeDocument(++version).replace(
                  'name = drum-reader',
                  `name = service-${service}`,
                );
                await applyServiceDocument(table, text, 'ana');
              },
              async read(at: number) {
                const state = states[at];
                state.importUpdate(
                  await fetchUpdate(table, state.getGeneration()),
                );
              },
              async pass(at: number, to: number) {
                const held = states[to].getGeneration();
                states[to].importUpdate(states[at].exportUpdate(held, 0));
              },
            };
            for (const {kind, at, to} of moves) {
              await actions[kind as keyof typeof actions](at, to);
              states.forEach(checkComplete);
            }
          },
        ),
        {numRuns: 200},
      );
    });

    it('never reverts when changes arrive late, twice or out of order', () => {
      // Changes and exports of peers arrive in any order, any number of times.
      // The newest version received so far is active.
      const step = fc.record({
        version: fc.integer({min: 1, max: 5}),
        service: fc.constantFrom('a', 'b'),
        generation: fc.integer({min: 0, max: 8}),
      });
      fc.assert(
        fc.property(fc.array(step, {maxLength: 12}), steps => {
          const state = createConfigurationState();
          const peer = createConfigurationState();
          const newest = new Map<string, number>();
          let held = 0;
          for (const {version, service, generation} of steps) {
            const changes = [makeChange(version, service)];
            state.importUpdate({from: null, generation, changes});
            const best = Math.max(newest.get(service) ?? 0, version);
            newest.set(service, best);
            assert.equal(state.findDocument(service)?.version, best);
            assert.ok(state.getGeneration() >= held);
            held = state.getGeneration();
          }
          peer.importUpdate(state.exportUpdate(0, 0));
          assert.equal(peer.getGeneration(), held);
        }),
        {numRuns: 50},
      );
    });
  });
});
