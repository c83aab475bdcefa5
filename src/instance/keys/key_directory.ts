/**
 * Client account keys, held only as hashes. A key is looked up on each request
 * and once more when a queued request is about to run, so that a withdrawn key
 * stops working on connections that are already open.
 */
import {hashText} from '../../common/ids.js';
import type {StateSource} from '../../common/state_dump.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Confidence} from './confidence.js';

export {giveKey, withdrawKey, listKeys} from './key_admin.js';

/** Whose key it is. The hash identifies the key in later checks. */
export interface KeyOwner {
  account: string;
  keyId: string;
  keyHash: string;
}

/** What the directory says of a key. */
export type KeyVerdict =
  | {kind: 'valid'; owner: KeyOwner}
  | {kind: 'unknown'}
  /** This instance cannot tell whether the key was withdrawn. */
  | {kind: 'isolated'};

/** The keys in force here. */
export interface KeyDirectory extends StateSource {
  /** Looks up the secret a caller presented. */
  authenticate(secret: string, now: number): KeyVerdict;
  /**
   * Looks up a key that was valid before, for a request to `service`. Without
   * a service, doubt serves if any service of the account serves in doubt.
   */
  check(keyHash: string, now: number, service?: string): KeyVerdict;
  /** Why this instance should get no callers; undefined when it should. */
  describeUnready(now: number): string | undefined;
}

/** Decides by how sure the instance is; see confidence.ts. */
export type ConfidenceSource = (now: number) => Confidence;

/** Looks keys up in `configuration`. */
export function createKeyDirectory(
  configuration: Configuration,
  getConfidence: ConfidenceSource = () => 'confirmed',
): KeyDirectory {
  function isServedInDoubt(account: string, service?: string): boolean {
    return configuration
      .list()
      .map(({document}) => document)
      .filter(document => account in document.account)
      .filter(
        document =>
          (service ?? document.service.name) === document.service.name,
      )
      .some(document => document.isolation.doubt === 'serve');
  }

  const isServed: Record<
    Confidence,
    (account: string, service?: string) => boolean
  > = {
    confirmed: () => true,
    outage: () => true,
    doubt: isServedInDoubt,
    isolated: () => false,
  };

  function check(keyHash: string, now: number, service?: string): KeyVerdict {
    const key = configuration.findKey(keyHash);
    const confidence = getConfidence(now);
    if (!key) {
      // It may have been given where this instance cannot see.
      return {kind: confidence === 'confirmed' ? 'unknown' : 'isolated'};
    }
    if (key.state === 'withdrawn') return {kind: 'unknown'};
    const {account, keyId} = key;
    if (!isServed[confidence](account, service)) return {kind: 'isolated'};
    return {kind: 'valid', owner: {account, keyId, keyHash}};
  }

  /** In doubt an instance is of use if some service serves in doubt. */
  function isUseful(confidence: Confidence): boolean {
    if (confidence !== 'doubt') return confidence !== 'isolated';
    return configuration
      .list()
      .some(({document}) => document.isolation.doubt === 'serve');
  }

  return {
    authenticate: (secret, now) => check(hashText(secret), now),
    check,
    describeUnready(now) {
      const confidence = getConfidence(now);
      if (isUseful(confidence)) return undefined;
      return `${confidence}: cannot confirm which keys are withdrawn`;
    },
    describeState: () => ({}),
  };
}
