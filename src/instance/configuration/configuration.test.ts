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
import {CHANGE_PAGE, MAX_DOCUMENT_BYTES} from './constants.js';
import {createFleetState, type FleetState} from './fleet_state.js';

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
    it('counts versions, and changes nothing for the same text', async () => {
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

    it('refuses an invalid document whole', async () => {
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

    it('tells an operator who edited an older version', async () => {
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
      it(`lets one of racing operators win, ${order[0]} first`, async () => {
        // Both operators would believe their document to be in force: they
        // read the same version and write at once. One transaction commits;
        // the other's condition fails, and it is told who won.
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

      it(`finds an apply whose answer was lost, ${order[0]} first`, async () => {
        // The operator would be told of a conflict with itself: the change
        // commits, its answer is lost. The row under its generation names it.
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

    it('lets applies of different services through side by side', async () => {
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

    it('says that the outcome is unclear when no answer ever comes', async () => {
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
    it('is in force everywhere within two seconds, through a busy store', async () => {
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
      // Callers of one instance would see an old rate for as long as the cut
      // lasts: it cannot read the table. Its witnesses can, and pass it on.
      const fleet = createConfigurationFleet(DOMAINS);
      const cut = fleet.instances[0];
      await fleet.clock.advanceAsync(2000);
      cut.cutFromStore = true;
      await applyServiceDocument(fleet.platform.table, makeDocument(1), 'ana');
      await fleet.clock.advanceAsync(3500);
      assert.equal(cut.configuration.find('drum-reader')?.version, 1);
    });

    it('reaches an instance that starts during an outage', async () => {
      // Callers of the new instance would be told that there is no model. The
      // table is out; the peers hold more than fits one answer, and pass on
      // all of it.
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

    it('keeps the one in force when it cannot read a newer one', async () => {
      // During an upgrade the older program meets a key it does not know.
      const state = createFleetState();
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

    it('costs one read a second while nothing changes', async () => {
      const fleet = createConfigurationFleet(DOMAINS);
      await applyServiceDocument(fleet.platform.table, makeDocument(1), 'ana');
      await fleet.clock.advanceAsync(5000);
      const {reads, writes} = fleet.platform.counts;
      await fleet.clock.advanceAsync(60_000);
      assert.equal(fleet.platform.counts.reads - reads, 60 * DOMAINS.length);
      assert.equal(fleet.platform.counts.writes, writes);
      assert.ok(fleet.instances.every(({asked}) => asked === 0));
    });
  });

  describe('the log of changes', () => {
    it('is read over many answers, and anew where it has gaps', async () => {
      const {table} = createMemoryPlatform();
      const count = CHANGE_PAGE + 3;
      for (let version = 1; version <= count; version++) {
        await applyServiceDocument(table, makeDocument(version), 'ana');
      }
      const update = await fetchUpdate(table, 1);
      assert.equal(update.generation, count);
      assert.equal(update.changes.length, count - 1);
      const key = {partition: 'changes', sort: '000000000002'};
      const condition = {kind: 'version', version: 1} as const;
      await table.transact([{kind: 'delete', key, condition}]);
      const whole = await fetchUpdate(table, 1);
      assert.deepEqual([whole.generation, whole.changes.length], [count, 1]);
    });

    it('passes on no less than was asked for', async () => {
      // An instance far behind would hold its peer's generation without one
      // of the changes, and keep an old document for good: instances that read
      // everything at one time and single changes at another pass on to each
      // other; whoever holds the newest generation must hold every document.
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
            const states = [0, 1, 2].map(createFleetState);
            const applied: string[] = [];
            let version = 0;

            /** Version n of the text was written by the change of that number. */
            function checkComplete(state: FleetState) {
              applied.slice(0, state.getGeneration()).forEach((service, at) => {
                const held = state.findDocument(service)?.document;
                assert.ok((held?.account.gate.rate ?? 0) >= at + 1);
              });
            }

            const runs = {
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
              await runs[kind as keyof typeof runs](at, to);
              states.forEach(checkComplete);
            }
          },
        ),
        {numRuns: 200},
      );
    });

    it('never goes back, whatever comes late, twice or mixed up', () => {
      // Changes and exports of peers in any order, any number of times: the
      // newest version that ever came is in force.
      const step = fc.record({
        version: fc.integer({min: 1, max: 5}),
        service: fc.constantFrom('a', 'b'),
        generation: fc.integer({min: 0, max: 8}),
      });
      fc.assert(
        fc.property(fc.array(step, {maxLength: 12}), steps => {
          const state = createFleetState();
          const peer = createFleetState();
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
