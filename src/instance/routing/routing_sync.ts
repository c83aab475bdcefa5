/**
 * Relays routing documents between instances, so that an instance without store
 * access still follows changes. Heartbeats contain the version that each peer
 * has. An instance fetches the document from a peer that has a higher version.
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

/** Procedures of this instance's routing that other instances call. */
export function buildRoutingRouter(routing: RoutingTable) {
  return buildPeerRouterOf({
    /** Returns the document if it is newer than `after`. */
    fetch: peerProcedure.input(fetchSchema).query(({input}) => {
      const isNewer = routing.getVersion() > input.after;
      return {document: isNewer ? routing.getDocument() : undefined};
    }),
  });
}

/** Requests a document newer than `after` from one peer. */
export type RoutingFetcher = (
  peer: ListedInstance,
  after: number,
) => Promise<{document?: RoutingDocument}>;

/**
 * Fetches a newer document from a peer that reported one, if there is any.
 * Returns whether it was applied.
 */
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
