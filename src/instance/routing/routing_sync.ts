/**
 * Passes routing documents between instances, so that one that is cut off from
 * the store still follows. Heartbeats carry the version each peer has; a peer
 * with a higher one is asked for it.
 */
import * as z from 'zod';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Members, WitnessReport} from '../members/members.js';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {
  routingDocumentSchema,
  type RoutingDocument,
} from './routing_document.js';
import type {RoutingTable} from './routing_table.js';

const fetchSchema = z.strictObject({after: z.number()});

/** Procedures that other instances call on this one's routing. */
export function buildRoutingRouter(routing: RoutingTable) {
  return buildPeerRouterOf({
    /** The document, when it is newer than `after`. */
    fetch: peerProcedure.input(fetchSchema).query(({input}) => {
      const isNewer = routing.getVersion() > input.after;
      return {document: isNewer ? routing.getDocument() : undefined};
    }),
  });
}

/** Asks one peer for a document newer than `after`. */
export type RoutingFetcher = (
  peer: ListedInstance,
  after: number,
) => Promise<{document?: RoutingDocument}>;

/** Fetches a newer document from a peer that reported one, if any did. */
export async function fetchNewerRouting(
  routing: RoutingTable,
  members: Pick<Members, 'listWitnessReports' | 'find'>,
  fetchFromPeer: RoutingFetcher,
): Promise<boolean> {
  const held = routing.getVersion();
  const newest = members
    .listWitnessReports()
    .reduce<WitnessReport | undefined>(
      (best, report) =>
        report.generation > (best?.generation ?? held) ? report : best,
      undefined,
    );
  const peer = newest && members.find(newest.name);
  if (!peer) return false;
  const {document} = await fetchFromPeer(peer, held);
  if (!document) return false;
  return routing.apply(routingDocumentSchema.parse(document));
}
