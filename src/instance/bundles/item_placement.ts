/** Where items may run under the current configuration, and the waits that depend on it. */
import {isDeepStrictEqual} from 'node:util';
import type {SlotRequest} from '../dispatch/dispatch.js';
import {chooseTarget} from '../routing/choose_target.js';
import {findHomeRegions} from '../routing/home_regions.js';
import type {Route} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';
import type {BundleItem} from './bundle_types.js';
import {findItemRoute, type BundleOrigin} from './item_route.js';

/** What an item requires of the endpoint that runs it. */
export type Placement = Pick<SlotRequest, 'service' | 'regions'>;

/** The item of which the placement is asked. */
export interface PlacedItem {
  item: BundleItem;
  account: string;
  origin: BundleOrigin;
}

/** Finds the placements of items. */
export interface ItemPlacements {
  findRoute(placed: PlacedItem): Route | undefined;
  build(placed: PlacedItem, route: Route): Placement;
  /** Whether the current configuration still places the item there. */
  isCurrent(placed: PlacedItem, placement: Placement): boolean;
  /**
   * Runs `wait` with a signal that aborts together with `signal`, or once the
   * placement is not current any more.
   */
  runWhileCurrent<Result>(
    placed: PlacedItem,
    placement: Placement,
    signal: AbortSignal,
    wait: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result>;
}

interface PlacementWait {
  placed: PlacedItem;
  placement: Placement;
  abort: () => void;
}

/** Creates placements that follow the changes of `routing`. */
export function createItemPlacements(routing: RoutingTable): ItemPlacements {
  const waits = new Set<PlacementWait>();

  // An item that waits for a slot of a service that its route has left would wait as
  // long as that service is busy, although its new service may be idle.
  routing.subscribe(() => {
    for (const {placed, placement, abort} of [...waits]) {
      if (!isCurrent(placed, placement)) abort();
    }
  });

  function findRoute({item, origin}: PlacedItem): Route | undefined {
    return findItemRoute(routing, origin, item.target);
  }

  function build({item, account}: PlacedItem, route: Route): Placement {
    return {
      service: chooseTarget(route, item.id),
      regions: findHomeRegions(route, routing.findAccount(account)),
    };
  }

  function isCurrent(placed: PlacedItem, placement: Placement): boolean {
    const route = findRoute(placed);
    return (
      route !== undefined && isDeepStrictEqual(build(placed, route), placement)
    );
  }

  return {
    findRoute,
    build,
    isCurrent,
    async runWhileCurrent(placed, placement, signal, wait) {
      const controller = new AbortController();
      const abort = () => controller.abort();
      const entry = {placed, placement, abort};
      if (signal.aborted) abort();
      signal.addEventListener('abort', abort, {once: true});
      waits.add(entry);
      try {
        return await wait(controller.signal);
      } finally {
        waits.delete(entry);
        signal.removeEventListener('abort', abort);
      }
    },
  };
}
