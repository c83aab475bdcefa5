/** Contract of every platform, and the adapters' behaviour when it fails. */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {createRetrier} from './retrier.js';
import {createHttpTransport} from './http_transport.js';
import {createHttpInstanceList} from './http_instance_list.js';
import {startPlatformServer} from '../stand_ins/platform/platform_server.js';
import {createSystemClock} from '../common/clock.js';
import {
  startConnectedPlatform,
  TESTED_PLATFORMS,
  type TestedPlatform,
} from '../testing/platforms.js';
import {makeEndpoint} from '../testing/fixtures.js';
import {waitUntil} from '../testing/wait_until.js';
import {UPLOAD_PART_BYTES} from './constants.js';
import {
  StoreError,
  type Fields,
  type TableStore,
  type WriteOperation,
} from './table_store.js';

const KEY = {partition: 'tests', sort: 'a'};

function makePut(fields: Fields, version = 0, key = KEY): WriteOperation {
  return {
    kind: 'put',
    key,
    fields,
    condition: version === 0 ? {kind: 'absent'} : {kind: 'version', version},
  };
}

async function collectStream(
  stream: AsyncIterable<Buffer> | undefined,
): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for await (const piece of stream ?? []) pieces.push(piece);
  return Buffer.concat(pieces);
}

for (const [way, start] of Object.entries(TESTED_PLATFORMS)) {
  describe(`platform ${way}`, () => {
    let tested: TestedPlatform;
    let table: TableStore;

    before(async () => {
      tested = await start();
      table = tested.platform.table;
    });
    after(() => tested.close());

    it('commits a transaction atomically', async () => {
      const fields = {text: 'x', number: 1.5, flag: true, 'odd name': ''};
      const first = await table.transact([makePut(fields)]);
      assert.equal(first.kind, 'committed');
      const row = await table.get(KEY);
      assert.deepEqual(row, {
        key: KEY,
        version: 1,
        writeId: first.kind === 'committed' && first.writeId,
        fields,
      });
      const other = {partition: 'tests', sort: 'b'};
      const outcome = await table.transact([
        makePut({}, 0, other),
        makePut(fields, 7),
      ]);
      assert.deepEqual(outcome, {kind: 'conflict', index: 1});
      assert.equal(await table.get(other), undefined);
    });

    it('checks conditions on fields and deletes', async () => {
      const key = {partition: 'tests', sort: 'fields'};
      await table.transact([makePut({state: 'held', n: 1}, 0, key)]);
      const check = (equals: Fields): WriteOperation => ({
        kind: 'check',
        key,
        condition: {kind: 'fields', equals},
      });
      assert.deepEqual(await table.transact([check({state: 'held', n: 2})]), {
        kind: 'conflict',
        index: 0,
      });
      const matched = await table.transact([check({state: 'held', n: 1})]);
      assert.equal(matched.kind, 'committed');
      const condition = {kind: 'version', version: 1} as const;
      await table.transact([{kind: 'delete', key, condition}]);
      assert.equal(await table.get(key), undefined);
      assert.equal((await table.transact([check({})])).kind, 'conflict');
    });

    it('reads ranges of a partition, also over several pages', async () => {
      const text = 'x'.repeat(300_000);
      for (const sort of ['p-1', 'p-2', 'p-3', 'p-4', 'p-5', 'q-1']) {
        await table.transact([makePut({text}, 0, {partition: 'wide', sort})]);
      }
      const list = async (range: Parameters<TableStore['query']>[1]) =>
        (await table.query('wide', range)).map(row => row.key.sort);
      assert.equal((await list({})).length, 6);
      assert.deepEqual(await list({prefix: 'p-', limit: 2}), ['p-1', 'p-2']);
      assert.deepEqual(await list({prefix: 'p-', after: 'p-4'}), ['p-5']);
      assert.deepEqual(await list({prefix: 'q', after: 'p-2'}), ['q-1']);
      assert.deepEqual(await list({prefix: 'p', after: 'q'}), []);
    });

    it('refuses a repeated key and a row that is too large', async () => {
      const twice = [makePut({}, 0), makePut({}, 0)];
      await assert.rejects(table.transact(twice), StoreError);
      const long = {text: 'x'.repeat(500_000)};
      await assert.rejects(table.transact([makePut(long)]), StoreError);
    });

    it('stores, lists and deletes objects', async () => {
      const {objects} = tested.platform;
      const name = "files/a b+c&d/é'(1).jsonl";
      assert.equal(await objects.get(name), undefined);
      assert.equal(await objects.stream(name), undefined);
      await objects.put(name, Buffer.from('0123456789'));
      assert.equal(String(await objects.get(name)), '0123456789');
      assert.equal(String(await objects.get(name, {start: 3, end: 5})), '34');
      assert.equal((await objects.get(name, {start: 20, end: 30}))?.length, 0);
      await objects.put('files/b', Buffer.alloc(0));
      assert.equal((await objects.get('files/b'))?.length, 0);
      assert.equal(
        (await collectStream(await objects.stream('files/b'))).length,
        0,
      );
      assert.deepEqual(await objects.list('files/'), [name, 'files/b']);
      assert.deepEqual(await objects.list('files/', name), ['files/b']);
      await objects.delete(name);
      await objects.delete(name);
      assert.deepEqual(await objects.list('files/'), ['files/b']);
    });

    it('stores an object in pieces and streams it', async () => {
      const {objects} = tested.platform;
      const piece = Buffer.alloc(3_000_000, 'drum');
      const pieces = Math.ceil((2 * UPLOAD_PART_BYTES) / piece.length) + 1;
      const upload = await objects.openUpload('bundle');
      for (let at = 0; at < pieces; at++) await upload.append(piece);
      assert.equal(await objects.get('bundle'), undefined);
      await upload.complete();
      const expected = Buffer.concat(Array(pieces).fill(piece));
      const read = await collectStream(await objects.stream('bundle'));
      assert.ok(read.equals(expected));
      const range = {start: 1, end: 10_000_001};
      const part = await collectStream(await objects.stream('bundle', range));
      assert.ok(part.equals(expected.subarray(1, 10_000_001)));
      const cancelled = await objects.openUpload('given-up');
      await cancelled.append(piece);
      await cancelled.cancel();
      assert.equal(await objects.get('given-up'), undefined);
    });

    it('lists the instances', async () => {
      const entries = [makeEndpoint('127.0.0.1:9000')];
      tested.memory.setInstances(entries);
      assert.deepEqual(await tested.platform.instances.fetch(), entries);
    });
  });
}

const LIST_TIMEOUT_MS = 5000;

describe('the instance list over HTTP', () => {
  // Each instance requests the list once a second. A list of 400 KB, sent each
  // time, would be 30 times the bandwidth allowed for control traffic.
  it('is sent only when it has changed, and compressed', async () => {
    const server = await startPlatformServer();
    const transport = createHttpTransport(LIST_TIMEOUT_MS);
    const sizes: number[] = [];
    const list = createHttpInstanceList({
      url: server.settings.instances_url,
      transport: {
        ...transport,
        async send(request) {
          const answer = await transport.send(request);
          sizes.push(answer.body.length);
          return answer;
        },
      },
      retrier: createRetrier({
        clock: createSystemClock(),
        random: () => 0,
        listener: () => {},
      }),
      noteBadEntries: () => {},
    });
    const entries = Array.from({length: 500}, (_, index) =>
      makeEndpoint(`127.0.0.1:${9000 + index}`),
    );
    try {
      for (const shown of [entries, entries, entries.slice(1)]) {
        server.platform.setInstances(shown);
        assert.deepEqual(await list.fetch(), shown);
      }
      const [first, same, changed] = sizes;
      assert.ok(first < JSON.stringify(entries).length / 5, `${first} bytes`);
      assert.equal(same, 0);
      assert.ok(changed > 0);
    } finally {
      await transport.close();
      await server.close();
    }
  });
});

describe('platform adapters under failure', () => {
  let tested: TestedPlatform;
  let table: TableStore;

  before(async () => {
    tested = await startConnectedPlatform();
    table = tested.platform.table;
  });
  after(() => tested.close());

  it('recognises its committed transaction after a lost response', async () => {
    // The service commits, the connection breaks, and the row no longer meets
    // the condition. Without the write id in the row, the writer would take its
    // own write for that of another writer.
    for (const round of [0, 1]) {
      tested.memory.faults.answersToLose = 1;
      const outcome = await table.transact([makePut({round}, round)]);
      assert.equal(outcome.kind, 'committed');
      assert.equal((await table.get(KEY))?.version, round + 1);
    }
  });

  it('recognises its committed delete by the request token', async () => {
    const key = {partition: 'tests', sort: 'deleted'};
    await table.transact([makePut({}, 0, key)]);
    tested.memory.faults.answersToLose = 1;
    const condition = {kind: 'version', version: 1} as const;
    const outcome = await table.transact([{kind: 'delete', key, condition}]);
    assert.equal(outcome.kind, 'committed');
  });

  it('reports a conflict when another writer was first', async () => {
    const key = {partition: 'tests', sort: 'raced'};
    await tested.memory.table.transact([makePut({by: 'rival'}, 0, key)]);
    const outcome = await table.transact([makePut({by: 'me'}, 0, key)]);
    assert.deepEqual(outcome, {kind: 'conflict', index: 0});
  });

  it('reports an unknown effect for a write without a response', async () => {
    // The response to the write is lost, and the reads that would settle it
    // fail as well. The only correct report is that the effect is unknown.
    const key = {partition: 'tests', sort: 'unclear'};
    tested.memory.faults.answersToLose = 1;
    const writing = table.transact([makePut({}, 0, key)]);
    await waitUntil(() => tested.memory.faults.answersToLose === 0);
    tested.memory.faults.downServices = ['table'];
    await assert.rejects(
      writing,
      (error: StoreError) => error.effect === 'unknown',
    );
    tested.memory.faults.downServices = [];
  });

  it('retries until a throttled service accepts the request', async () => {
    tested.memory.faults.throttled = true;
    const reading = tested.platform.objects.get('bundle');
    await waitUntil(() => tested.memory.counts.throttled > 0);
    tested.memory.faults.throttled = false;
    assert.equal(await reading, undefined);
  });

  it('recognises its completed upload after a lost response', async () => {
    const {objects} = tested.platform;
    const upload = await objects.openUpload('answer-lost');
    const piece = Buffer.alloc(UPLOAD_PART_BYTES, 'a');
    await upload.append(piece);
    await upload.append(piece.subarray(0, 10));
    tested.memory.faults.answersToLoseOf = {objects: 1};
    await upload.complete();
    const read = await collectStream(await objects.stream('answer-lost'));
    assert.equal(read.length, UPLOAD_PART_BYTES + 10);
  });
});
