/**
 * Looks after the buckets that documents declare: the instance that ranks first
 * for one makes sure that somebody holds it.
 *
 * Failure it answers: an account that was not used lately asks for the first
 * time in an outage of the store. Symptom: nobody holds its bucket and nobody
 * can, so it is refused until the outage ends. Held ahead, it costs its holder
 * some memory and no message.
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

/** Goes round the declared buckets. */
export interface Claims {
  /** Looks after the next few that this instance ranks first for. */
  acquireNext(buckets: readonly DeclaredBucket[], now: number): Promise<void>;
}

/** Starts with none looked after. */
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

  /** Ranks every declared bucket: too much work for each round. */
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

/** One bucket for each account of each document. */
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
