/** Messages between instances about bundles. */
import * as z from 'zod';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';

const orphanSchema = z.strictObject({id: z.string(), epoch: z.number()});

/** Maximum number of bundles in one message. */
export const MAX_ORPHANS_PER_MESSAGE = 100;

const adoptSchema = z.strictObject({
  orphans: z.array(orphanSchema).max(MAX_ORPHANS_PER_MESSAGE),
});
const endedSchema = z.strictObject({id: z.string()});

/** A bundle whose owner is gone, and the epoch of that ownership. */
export type OrphanNotice = z.infer<typeof orphanSchema>;

/**
 * Notifies other instances. A lost message does no lasting harm, because
 * instances check the store periodically.
 */
export interface BundlePeers {
  /** Asks an instance to take these bundles over. */
  sendOrphans(address: string, orphans: readonly OrphanNotice[]): void;
  /** Notifies an instance that the account has ended a bundle that it owns. */
  sendEnded(address: string, id: string): void;
}

/** Handles the notifications of other instances. */
export interface BundleNotices {
  adopt(orphans: readonly OrphanNotice[]): void;
  stop(id: string): void;
}

/** Builds the procedures that other instances call. */
export function buildBundlesRouter({adopt, stop}: BundleNotices) {
  return buildPeerRouterOf({
    adopt: peerProcedure
      .input(adoptSchema)
      .mutation(({input}) => adopt(input.orphans)),
    ended: peerProcedure
      .input(endedSchema)
      .mutation(({input}) => stop(input.id)),
  });
}
