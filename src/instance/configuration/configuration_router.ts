/**
 * Requests of peers and of waiting operators for this instance's configuration.
 */
import * as z from 'zod';
import type {Clock} from '../../common/clock.js';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {updateSchema} from './changes.js';
import type {Configuration} from './configuration.js';
import type {PeerSync} from './peer_sync.js';

const requestSchema = z.strictObject({
  /** Generation that the requesting instance has applied. */
  after: z.number().int().nonnegative(),
  /** Position at which the requested part of a long update begins. */
  skip: z.number().int().nonnegative().default(0),
});

/**
 * Part of an update, and how long ago its sender knew the table's content, in
 * ms.
 */
export const peerUpdateSchema = updateSchema.extend({
  confirmedMsAgo: z.number().nullable(),
});

/** Response to a peer. */
export type PeerUpdate = z.infer<typeof peerUpdateSchema>;

export interface ConfigurationRouterDependencies {
  configuration: Configuration;
  peerSync: PeerSync;
  clock: Clock;
}

/** Procedures of this instance's configuration that other instances call. */
export function buildConfigurationRouter({
  configuration,
  peerSync,
  clock,
}: ConfigurationRouterDependencies) {
  return buildPeerRouterOf({
    fetchUpdate: peerProcedure
      .input(requestSchema)
      .query(({input}): PeerUpdate => {
        const age = clock.now() - peerSync.getConfirmedAt();
        return {
          ...configuration.exportDocuments(input.after, input.skip),
          confirmedMsAgo: Number.isFinite(age) ? age : null,
        };
      }),
    describeView: peerProcedure.query(() => configuration.describeView()),
  });
}
