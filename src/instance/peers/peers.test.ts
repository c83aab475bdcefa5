/** Procedures between two instances over loopback. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {createMembers, type SelfDescription} from '../members/members.js';
import {createPeerClients} from './peer_client.js';
import {buildPeerRouter} from './peer_router.js';
import {startPeerServer} from './peer_server.js';

function makeSelf(name: string): SelfDescription {
  return {
    name,
    address: '127.0.0.1:0',
    region: 'klang',
    failureDomain: 'klang-a',
    incarnation: `run-of-${name}`,
  };
}

describe('peers', () => {
  it('answers a heartbeat with its incarnation', async () => {
    const platform = createMemoryPlatform();
    const members = createMembers(makeSelf('entry-2'), platform.instances);
    const server = await startPeerServer(
      '127.0.0.1',
      0,
      buildPeerRouter({members, dispatch: {} as never}),
    );
    const clients = createPeerClients(makeSelf('entry-1'));
    const answer = await clients.get(server.address).members.heartbeat.mutate({
      name: 'entry-1',
      incarnation: 'run-of-entry-1',
    });
    assert.equal(answer.incarnation, 'run-of-entry-2');
    clients.close();
    await server.close();
  });
});
