/** Serves a completion on the engine stand-in and injects its fault, if any. */
import type {ServerResponse} from 'node:http';
import {computeRequestPrefixes} from '../../common/prompt_prefix.js';
import type {EngineFault} from './engine_options.js';
import {
  ENGINE_NOT_ADMITTED,
  ENGINE_REQUEST_ID,
  ENGINE_RESUME_OFFSET,
} from './engine_protocol.js';
import type {EngineExchange} from './engine_routes.js';
import type {EngineState} from './engine_server.js';
import type {EngineStream} from './engine_streams.js';

const OTHER_REQUEST_ID = 'req-of-somebody-else';

/** Starts or resumes a stream and sends it. */
export function serveCompletion(
  exchange: EngineExchange,
  state: EngineState,
): void {
  const {streams, counts, options} = state;
  const fault = state.faults.take();
  if (fault?.kind === 'refuse' || streams.countWaiting() > options.maxWaiting) {
    counts.refused++;
    return refuseRequest(exchange.response);
  }
  const prompt = readPrompt(exchange.body);
  const {endsOnPrompt, endsOnPromptPart} = options;
  const endsOnPart =
    endsOnPromptPart !== null && prompt.startsWith(endsOnPromptPart);
  if (prompt === endsOnPrompt || endsOnPart) return state.halt();
  if (fault?.kind === 'fail') {
    counts.started++;
    exchange.response.writeHead(500).end('{"error":"out of memory"}');
    return;
  }
  const id = String(exchange.request.headers[ENGINE_REQUEST_ID]);
  const offset = Number(exchange.request.headers[ENGINE_RESUME_OFFSET] ?? 0);
  const existing = offset > 0 ? streams.find(id) : undefined;
  if (existing) counts.resumed++;
  else counts.started++;
  const stream = existing ?? startStream(exchange, state, id);
  const delayMs = fault?.kind === 'late' ? fault.delayMs : 0;
  setTimeout(
    () => sendStream(exchange, state, stream, existing ? offset : 0, fault),
    delayMs,
  );
}

function refuseRequest(response: ServerResponse) {
  response.writeHead(503, {[ENGINE_NOT_ADMITTED]: 'true', 'retry-after': '1'});
  response.end('{"error":"queue full"}');
}

function readPrompt(body: Buffer): string {
  const {messages, prompt} = JSON.parse(body.toString());
  return String(messages?.at(-1)?.content ?? prompt ?? '');
}

function startStream(
  {url, body}: EngineExchange,
  {options, cache, streams}: EngineState,
  id: string,
): EngineStream {
  const {model, messages, prompt} = JSON.parse(body.toString());
  const text = readPrompt(body);
  const hashes = computeRequestPrefixes({model, messages, prompt});
  const cached = cache.touch(hashes);
  const uncachedShare =
    hashes.length === 0 ? 1 : 1 - cached / (hashes.length + 1);
  return streams.start(
    {id, model, path: url.pathname, prompt: text},
    options.firstTokenMs * uncachedShare,
  );
}

/** Injects a fault after `afterTokens` tokens were sent. */
type FaultHandler = (
  response: ServerResponse,
  stream: EngineStream,
  state: EngineState,
) => void;

const FAULT_HANDLERS: Partial<Record<EngineFault['kind'], FaultHandler>> = {
  die(response, stream, {streams}) {
    streams.remove(stream.request.id);
    response.destroy();
  },
  cut: response => void response.destroy(),
  reset(response, stream, {streams}) {
    streams.remove(stream.request.id);
    response.socket?.resetAndDestroy();
  },
  silent() {},
  truncate: response => void response.end(),
  'cross-chunk'(response, stream) {
    const chunk = {...stream.chunks.at(-1), id: OTHER_REQUEST_ID};
    response.write(formatEvent(stream.chunks.length - 1, chunk));
  },
  malformed: (response, stream) =>
    void response.write(
      `id: ${stream.chunks.length - 1}\ndata: {"id": "${stream.request.id}\n\n`,
    ),
  skip() {},
};

/** Faults after which the engine continues to send. */
const NON_FATAL_FAULTS = new Set<string>(['cross-chunk', 'malformed', 'skip']);

function sendStream(
  {response}: EngineExchange,
  state: EngineState,
  stream: EngineStream,
  offset: number,
  fault: EngineFault | undefined,
) {
  const injectFault = fault && FAULT_HANDLERS[fault.kind];
  let sent = 0;
  let isStopped = false;
  response.on('close', () => state.streams.detach(stream));

  /** Injects the fault if it is due; returns whether to drop the token. */
  function applyFault(): boolean {
    if (isStopped) return true;
    if (!fault || !injectFault || sent !== fault.afterTokens) return false;
    sent++;
    injectFault(response, stream, state);
    isStopped = !NON_FATAL_FAULTS.has(fault.kind);
    return true;
  }

  function sendHeaders() {
    if (response.headersSent) return;
    const id =
      fault?.kind === 'cross-head' ? OTHER_REQUEST_ID : stream.request.id;
    const {framing} = state.options;
    if (framing === 'connection') response.removeHeader('transfer-encoding');
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      [ENGINE_REQUEST_ID]: id,
      ...(offset > 0 ? {[ENGINE_RESUME_OFFSET]: String(offset)} : {}),
    });
    response.flushHeaders();
  }

  if (state.options.headAtOnce) sendHeaders();
  state.streams.attach(stream, offset, {
    handleToken(at, chunk) {
      if (applyFault()) return;
      sendHeaders();
      response.write(formatEvent(at, chunk));
      sent++;
    },
    handleEnd() {
      if (applyFault()) return false;
      sendHeaders();
      response.end('data: [DONE]\n\n');
      return true;
    },
  });
}

function formatEvent(offset: number, chunk: object): string {
  return `id: ${offset}\ndata: ${JSON.stringify(chunk)}\n\n`;
}
