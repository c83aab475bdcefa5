import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {listenServer} from '../../common/listen.js';
import {checkEnded} from './endpoint_check.js';

describe('whether an endpoint has ended', () => {
  // Guards against taking a lost connection for the end of an endpoint.
  it('is told by its machine, not by a connection that broke', async () => {
    const server = createServer(socket => socket.destroy());
    const address = await listenServer(server, 'it', '127.0.0.1', 0);
    assert.equal(await checkEnded(address), false);
    await new Promise(resolve => server.close(resolve));
    assert.equal(await checkEnded(address), true);
  });
});
