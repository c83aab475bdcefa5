/** Limits the rate and burst of each client account across the whole fleet. */
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {BucketLimits} from '../../decisions/rate_bucket.js';
import type {RateRefusal} from '../../decisions/token_queue.js';
import type {TableStore} from '../../stores/table_store.js';
import type {AccountLimits} from '../configuration/service_document.js';
import {
  createLeaseObserver,
  type InstanceLease,
} from '../members/instance_lease.js';
import type {Members} from '../members/members.js';
import type {PeerClients} from '../peers/peer_client.js';
import {createBucketTable} from './bucket_table.js';
import {createClaims} from './claims.js';
import {createHolder} from './holder.js';
import {createLimitPeers} from './limit_peers.js';
import type {LimitProcedures} from './limits_router.js';
import {createOwnView} from './own_view.js';
import {createRateClient} from './rate_client.js';
import {createStandby} from './standby.js';
import {
  countStoreReports,
  isStoreDownForAll,
  isStoreUpForMost,
} from './store_outage.js';

/** Identifies the bucket that a request draws from. */
export interface BucketId {
  service: string;
  account: string;
}

/** Whether a request is within its account's rate. */
export type LimitDecision =
  | {kind: 'granted'}
  | {
      kind: 'refused';
      retryAfterMs: number;
      /** Whether the account is over its rate, or no instance can tell. */
      reason?: RateRefusal;
    };

/** The fleet-wide limits as seen from this instance. */
export interface Limits {
  /**
   * Takes one token, and waits a short, bounded time for it if necessary.
   * `limits` are those of the active document.
   */
  acquire(bucket: BucketId, limits: AccountLimits): Promise<LimitDecision>;
}

/** A bucket that an active document declares. */
export interface DeclaredBucket {
  bucket: string;
  limits: BucketLimits;
}

export interface FleetLimitsDependencies {
  clock: Clock;
  metrics: Metrics;
  table: TableStore;
  members: Members;
  peers: Pick<PeerClients, 'get'>;
  lease: InstanceLease;
  /** Version of a service's document that is active here; 0 when unknown. */
  findVersion(service: string): number;
  /** Lists the buckets of all documents that are active here. */
  listBuckets(): DeclaredBucket[];
  /** Whether this instance's last read of the store succeeded. */
  isStoreReachable(): boolean;
}

/** Fleet-wide limits, with the operations for peers and periodic tasks. */
export interface FleetLimits extends Limits, StateSource {
  /** Procedures that peers call. */
  procedures: LimitProcedures;
  /** Renews what this instance holds; runs every PROMISE_RENEWAL_MS. */
  runRound(): Promise<void>;
  /** Hands held buckets over before the instance stops. */
  shut(): Promise<void>;
}

/** Creates limits with one bucket for each account over the whole fleet. */
export function createFleetLimits({
  clock,
  metrics,
  table,
  members,
  peers,
  lease,
  findVersion,
  listBuckets,
  isStoreReachable,
}: FleetLimitsDependencies): FleetLimits {
  const decisions = metrics.createCounter(
    'limit_decisions_total',
    'Requests that were granted or refused a token, by outcome',
    ['outcome'],
  );
  const getIncarnation = () => lease.incarnation;
  const isSelf = (incarnation: string) => incarnation === lease.incarnation;

  function countReports() {
    const {failureDomain} = members.self;
    const domains = new Set(members.listLive().map(one => one.failureDomain));
    return countStoreReports(
      members.listWitnessReports(),
      domains,
      failureDomain,
      isStoreReachable(),
      clock.now(),
    );
  }

  // This instance calls its own procedures directly, without a connection.
  const local: LimitProcedures = {
    draw: input => holder.draw(input),
    settle: input => holder.settle(input),
    renew: input => holder.renew(input),
    vote: input => holder.vote(input),
    handOver: input => holder.handOver(input),
  };
  const limitPeers = createLimitPeers(peers, () => members.self.address, local);
  const bucketTable = createBucketTable(table);
  const ownView = createOwnView({
    clock,
    members,
    table: bucketTable,
    peers: limitPeers,
    getIncarnation,
  });
  const holder = createHolder({
    clock,
    metrics,
    members,
    table: bucketTable,
    peers: limitPeers,
    standby: createStandby(isSelf),
    ownView,
    observer: createLeaseObserver(table),
    getIncarnation,
    isSelf,
    mayActUntil: until =>
      lease.isHeld(until) || isStoreDownForAll(countReports()),
    isStoreUp: () => isStoreReachable() && isStoreUpForMost(countReports()),
  });
  const client = createRateClient(clock, members, limitPeers);
  const claims = createClaims(members, holder);

  return {
    async acquire({service, account}, {rate, burst}) {
      const limits = {version: findVersion(service), rate, burst};
      const outcome = await client.acquire(`${service}/${account}`, limits);
      const label = outcome.kind === 'granted' ? 'granted' : outcome.reason;
      decisions.inc({outcome: label});
      return outcome;
    },
    procedures: local,
    async runRound() {
      client.expire(clock.now());
      await holder.runRound();
      await claims.acquireNext(listBuckets(), clock.now());
    },
    shut: () => holder.shut(),
    describeState: () => ({
      holder: holder.describe(clock.now()),
      member: client.describe(),
    }),
  };
}

interface Bucket {
  tokens: number;
  filledAt: number;
}

/** Creates limits with one bucket for each account on this instance only. */
export function createLocalLimits(clock: Clock): Limits {
  const buckets = new Map<string, Bucket>();

  return {
    async acquire({service, account}, limits) {
      const now = clock.now();
      const id = `${service}/${account}`;
      const bucket = buckets.get(id) ?? {tokens: limits.burst, filledAt: now};
      const earned = ((now - bucket.filledAt) / 1000) * limits.rate;
      const tokens = Math.min(limits.burst, bucket.tokens + earned);
      const granted = tokens >= 1;
      buckets.set(id, {tokens: granted ? tokens - 1 : tokens, filledAt: now});
      if (granted) return {kind: 'granted'};
      return {
        kind: 'refused',
        retryAfterMs: ((1 - tokens) / limits.rate) * 1000,
      };
    },
  };
}
