/** What instances tell each other of bundles. */
import * as z from 'zod';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';

const orphanSchema = z.strictObject({id: z.string(), epoch: z.number()});

/** Bundles in one message, at the most. */
export const MAX_ORPHANS_TOLD = 100;

const adoptSchema = z.strictObject({
  orphans: z.array(orphanSchema).max(MAX_ORPHANS_TOLD),
});
const endedSchema = z.strictObject({id: z.string()});

/** A bundle whose owner is gone, and the epoch of that ownership. */
export type OrphanNotice = z.infer<typeof orphanSchema>;

/** How other instances are told; lost words are made up for by later looks. */
export interface BundlePeers {
  /** Takes these bundles over. */
  sendOrphans(address: string, orphans: readonly OrphanNotice[]): void;
  /** The account has ended a bundle that the instance works on. */
  sendEnded(address: string, id: string): void;
}

/** What an instance does when it is told. */
export interface BundleNotices {
  adopt(orphans: readonly OrphanNotice[]): void;
  stop(id: string): void;
}

/** Procedures that other instances call on this one's bundles. */
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
