/** All procedures that one instance may call on another. */
import {
  buildConfigurationRouter,
  type ConfigurationRouterDependencies,
} from '../configuration/configuration_router.js';
import {
  buildDispatchRouter,
  type DispatchRouterDependencies,
} from '../dispatch/dispatch_router.js';
import {
  buildLimitsRouter,
  type LimitProcedures,
} from '../limits/limits_router.js';
import {
  buildOwnerLimitsRouter,
  type OwnerLimits,
} from '../limits/owner_limits.js';
import {
  buildBundlesRouter,
  type BundleNotices,
} from '../bundles/bundle_peers.js';
import type {Members} from '../members/members.js';
import {buildMembersRouter} from '../members/heartbeat_router.js';
import {
  buildStreamsRouter,
  type StreamOrigins,
} from '../streams/stream_origins.js';
import {buildRoutingRouter} from '../routing/routing_sync.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {buildPeerRouterOf} from './peer_procedures.js';
import {buildStoreRouter, type DirectStore} from './relayed_store.js';

/** The features that peers may call. */
export interface PeerFeatures {
  members: Members;
  dispatch: DispatchRouterDependencies;
  limits: LimitProcedures;
  configuration: ConfigurationRouterDependencies;
}

/** Builds a router with one part per feature. */
export function buildPeerRouter(features: PeerFeatures) {
  return buildPeerRouterOf({
    members: buildMembersRouter(features.members),
    dispatch: buildDispatchRouter(features.dispatch),
    limits: buildLimitsRouter(features.limits),
    configuration: buildConfigurationRouter(features.configuration),
  });
}

/** The features of a gateway instance that peers may call. */
export interface GatewayFeatures {
  members: Members;
  dispatch: DispatchRouterDependencies;
  ownerLimits: OwnerLimits;
  routing: RoutingTable;
  bundles: BundleNotices;
  streams: Pick<StreamOrigins, 'procedures'>;
  /** This instance's direct access to the store. */
  store: DirectStore;
}

/** Builds the router of an instance that serves routes. */
export function buildGatewayPeerRouter(features: GatewayFeatures) {
  return buildPeerRouterOf({
    members: buildMembersRouter(features.members),
    dispatch: buildDispatchRouter(features.dispatch),
    ownerLimits: buildOwnerLimitsRouter(features.ownerLimits),
    routing: buildRoutingRouter(features.routing),
    bundles: buildBundlesRouter(features.bundles),
    streams: buildStreamsRouter(features.streams),
    store: buildStoreRouter(features.store),
  });
}

/** Type of the gateway router, for clients. */
export type GatewayPeerRouter = ReturnType<typeof buildGatewayPeerRouter>;

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof buildPeerRouter>;
