/**
 * Messages on a connection between two instances: JSON in text frames, in the format of
 * tRPC's WebSocket adapters, without subscriptions. Instances of an earlier version use
 * those adapters.
 */

/** A call of a procedure. */
export interface CallMessage {
  id: number;
  method: 'query' | 'mutation';
  params: {path: string; input: unknown};
  /**
   * Whether no response is needed. Instances of an earlier version respond all the
   * same, and the response is ignored.
   */
  isNotice?: true;
}

/** The response to a call. */
export type ResponseMessage =
  | {id: number; result: {type: 'data'; data?: unknown}}
  | {id: number | null; error: {code: number; message: string; data: unknown}};

/** Text frames by which a client checks that the connection is alive. */
export const PING_FRAME = 'PING';
export const PONG_FRAME = 'PONG';
