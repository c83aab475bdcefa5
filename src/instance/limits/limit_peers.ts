/** Calls to other instances about rates, each with its timeout. */
import type {PeerClients} from '../peers/peer_client.js';
import {CONTROL_TIMEOUT_MS, DRAW_TIMEOUT_MS} from './constants.js';
import type {
  DrawInput,
  DrawReply,
  HandOverInput,
  RenewInput,
  RenewReply,
  SettleInput,
  VoteInput,
  VoteReply,
} from './limit_messages.js';
import type {LimitProcedures} from './limits_router.js';

/** Calls to peers. They reject when the peer does not respond in time. */
export interface LimitPeers {
  draw(address: string, input: DrawInput): Promise<DrawReply>;
  settle(address: string, input: SettleInput): Promise<void>;
  renew(address: string, input: RenewInput): Promise<RenewReply>;
  vote(address: string, input: VoteInput): Promise<VoteReply>;
  handOver(address: string, input: HandOverInput): Promise<{accepted: boolean}>;
}

const DRAW_OPTIONS = {context: {timeoutMs: DRAW_TIMEOUT_MS}};
const CONTROL_OPTIONS = {context: {timeoutMs: CONTROL_TIMEOUT_MS}};

/** Creates calls over the peers' connections; calls to itself are local. */
export function createLimitPeers(
  peers: Pick<PeerClients, 'get'>,
  getSelfAddress: () => string,
  local: LimitProcedures,
): LimitPeers {
  function isSelf(address: string): boolean {
    return address === getSelfAddress();
  }

  return {
    draw: async (address, input) =>
      isSelf(address)
        ? local.draw(input)
        : peers.get(address).limits.draw.mutate(input, DRAW_OPTIONS),
    settle: async (address, input) =>
      isSelf(address)
        ? local.settle(input)
        : peers.get(address).limits.settle.mutate(input, CONTROL_OPTIONS),
    renew: async (address, input) =>
      peers.get(address).limits.renew.mutate(input, CONTROL_OPTIONS),
    vote: async (address, input) =>
      peers.get(address).limits.vote.mutate(input, CONTROL_OPTIONS),
    handOver: async (address, input) =>
      peers.get(address).limits.handOver.mutate(input, CONTROL_OPTIONS),
  };
}
