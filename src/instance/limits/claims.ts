/**
 * Makes sure that the buckets declared by documents have a holder.
 *
 * Without this, the first request of an account that was not used lately can
 * fall into an outage of the store. No instance holds its bucket then, and none
 * can acquire it, so that the account is refused until the outage ends.
 *
 * Therefore the instance that ranks first for a bucket acquires it in advance,
 * unless another instance holds it. An unused bucket costs its holder some
 * memory and no messages.
 */
import {chooseByRendezvous} from '../../decisions/instance_ranking.js';
import type {VersionedDocument} from '../configuration/configuration.js';
import type {Members} from '../members/members.js';
import {
  CLAIM_LIFETIME_MS,
  CLAIM_SCAN_INTERVAL_MS,
  CLAIMS_PER_ROUND,
} from './constants.js';
import type {Holder} from './holder.js';
import type {DeclaredBucket} from './limits.js';

/** Checks the declared buckets in turn. */
export interface Claims {
  /** Checks the next few buckets for which this instance ranks first. */
  acquireNext(buckets: readonly DeclaredBucket[], now: number): Promise<void>;
}

/** Creates claims with no bucket checked yet. */
export function createClaims(members: Members, holder: Holder): Claims {
  const checkedAt = new Map<string, number>();
  let due: DeclaredBucket[] = [];
  let scanAt = -Infinity;

  function isDue(bucket: string, now: number): boolean {
    const at = checkedAt.get(bucket) ?? -Infinity;
    if (now - at < CLAIM_LIFETIME_MS) return false;
    const first = chooseByRendezvous(bucket, members.listLive());
    return first?.name === members.self.name;
  }

  /** Ranks every declared bucket, which is too much work for each round. */
  function updateDue(buckets: readonly DeclaredBucket[], now: number) {
    if (now < scanAt) return;
    scanAt = now + CLAIM_SCAN_INTERVAL_MS;
    due = buckets.filter(({bucket}) => isDue(bucket, now));
  }

  return {
    async acquireNext(buckets, now) {
      updateDue(buckets, now);
      for (const {bucket, limits} of due.splice(0, CLAIMS_PER_ROUND)) {
        const isHeld = await holder.ensureHeld(bucket, limits);
        if (isHeld) checkedAt.set(bucket, now);
      }
    },
  };
}

/** Lists one bucket for each account of each document. */
export function listDeclaredBuckets(
  documents: readonly VersionedDocument[],
): DeclaredBucket[] {
  return documents.flatMap(({version, document}) =>
    Object.entries(document.account).map(([account, {rate, burst}]) => ({
      bucket: `${document.service.name}/${account}`,
      limits: {version, rate, burst},
    })),
  );
}
