/**
 * A plain service stand-in. It counts the calls that it ran, and can lose
 * responses, refuse before admission, stay silent or be slow. Its response names
 * the call and how often it ran.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {listenServer} from '../../common/listen.js';
import {ENGINE_NOT_ADMITTED} from '../engine/engine_protocol.js';

/**
 * A fault of one call:
 * - `refuse`: the call is refused before admission, as documented
 * - `lose-answer`: the call runs, then the connection is reset
 * - `silent`: the call runs, but nothing is sent on the open connection
 * - `fail`: the call runs, then the response has status 500
 * - `unframed`: the call runs, and the response has neither a length nor chunks
 * - `reset`: as `unframed`, but the connection is reset with the start of the body
 */
export type ServiceFault =
  'refuse' | 'lose-answer' | 'silent' | 'fail' | 'unframed' | 'reset';

/** A running stand-in. */
export interface ServiceServer {
  address: string;
  /** Faults of the next calls; each call takes one. */
  faults: ServiceFault[];
  /** Calls that ran, such as `POST /visits {"drum":17}`. */
  calls: string[];
  /** Headers and bodies of all requests, so that tests can search for leaks. */
  received: string[];
  /** Called after a call ran and before its response is sent. */
  onCall: (call: string) => void | Promise<void>;
  stop(): Promise<void>;
}

type FaultHandler = (response: ServerResponse, body: string) => void;

/** Injects a fault after the call ran; `body` is that of its response. */
const FAULT_HANDLERS: Record<Exclude<ServiceFault, 'refuse'>, FaultHandler> = {
  'lose-answer': response => void response.destroy(),
  silent() {},
  fail: response => void response.writeHead(500).end('{"error":"failed"}'),
  unframed(response, body) {
    response.removeHeader('transfer-encoding');
    response.writeHead(200);
    response.write(body);
    response.end();
  },
  reset(response, body) {
    const {socket} = response;
    response.removeHeader('transfer-encoding');
    response.writeHead(200);
    response.write(body.slice(0, -1), () => socket?.resetAndDestroy());
  },
};

/** Starts the service on loopback; port 0 picks a free port. */
export async function startServiceServer(port = 0): Promise<ServiceServer> {
  const server = createServer((request, response) => {
    void serveCall(request, response, state).catch(() => response.destroy());
  });
  const address = await listenServer(server, 'service', '127.0.0.1', port);
  const state: ServiceServer = {
    address,
    faults: [],
    calls: [],
    received: [],
    onCall: () => {},
    async stop() {
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
  return state;
}

async function serveCall(
  request: IncomingMessage,
  response: ServerResponse,
  state: ServiceServer,
) {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const body = Buffer.concat(parts).toString();
  state.received.push(`${request.rawHeaders.join('\n')}\n${body}`);
  const fault = state.faults.shift();
  if (fault === 'refuse') {
    response.writeHead(503, {[ENGINE_NOT_ADMITTED]: 'true'}).end();
    return;
  }
  const call = `${request.method} ${request.url} ${body}`.trim();
  state.calls.push(call);
  await state.onCall(call);
  const count = state.calls.filter(other => other === call).length;
  const answer = JSON.stringify({call, count});
  if (fault) return FAULT_HANDLERS[fault](response, answer);
  response.writeHead(200, {
    'content-type': 'application/json',
    'x-request-id': String(request.headers['x-request-id']),
  });
  response.end(answer);
}
