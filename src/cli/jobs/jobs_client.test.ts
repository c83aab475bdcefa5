import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {listenServer} from '../../common/listen.js';
import {createJobsClient} from './jobs_client.js';

const LINE = '{"id":"one"}\n';
const OK = 'HTTP/1.1 200 OK\r\n';

/** Starts of responses after which the connection is closed. */
const SHORT_RESPONSES = {
  'with a length': `${OK}Content-Length: ${LINE.length + 1}\r\n\r\n${LINE}`,
  'in chunks': `${OK}Transfer-Encoding: chunked\r\n\r\nd\r\n${LINE}\r\n`,
};

describe('jobs client', () => {
  let server: Server;
  let address: string;
  let response: string;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => socket.end(response));
    });
    address = await listenServer(server, 'instance', '127.0.0.1', 0);
  });

  after(() => server.close());

  for (const [framing, bytes] of Object.entries(SHORT_RESPONSES)) {
    // Guards against a file with the start of an output that looks complete.
    it(`fails when an output ${framing} is broken off`, async () => {
      response = bytes;
      const output = await createJobsClient(address, 'key').openOutput('job');
      await assert.rejects(async () => {
        for await (const part of output) assert.equal(String(part), LINE);
      });
    });
  }
});
