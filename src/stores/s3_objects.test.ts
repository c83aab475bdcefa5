/** Responses of an S3 object store that are short of what they should hold. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSystemClock} from '../common/clock.js';
import {STREAM_PIECE_BYTES} from './constants.js';
import type {StoreRequest, StoreResponse} from './http_transport.js';
import {createRetrier} from './retrier.js';
import {createS3Objects} from './s3_objects.js';
import {StoreFailure} from './store_failure.js';

/** Creates the store over a transport that `respond` answers for. */
function createObjects(
  respond: (request: StoreRequest) => Partial<StoreResponse>,
) {
  const clock = createSystemClock();
  return createS3Objects({
    url: 'http://127.0.0.1:1',
    bucket: 'bucket',
    transport: {
      send: async request => ({
        status: 200,
        headers: {},
        body: Buffer.alloc(0),
        ...respond(request),
      }),
      close() {},
    },
    signer: async request => ({...request, headers: request.headers ?? {}}),
    retrier: createRetrier({clock, random: () => 0, listener() {}}),
  });
}

const LIST =
  '<ListBucketResult><Contents><Key>one</Key></Contents>' +
  '<Contents><Key>two</Key></Contents></ListBucketResult>';

describe('S3 object store', () => {
  it('lists the names of a whole response', async () => {
    const objects = createObjects(() => ({body: Buffer.from(LIST)}));
    assert.deepEqual(await objects.list('p'), ['one', 'two']);
  });

  // Guards against objects that are missing from a list that looks complete.
  it('does not list the names of a response that is broken off', async () => {
    const end = LIST.indexOf('<Key>two') + '<Key>t'.length;
    const body = Buffer.from(LIST.slice(0, end));
    const objects = createObjects(() => ({body}));
    await assert.rejects(objects.list('p'), StoreFailure);
  });

  describe('streams an object', () => {
    const size = STREAM_PIECE_BYTES + 10;

    /** Responds with at most `most` bytes of each requested range. */
    function createRanges(most: number) {
      return createObjects(({headers}) => {
        const [start, end] = /bytes=(\d+)-(\d+)/
          .exec(headers.range)!
          .slice(1)
          .map(Number);
        const stop = Math.min(end + 1, size, start + most);
        const range = `bytes ${start}-${stop - 1}/${size}`;
        return {
          status: 206,
          headers: {'content-range': range},
          body: Buffer.alloc(Math.max(0, stop - start)),
        };
      });
    }

    async function countStreamed(most: number): Promise<number> {
      let bytes = 0;
      for await (const piece of (await createRanges(most).stream('o'))!)
        bytes += piece.length;
      return bytes;
    }

    it('to its end', async () => {
      assert.equal(await countStreamed(Infinity), size);
    });

    // Guards against an object that ends with the first piece that is short.
    it('to its end if a piece is shorter than requested', async () => {
      assert.equal(await countStreamed(STREAM_PIECE_BYTES - 1), size);
    });

    it('with a failure if a piece is empty before its end', async () => {
      await assert.rejects(countStreamed(0), StoreFailure);
    });
  });
});
