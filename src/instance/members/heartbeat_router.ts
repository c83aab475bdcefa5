/** Heartbeats between instances. */
import * as z from 'zod';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {MAX_UPDATES_PER_HEARTBEAT} from './constants.js';
import {memberUpdateSchema} from './member_updates.js';
import type {Members} from './members.js';

/**
 * What an instance reports of itself with each heartbeat and each response to
 * one.
 */
export const heartbeatSchema = z.strictObject({
  name: z.string().max(63),
  incarnation: z.string().max(64),
  /**
   * Version of the configuration that the sender has applied (its generation or
   * the routing version). Not interpreted here.
   */
  generation: z.number().default(0),
  /** Whether the sender's last read of the platform's store succeeded. */
  storeReachable: z.boolean().default(true),
  /**
   * First and last response of the store that the sender knows of, without a
   * long silence between them, as ages in ms. Sent only in responses: an
   * instance of an older version rejects heartbeats with fields that it does
   * not know.
   */
  storeRun: z
    .strictObject({fromMs: z.number().min(0), toMs: z.number().min(0)})
    .optional(),
  /** Evacuated failure domains that the sender knows of. Sent only in responses. */
  evacuated: z.array(z.string()).optional(),
  news: z.array(memberUpdateSchema).max(MAX_UPDATES_PER_HEARTBEAT).default([]),
});

/** A heartbeat or the response to one. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Procedures of this instance's members that other instances call. */
export function buildMembersRouter(members: Members) {
  return buildPeerRouterOf({
    heartbeat: peerProcedure
      .input(heartbeatSchema)
      .mutation(({input}) => members.handleHeartbeat(input)),
  });
}
