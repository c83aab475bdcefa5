/**
 * The builder of procedures between instances. Each feature makes a router of
 * its own with it; peer_router.ts puts them together.
 */
import {initTRPC} from '@trpc/server';

/** Who calls: proved by the connection it came on. */
export interface PeerContext {
  /** Name and incarnation that the peer gave when it connected. */
  peerName: string;
  peerIncarnation: string;
}

const builder = initTRPC.context<PeerContext>().create();

/** Makes a router from procedures. */
export const buildPeerRouterOf = builder.router;

/** Base of every procedure between instances. */
export const peerProcedure = builder.procedure;
