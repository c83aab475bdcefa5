/**
 * Which endpoint a request runs on, and when. A slot is the leave to have one
 * request running on one endpoint; it is given back when the request ends.
 */
import type {ListedInstance} from '../../platform/instance_list.js';
import {RouterError} from '../../common/errors.js';
import type {Members} from '../members/members.js';
import type {VersionedDocument} from '../configuration/configuration.js';

/** Online requests go before batch items in every queue. */
export type WorkClass = 'online' | 'batch';

/** What a dispatcher needs to know of a request. */
export interface SlotRequest {
  requestId: string;
  service: VersionedDocument;
  account: string;
  workClass: WorkClass;
  model: string;
  /** Monotonic time after which the answer is of no use. */
  deadline: number;
  /** Rough size of the prompt and of the answer, in tokens. */
  promptTokens: number;
  answerTokens: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: readonly string[];
  /** Endpoints that failed this request before. */
  avoid: readonly string[];
  /** Ends the wait when the caller is gone. */
  signal: AbortSignal;
}

/** How the request on a slot went, as seen by the instance that sent it. */
export interface SlotOutcome {
  kind: 'answered' | 'failed' | 'silent' | 'cancelled' | 'yielded';
  /** Time to the first byte, when there was one. */
  firstByteMs?: number;
  /** Time from sending to the end. */
  totalMs?: number;
  /** Tokens received. */
  tokens: number;
}

/** Leave to run one request on one endpoint. */
export interface Slot {
  endpoint: ListedInstance;
  /** Aborted when the dispatcher wants a batch item to make way. */
  yieldSignal: AbortSignal;
  /** Called once, when the request has ended there. */
  release(outcome: SlotOutcome): void;
}

/** Gives out slots. */
export interface Dispatch {
  /** Throws RouterError with verdict not-run when no slot can be had in time. */
  acquireSlot(request: SlotRequest): Promise<Slot>;
}

/** Decides on this instance alone: least requests outstanding. */
export function createLocalDispatch(members: Members): Dispatch {
  const outstanding = new Map<string, number>();

  function countAt(endpoint: ListedInstance): number {
    return outstanding.get(endpoint.address) ?? 0;
  }

  return {
    async acquireSlot(request) {
      const {service, endpoint: limits} = request.service.document;
      const candidates = members
        .listEndpoints(service.name)
        .filter(endpoint => !request.avoid.includes(endpoint.address))
        .filter(endpoint => countAt(endpoint) < limits.max_concurrency)
        .sort((a, b) => countAt(a) - countAt(b));
      const endpoint = candidates[0];
      if (!endpoint) {
        throw new RouterError('no_endpoint', 'no endpoint is free', {
          verdict: 'not-run',
          retryAfterMs: 1000,
        });
      }
      outstanding.set(endpoint.address, countAt(endpoint) + 1);
      return {
        endpoint,
        yieldSignal: new AbortController().signal,
        release: () => {
          outstanding.set(endpoint.address, countAt(endpoint) - 1);
        },
      };
    },
  };
}
