/** Heartbeats between instances. */
import {z} from 'zod';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import type {Members} from './members.js';

const heartbeatSchema = z.strictObject({
  name: z.string(),
  incarnation: z.string(),
});

/** Procedures that other instances call on this one's members. */
export function buildMembersRouter(members: Members) {
  return buildPeerRouterOf({
    heartbeat: peerProcedure
      .input(heartbeatSchema)
      .mutation(() => ({incarnation: members.self.incarnation})),
  });
}
