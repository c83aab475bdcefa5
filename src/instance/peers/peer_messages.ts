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

/**
 * Parses one call, or several from an instance of an earlier version, which sends the
 * calls of one turn of its event loop together. Returns none for other messages.
 */
export function parseCalls(text: string): CallMessage[] {
  const message = parseJson(text);
  return (Array.isArray(message) ? message : [message]).filter(isCall);
}

/** Parses a response; undefined for other messages. */
export function parseResponse(text: string): ResponseMessage | undefined {
  const message = parseJson(text);
  return isResponse(message) ? message : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isCall(message: unknown): message is CallMessage {
  if (!isObject(message) || !isObject(message.params)) return false;
  const {id, method, params} = message;
  const isMethod = method === 'query' || method === 'mutation';
  return typeof id === 'number' && isMethod && typeof params.path === 'string';
}

function isResponse(message: unknown): message is ResponseMessage {
  if (!isObject(message)) return false;
  const {id, result, error} = message;
  if (id !== null && typeof id !== 'number') return false;
  return isObject(result) ? id !== null : isObject(error);
}
