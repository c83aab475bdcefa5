/**
 * Fetches configuration and keys from peers while the table does not answer
 * this instance. It asks one witness in each failure domain, so that a fault
 * which hides the table from a single domain is bypassed. While the table
 * answers, nothing is sent. Without the table, an instance sends as many
 * requests per second as there are failure domains (15 at the design size) and
 * receives as many.
 */
import murmurhash from 'murmurhash';
import {waitFor, type Clock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {WitnessAnswer} from '../keys/confidence.js';
import type {Change} from './changes.js';
import type {Configuration} from './configuration.js';
import type {PeerUpdate} from './configuration_router.js';

/** A poll waits no longer than this for its witnesses, in ms. */
const WITNESS_TIMEOUT_MS = 400;

/**
 * Sends a request to one peer. Rejects if the peer does not respond in time.
 */
export type FetchFromPeer = (
  peer: ListedInstance,
  request: {after: number; skip: number},
) => Promise<PeerUpdate>;

export interface PeerSyncDependencies {
  clock: Clock;
  /** Name of this instance. Different names start with different witnesses. */
  self: string;
  /** Failure domain of this instance. */
  failureDomain: string;
  configuration: Configuration;
  /** Other entry instances of the platform's list, suspected ones included. */
  listPeers(): ListedInstance[];
  /** Whether heartbeats found a peer silent. */
  isSuspected(name: string): boolean;
  fetchFromPeer: FetchFromPeer;
}

/** Access to the table's content through peers. */
export interface PeerSync extends StateSource {
  /** Asks the witnesses, unless the table answers this instance. */
  poll(): Promise<void>;
  /**
   * Time as of which the table's content is known, read from the table or
   * through peers. Content relayed by a peer counts from the read on which it
   * is based, so that instances without the table cannot confirm each other.
   */
  getConfirmedAt(): number;
  listAnswers(): WitnessAnswer[];
  /**
   * Failure domains whose answers are needed. If one of them is silent, the
   * instance is in doubt.
   */
  listFailureDomains(): string[];
}

/** Creates a peer sync that has no answers yet. */
export function createPeerSync(dependencies: PeerSyncDependencies): PeerSync {
  const {clock, self, failureDomain, configuration} = dependencies;
  const {listPeers, isSuspected, fetchFromPeer} = dependencies;
  const answers = new Map<string, WitnessAnswer>();
  let turn = murmurhash.v3(self);
  let relayedAt = -Infinity;

  /**
   * Suspected peers are asked only if a domain has no others. Otherwise, after
   * the loss of a rack, several consecutive turns could fall on lost instances
   * and the domain would count as silent.
   */
  function listWitnesses(peers: ListedInstance[]): ListedInstance[] {
    const unsuspected = peers.filter(({name}) => !isSuspected(name));
    return unsuspected.length > 0 ? unsuspected : peers;
  }

  function listByDomain(): Map<string, ListedInstance[]> {
    const domains = new Map<string, ListedInstance[]>();
    for (const peer of listPeers()) {
      const held = domains.get(peer.failureDomain) ?? [];
      domains.set(peer.failureDomain, [...held, peer]);
    }
    return domains;
  }

  /**
   * A long update comes in parts. If the peer's generation changes between two
   * parts, the fetch fails and the next poll starts again.
   */
  async function fetchAllParts(peer: ListedInstance): Promise<PeerUpdate> {
    const after = configuration.getGeneration();
    const first = await fetchFromPeer(peer, {after, skip: 0});
    const changes: Change[] = [...first.changes];
    for (let skip = first.next; skip !== undefined;) {
      const part = await fetchFromPeer(peer, {after, skip});
      if (part.generation !== first.generation) {
        throw new Error(
          'the peer changed its generation between two parts of an update',
        );
      }
      changes.push(...part.changes);
      skip = part.next;
    }
    return {...first, changes};
  }

  async function fetchFromWitness(domain: string, peer: ListedInstance) {
    const askedAt = clock.now();
    const update = await fetchAllParts(peer);
    configuration.importDocuments(update);
    answers.set(domain, {failureDomain: domain, askedAt});
    if (update.confirmedMsAgo === null) return;
    relayedAt = Math.max(relayedAt, askedAt - update.confirmedMsAgo);
  }

  /**
   * The witnesses of a domain take turns. If one of them reads the table and
   * another does not, the one that does is asked within as many seconds as the
   * domain has witnesses, or its content arrives through a witness that fetched
   * it.
   *
   * A witness that has just died does not answer before the call times out.
   * Waiting for that would make its domain silent for longer than
   * CONFIRMATION_LIMIT_MS, and an outage for all instances would look like a
   * network partition.
   */
  async function fetchFromDomain(domain: string, peers: ListedInstance[]) {
    const fetched = fetchFromWitness(domain, peers[turn % peers.length]);
    // A failure needs no handling: the last answer of the domain grows older.
    const settled = fetched.catch(() => {});
    await Promise.race([settled, waitFor(clock, WITNESS_TIMEOUT_MS)]);
  }

  /**
   * The own domain is left out, because the instance's own poll already shows
   * what that domain sees. If answers from peers of the own domain were needed
   * too, the only neighbour of a lost instance would be in doubt until the list
   * no longer contained the lost one.
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
        domains.map(([name, peers]) =>
          fetchFromDomain(name, listWitnesses(peers)),
        ),
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
