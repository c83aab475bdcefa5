/** Sends one online request as a caller does, and reports what the caller gets. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import {VERDICT_HEADER} from '../../instance/callers/constants.js';
import {sendThrough, type Balancer} from './balancer.js';

/** How a request ended for its caller. */
export type RequestOutcome =
  /** The complete response arrived. */
  | 'answered'
  /** 429: over the account's rate. */
  | 'limited'
  /** 503 or 504 with the verdict not-run. */
  | 'refused'
  /** 401: the key is not valid. */
  | 'unauthorized'
  /** An error after the request may have run, also as the last event of a stream. */
  | 'failed'
  /** The connection failed or the stream ended early: the instance was lost. */
  | 'broken';

/** What the caller got. Times in ms since `intendedAt`. */
export interface RequestResult {
  outcome: RequestOutcome;
  firstTokenMs: number | undefined;
  totalMs: number;
  text: string;
  detail: string;
}

/** A request of a caller. */
export interface OnlineRequest {
  key: string;
  model: string;
  prompt: string;
  maxTokens: number;
  /** When the request was due to be sent; a delay before sending counts as latency. */
  intendedAt: number;
  /** Called with each piece of the response. */
  onPiece?: (piece: string) => void;
}

interface StreamState {
  text: string;
  firstTokenAt: number | undefined;
  ended: boolean;
  error: string | undefined;
}

const OUTCOME_BY_STATUS: Record<number, RequestOutcome> = {
  401: 'unauthorized',
  429: 'limited',
};

/** Sends a request through the balancer; never rejects. */
export async function sendOnlineRequest(
  balancer: Balancer,
  onlineRequest: OnlineRequest,
  now: () => number,
): Promise<RequestResult> {
  const streamState: StreamState = {
    text: '',
    firstTokenAt: undefined,
    ended: false,
    error: undefined,
  };
  function finish(outcome: RequestOutcome, detail = ''): RequestResult {
    const {firstTokenAt, text} = streamState;
    return {
      outcome,
      firstTokenMs: firstTokenAt && firstTokenAt - onlineRequest.intendedAt,
      totalMs: now() - onlineRequest.intendedAt,
      text,
      detail,
    };
  }
  try {
    const answer = await sendToInstance(balancer, onlineRequest, now);
    if (answer.statusCode !== 200) {
      const body = await answer.body.text();
      return finish(findOutcome(answer), describeError(body));
    }
    await readStream(answer.body, streamState, onlineRequest, now);
    if (streamState.ended) return finish('answered');
    return streamState.error
      ? finish('failed', describeError(streamState.error))
      : finish('broken', 'the stream ended before [DONE]');
  } catch (error) {
    return finish('broken', (error as Error).message);
  }
}

/** Formats code, verdict and message of an error response. */
function describeError(body: string): string {
  try {
    const {code, message, verdict} = JSON.parse(body).error;
    return `${code} (${verdict}): ${message}`;
  } catch {
    return body;
  }
}

function findOutcome(answer: Dispatcher.ResponseData): RequestOutcome {
  const known = OUTCOME_BY_STATUS[answer.statusCode];
  if (known) return known;
  return answer.headers[VERDICT_HEADER] === 'not-run' ? 'refused' : 'failed';
}

function sendToInstance(
  balancer: Balancer,
  onlineRequest: OnlineRequest,
  now: () => number,
): Promise<Dispatcher.ResponseData> {
  const body = JSON.stringify({
    model: onlineRequest.model,
    stream: true,
    max_tokens: onlineRequest.maxTokens,
    messages: [{role: 'user', content: onlineRequest.prompt}],
  });
  return sendThrough(balancer, now, address =>
    request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${onlineRequest.key}`,
        'content-type': 'application/json',
      },
      body,
    }),
  );
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  streamState: StreamState,
  onlineRequest: OnlineRequest,
  now: () => number,
) {
  const parser = createParser({
    onEvent: event => handleEvent(event, streamState, onlineRequest, now),
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
}

function handleEvent(
  event: EventSourceMessage,
  streamState: StreamState,
  onlineRequest: OnlineRequest,
  now: () => number,
) {
  if (event.event === 'error') {
    streamState.error = event.data;
    return;
  }
  if (event.data === '[DONE]') {
    streamState.ended = true;
    return;
  }
  streamState.firstTokenAt ??= now();
  const piece = JSON.parse(event.data).choices[0]?.delta?.content ?? '';
  streamState.text += piece;
  onlineRequest.onPiece?.(piece);
}
