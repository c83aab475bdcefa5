import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {listenServer} from '../../common/listen.js';
import {checkEnded} from './endpoint_check.js';

describe('check whether an endpoint has ended', () => {
  // Guards against regarding a lost connection as the end of an endpoint.
  it('relies on refused connections, not on broken ones', async () => {
    const server = createServer(socket => socket.destroy());
    const address = await listenServer(server, 'it', '127.0.0.1', 0);
    assert.equal(await checkEnded(address), false);
    await new Promise(resolve => server.close(resolve));
    assert.equal(await checkEnded(address), true);
  });
});
