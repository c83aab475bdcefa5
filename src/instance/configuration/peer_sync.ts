/**
 * Brings configuration and keys from peers while the table gives no answer
 * here: from one witness in each failure domain, so that a cut that hides the
 * table from one domain alone is seen around. While the table answers, nothing
 * is sent. Out of contact an instance asks as many peers a second as there are
 * failure domains (15 at the size to design for), and is asked as often.
 */
import murmurhash from 'murmurhash';
import {waitFor, type Clock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {WitnessAnswer} from '../keys/confidence.js';
import type {Change} from './changes.js';
import type {Configuration} from './configuration.js';
import type {PeerUpdate} from './configuration_router.js';

/** A turn waits no longer than this for its witnesses, in ms. */
const WITNESS_PATIENCE_MS = 400;

/** Asks one peer; rejects when it gives no answer in time. */
export type FetchFromPeer = (
  peer: ListedInstance,
  request: {after: number; skip: number},
) => Promise<PeerUpdate>;

/** What it works with. */
export interface PeerSyncDependencies {
  clock: Clock;
  /** Name of this instance: each begins with other witnesses. */
  self: string;
  /** Failure domain of this instance. */
  failureDomain: string;
  configuration: Configuration;
  /** Other entry instances of the platform's list, suspected ones included. */
  listPeers(): ListedInstance[];
  /** Whether heartbeats have found a peer silent. */
  isSuspected(name: string): boolean;
  fetchFromPeer: FetchFromPeer;
}

/** The way to the table through peers. */
export interface PeerSync extends StateSource {
  /** Asks the witnesses unless the table answers here. */
  poll(): Promise<void>;
  /**
   * The table's content is known as of this time, from it or through peers.
   * What a peer relays is dated back to the read it rests on, so that
   * instances without the table cannot confirm each other.
   */
  getConfirmedAt(): number;
  listAnswers(): WitnessAnswer[];
  /** Failure domains whose silence would leave it in doubt. */
  listFailureDomains(): string[];
}

/** Starts without an answer from anyone. */
export function createPeerSync(dependencies: PeerSyncDependencies): PeerSync {
  const {clock, self, failureDomain, configuration} = dependencies;
  const {listPeers, isSuspected, fetchFromPeer} = dependencies;
  const answers = new Map<string, WitnessAnswer>();
  let turn = murmurhash.v3(self);
  let relayedAt = -Infinity;

  /**
   * Suspected peers only where a domain has no other: with a rack lost, turns
   * that fall on the lost ones in a row would leave the domain silent too.
   */
  function listWitnesses(peers: ListedInstance[]): ListedInstance[] {
    const heard = peers.filter(({name}) => !isSuspected(name));
    return heard.length > 0 ? heard : peers;
  }

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

  async function askWitness(domain: string, peer: ListedInstance) {
    const askedAt = clock.now();
    const update = await fetchWhole(peer);
    configuration.importDocuments(update);
    answers.set(domain, {failureDomain: domain, askedAt});
    if (update.confirmedMsAgo === null) return;
    relayedAt = Math.max(relayedAt, askedAt - update.confirmedMsAgo);
  }

  /**
   * The witnesses of a domain take turns: if one reads the table and another
   * does not, it is found within as many seconds, or through one that asked it.
   * One that has just died answers nothing until its call times out; waiting
   * for that would make its domain silent for longer than
   * CONFIRMATION_LIMIT_MS, and an outage for all look like a cut.
   */
  async function askDomain(domain: string, peers: ListedInstance[]) {
    const asked = askWitness(domain, peers[turn % peers.length]);
    // Silence is the finding: the domain's last answer grows old.
    const settled = asked.catch(() => {});
    await Promise.race([settled, waitFor(clock, WITNESS_PATIENCE_MS)]);
  }

  /**
   * Its own poll already tells what its own domain sees. Were others of that
   * domain needed too, the only neighbour of a lost instance would be in doubt
   * until the list forgot the lost one.
   */
  function listFailureDomains(): string[] {
    const domains = [...listByDomain().keys()];
    const others = domains.filter(domain => domain !== failureDomain);
    return others.length > 0 ? others : domains;
  }

  function getConfirmedAt(): number {
    return Math.max(configuration.getStoreConfirmedAt(), relayedAt);
  }

  return {
    async poll() {
      if (configuration.isStoreReachable(clock.now())) return;
      turn++;
      const domains = [...listByDomain()];
      await Promise.all(
        domains.map(([name, peers]) => askDomain(name, listWitnesses(peers))),
      );
    },
    getConfirmedAt,
    listAnswers: () => [...answers.values()],
    listFailureDomains,
    describeState: () => ({
      confirmedMsAgo: Math.round(clock.now() - getConfirmedAt()),
      answers: [...answers.values()].map(({failureDomain, askedAt}) => ({
        failureDomain,
        askedMsAgo: Math.round(clock.now() - askedAt),
      })),
    }),
  };
}
