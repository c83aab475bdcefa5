import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {ENGINE_DOCUMENT} from '../../testing/fixtures.js';
import {giveKey, listKeys, withdrawKey} from '../keys/key_admin.js';
import {
  applyServiceDocument,
  findStoredDocument,
  listDocumentHistory,
} from './apply_document.js';
import {fetchUpdate} from './change_log.js';
import {createConfigurationState} from './configuration_state.js';

/**
 * The fault injected into one call of an operator's command to the table.
 * `lost`: the call takes effect and its response is lost. `late`: the call
 * takes effect after the caller has given up on it.
 */
const callFault = fc.constantFrom(
  ...['none', 'none', 'none', 'refused', 'lost', 'late'],
);

/** Turns of the microtask queue after which a late call takes effect. */
const LATE_TURNS = 12;

const operator = fc.record({
  action: fc.constantFrom('apply', 'give', 'withdraw'),
  faults: fc.array(callFault, {minLength: 12, maxLength: 12}),
  /** Turns that each call waits before it reaches the table. */
  waits: fc.array(fc.nat(3), {minLength: 12, maxLength: 12}),
});

async function awaitTurns(turns: number) {
  for (let turn = 0; turn < turns; turn++) await Promise.resolve();
}

/** The table as one operator reaches it. Each call gets the next fault. */
function buildFaultyTable(
  table: TableStore,
  faults: readonly string[],
  waits: readonly number[],
): TableStore {
  let calls = 0;

  async function runCall<Result>(call: () => Promise<Result>) {
    const at = calls++ % faults.length;
    await awaitTurns(waits[at]);
    if (faults[at] === 'late') {
      void awaitTurns(LATE_TURNS).then(call);
      throw new StoreError('late', 'unknown');
    }
    if (faults[at] === 'refused') throw new StoreError('throttled', 'none');
    const result = await call();
    if (faults[at] === 'lost') throw new StoreError('lost', 'unknown');
    return result;
  }

  return {
    get: key => runCall(() => table.get(key)),
    query: (...range) => runCall(() => table.query(...range)),
    transact: steps => runCall(() => table.transact(steps)),
  };
}

describe('concurrent operators with lost responses and refused calls', () => {
  it('get correct outcomes, and the log contains every change', async () => {
    // Guards against reporting a document as active that is not, a conflict
    // of an operator with its own change, or the same version to two operators.
    // Any call of any command may be refused or lose its response, in any
    // interleaving.
    await fc.assert(
      fc.asyncProperty(
        fc.array(operator, {minLength: 2, maxLength: 5}),
        async operators => {
          const {table} = createMemoryPlatform();
          const old = await giveKey(table, 'planner');
          const applied = new Map<number, string>();
          const given: string[] = [];
          let withdrawn = false;

          const actions: Record<
            string,
            (faulty: TableStore, name: string) => Promise<void>
          > = {
            async apply(faulty, name) {
              const text = `${ENGINE_DOCUMENT}; ${name}\n`;
              const outcome = await applyServiceDocument(faulty, text, name);
              if (outcome.kind === 'conflict') {
                assert.notEqual(outcome.author, name);
                return;
              }
              assert.ok(!applied.has(outcome.version));
              applied.set(outcome.version, name);
            },
            async give(faulty) {
              given.push((await giveKey(faulty, 'gate')).keyId);
            },
            async withdraw(faulty) {
              await withdrawKey(faulty, old.keyId);
              withdrawn = true;
            },
          };

          await Promise.all(
            operators.map(async ({action, faults, waits}, at) => {
              const faulty = buildFaultyTable(table, faults, waits);
              try {
                await actions[action](faulty, `operator-${at}`);
              } catch (error) {
                if (!(error instanceof StoreError)) throw error;
              }
            }),
          );

          await awaitTurns(10 * LATE_TURNS);
          const history = await listDocumentHistory(table, 'drum-reader');
          for (const [version, author] of applied) {
            assert.equal(history[version - 1].author, author);
          }
          const held = await findStoredDocument(table, 'drum-reader');
          assert.equal(held?.version ?? 0, history.length);
          const keys = await listKeys(table);
          const stateOf = (id: string) =>
            keys.find(({keyId}) => keyId === id)?.state;
          for (const keyId of given) assert.equal(stateOf(keyId), 'valid');
          if (withdrawn) assert.equal(stateOf(old.keyId), 'withdrawn');

          const replayed = createConfigurationState();
          replayed.importUpdate(await fetchUpdate(table, 1));
          const version = replayed.findDocument('drum-reader')?.version ?? 0;
          assert.equal(version, history.length);
          const changes = history.length + keys.length - 1;
          const isWithdrawn = stateOf(old.keyId) === 'withdrawn';
          assert.equal(
            replayed.getGeneration(),
            1 + changes + (isWithdrawn ? 1 : 0),
          );
        },
      ),
      {numRuns: 400, seed: 2},
    );
  });
});
