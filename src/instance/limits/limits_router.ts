/** Procedures about rates that other instances call. */
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {
  drawSchema,
  handOverSchema,
  renewSchema,
  settleSchema,
  voteSchema,
  type DrawInput,
  type DrawReply,
  type HandOverInput,
  type RenewInput,
  type RenewReply,
  type SettleInput,
  type VoteInput,
  type VoteReply,
} from './limit_messages.js';

/** The operations of limits that peers may call. */
export interface LimitProcedures {
  draw(input: DrawInput): Promise<DrawReply>;
  settle(input: SettleInput): void;
  renew(input: RenewInput): RenewReply;
  vote(input: VoteInput): VoteReply;
  handOver(input: HandOverInput): {accepted: boolean};
}

/** Builds one procedure for each operation. */
export function buildLimitsRouter(limits: LimitProcedures) {
  return buildPeerRouterOf({
    draw: peerProcedure
      .input(drawSchema)
      .mutation(({input}) => limits.draw(input)),
    settle: peerProcedure
      .input(settleSchema)
      .mutation(({input}) => limits.settle(input)),
    renew: peerProcedure
      .input(renewSchema)
      .mutation(({input}) => limits.renew(input)),
    vote: peerProcedure
      .input(voteSchema)
      .mutation(({input}) => limits.vote(input)),
    handOver: peerProcedure
      .input(handOverSchema)
      .mutation(({input}) => limits.handOver(input)),
  });
}
