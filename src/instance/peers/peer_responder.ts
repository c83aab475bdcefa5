/** Answers the calls that arrive on a connection of a peer. */
import type {IncomingMessage} from 'node:http';
import {
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  type AnyRouter,
} from '@trpc/server';
import type {WebSocket} from 'ws';
import {
  parseCalls,
  PING_FRAME,
  PONG_FRAME,
  type CallMessage,
  type ResponseMessage,
} from './peer_messages.js';
import type {PeerContext} from './peer_procedures.js';

/** Serves the procedures of `router` on one connection. */
export function serveConnection(
  router: AnyRouter,
  socket: WebSocket,
  request: IncomingMessage,
): void {
  const context: PeerContext = {
    peerName: String(request.headers['x-peer-name'] ?? ''),
    peerIncarnation: String(request.headers['x-peer-incarnation'] ?? ''),
  };

  function respond(response: ResponseMessage) {
    if (socket.readyState === socket.OPEN) {
      socket.send(JSON.stringify(response));
    }
  }

  async function runCall({id, method, params, isNotice}: CallMessage) {
    const {path, input} = params;
    try {
      const data = await callTRPCProcedure({
        router,
        path,
        getRawInput: async () => input,
        ctx: context,
        type: method,
        signal: undefined,
        batchIndex: 0,
      });
      if (!isNotice) respond({id, result: {type: 'data', data}});
    } catch (cause) {
      if (isNotice) return;
      const error = getTRPCErrorFromUnknown(cause);
      const config = router._def._config;
      const shape = {config, error, type: method, path, input, ctx: context};
      respond({id, error: getTRPCErrorShape(shape)});
    }
  }

  // ws closes a socket that violates the protocol. Without a listener, its
  // error event would end the process.
  socket.on('error', () => {});
  socket.on('message', (frame: Buffer) => {
    const text = frame.toString();
    if (text === PING_FRAME) socket.send(PONG_FRAME);
    else for (const call of parseCalls(text)) void runCall(call);
  });
}
