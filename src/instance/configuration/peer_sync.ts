/**
 * Brings configuration and keys from peers while the table gives no answer
 * here: from one witness in each failure domain, so that a cut that hides the
 * table from one domain alone is seen around. While the table answers, nothing
 * is sent. Out of contact an instance asks as many peers a second as there are
 * failure domains (15 at the size to design for), and is asked as often.
 */
import type {Clock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import type {ListedInstance} from '../../platform/instance_list.js';
import type {WitnessAnswer} from '../keys/confidence.js';
import type {Change} from './changes.js';
import type {Configuration} from './configuration.js';
import type {PeerUpdate} from './configuration_router.js';

/** Asks one peer; rejects when it gives no answer in time. */
export type FetchFromPeer = (
  peer: ListedInstance,
  request: {after: number; skip: number},
) => Promise<PeerUpdate>;

/** What it works with. */
export interface PeerSyncDependencies {
  clock: Clock;
  configuration: Configuration;
  /** Other entry instances of the platform's list, suspected ones included. */
  listPeers(): ListedInstance[];
  fetchFromPeer: FetchFromPeer;
}

/** The way to the table through peers. */
export interface PeerSync extends StateSource {
  /** Asks the witnesses unless the table answers here. */
  poll(): Promise<void>;
  /** The table's content is known through peers as of this time. */
  getConfirmedAt(): number;
  listAnswers(): WitnessAnswer[];
  listFailureDomains(): string[];
}

/** Starts without an answer from anyone. */
export function createPeerSync(dependencies: PeerSyncDependencies): PeerSync {
  const {clock, configuration, listPeers, fetchFromPeer} = dependencies;
  const answers = new Map<string, WitnessAnswer>();
  const turns = new Map<string, number>();
  let confirmedAt = -Infinity;

  function listByDomain(): Map<string, ListedInstance[]> {
    const domains = new Map<string, ListedInstance[]>();
    for (const peer of listPeers()) {
      const held = domains.get(peer.failureDomain) ?? [];
      domains.set(peer.failureDomain, [...held, peer]);
    }
    return domains;
  }

  /** A long update comes in parts; one that changed meanwhile starts anew. */
  async function fetchWhole(peer: ListedInstance): Promise<PeerUpdate> {
    const after = configuration.describeGeneration();
    const first = await fetchFromPeer(peer, {after, skip: 0});
    const changes: Change[] = [...first.changes];
    for (let skip = first.next; skip !== undefined;) {
      const part = await fetchFromPeer(peer, {after, skip});
      if (part.generation !== first.generation) {
        throw new Error('the peer went on meanwhile');
      }
      changes.push(...part.changes);
      skip = part.next;
    }
    return {...first, changes};
  }

  /** A witness without an answer hands over to the next of its domain. */
  async function askDomain(failureDomain: string, peers: ListedInstance[]) {
    const turn = turns.get(failureDomain) ?? 0;
    const askedAt = clock.now();
    try {
      const update = await fetchWhole(peers[turn % peers.length]);
      configuration.importDocuments(update);
      answers.set(failureDomain, {failureDomain, askedAt});
      if (update.confirmedMsAgo === null) return;
      confirmedAt = Math.max(confirmedAt, askedAt - update.confirmedMsAgo);
    } catch {
      turns.set(failureDomain, turn + 1);
    }
  }

  return {
    async poll() {
      if (configuration.isStoreReachable(clock.now())) return;
      const domains = [...listByDomain()];
      await Promise.all(domains.map(([name, peers]) => askDomain(name, peers)));
    },
    getConfirmedAt: () => confirmedAt,
    listAnswers: () => [...answers.values()],
    listFailureDomains: () => [...listByDomain().keys()],
    describeState: () => ({
      confirmedMsAgo: Math.round(clock.now() - confirmedAt),
      answers: [...answers.values()].map(({failureDomain, askedAt}) => ({
        failureDomain,
        askedMsAgo: Math.round(clock.now() - askedAt),
      })),
    }),
  };
}
