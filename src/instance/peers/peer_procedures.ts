/**
 * Builder of the procedures that instances call on each other. Each feature
 * builds its own router, and peer_router.ts combines them.
 */
import {initTRPC} from '@trpc/server';

/**
 * Identity of the calling peer, on a connection authenticated by the shared
 * key.
 */
export interface PeerContext {
  /** Name and incarnation that the peer sent when it connected. */
  peerName: string;
  peerIncarnation: string;
}

const builder = initTRPC.context<PeerContext>().create();

export const buildPeerRouterOf = builder.router;

/** Base of all procedures between instances. */
export const peerProcedure = builder.procedure;
