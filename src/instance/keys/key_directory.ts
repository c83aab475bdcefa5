/**
 * The keys of client accounts, stored only as hashes. A key is looked up on
 * each request, and again when a queued request is about to run, so that a
 * withdrawn key stops working on connections that are already open.
 */
import {hashText} from '../../common/ids.js';
import type {StateSource} from '../../common/state_dump.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Confidence} from './confidence.js';

export {giveKey, withdrawKey, listKeys} from './key_admin.js';

/** The owner of a key. The hash identifies the key in later checks. */
export interface KeyOwner {
  account: string;
  keyId: string;
  keyHash: string;
}

/** Result of looking up a key. */
export type KeyVerdict =
  | {kind: 'valid'; owner: KeyOwner}
  | {kind: 'unknown'}
  /** This instance cannot tell whether the key was withdrawn. */
  | {kind: 'isolated'};

/** The active keys on this instance. */
export interface KeyDirectory extends StateSource {
  /** Looks up the key that a caller sent. */
  authenticate(secret: string, now: number): KeyVerdict;
  /**
   * Looks up a key that was valid before, for a request to `service`. If no
   * service is given, the key is accepted in doubt if any service of the
   * account serves in doubt.
   */
  check(keyHash: string, now: number, service?: string): KeyVerdict;
  /** Why this instance should not receive callers; undefined if it should. */
  describeUnready(now: number): string | undefined;
}

/** Returns how sure the instance is about withdrawn keys; see confidence.ts. */
export type ConfidenceSource = (now: number) => Confidence;

/** Creates a directory that looks up keys in `configuration`. */
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
      // The key may have been given while this instance could not read the
      // table.
      return {kind: confidence === 'confirmed' ? 'unknown' : 'isolated'};
    }
    if (key.state === 'withdrawn') return {kind: 'unknown'};
    const {account, keyId} = key;
    if (!isServed[confidence](account, service)) return {kind: 'isolated'};
    return {kind: 'valid', owner: {account, keyId, keyHash}};
  }

  /** In doubt, an instance is still useful if some service serves in doubt. */
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
