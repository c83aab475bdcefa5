/** Heartbeats between instances. */
import * as z from 'zod';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {MAX_NEWS_PER_HEARTBEAT} from './constants.js';
import {memberNewsSchema} from './member_news.js';
import type {Members} from './members.js';

/** What an instance tells of itself with each heartbeat and answer. */
export const heartbeatSchema = z.strictObject({
  name: z.string().max(63),
  incarnation: z.string().max(64),
  /** Number of the sender's view of configuration and keys; opaque here. */
  generation: z.number().default(0),
  /** Whether the sender's last read of the platform's store succeeded. */
  storeReachable: z.boolean().default(true),
  /**
   * First and last answer of the store that the sender knows of without a long
   * silence between them, as ages in ms. Only in answers: an instance of an
   * older version refuses heartbeats with fields that it does not know.
   */
  storeRun: z
    .strictObject({fromMs: z.number().min(0), toMs: z.number().min(0)})
    .optional(),
  news: z.array(memberNewsSchema).max(MAX_NEWS_PER_HEARTBEAT).default([]),
});

/** A heartbeat or its answer. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Procedures that other instances call on this one's members. */
export function buildMembersRouter(members: Members) {
  return buildPeerRouterOf({
    heartbeat: peerProcedure
      .input(heartbeatSchema)
      .mutation(({input}) => members.handleHeartbeat(input)),
  });
}
