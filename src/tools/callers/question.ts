/** One online question as a caller asks it, and what the caller gets. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import {VERDICT_HEADER} from '../../instance/callers/constants.js';
import {sendThrough, type Balancer} from './balancer.js';

/** How a question ended for its caller. */
export type QuestionOutcome =
  /** The whole answer came. */
  | 'answered'
  /** 429: over the rate. */
  | 'limited'
  /** 503 or 504 with the verdict not-run. */
  | 'refused'
  /** 401: the key is not valid. */
  | 'unauthorized'
  /** An error after it may have run, also as the last event of a stream. */
  | 'failed'
  /** The connection broke: the instance was lost. */
  | 'broken';

/** What the caller got. Times in ms since `askedAt`. */
export interface QuestionResult {
  outcome: QuestionOutcome;
  firstTokenMs: number | undefined;
  totalMs: number;
  text: string;
  detail: string;
}

/** What a caller asks. */
export interface Question {
  key: string;
  model: string;
  prompt: string;
  maxTokens: number;
  /** When it meant to ask: waiting to be sent counts as waiting. */
  askedAt: number;
  /** Called with each piece of the answer. */
  onPiece?: (piece: string) => void;
}

interface Reading {
  text: string;
  firstTokenAt: number | undefined;
  ended: boolean;
  error: string | undefined;
}

const OUTCOME_BY_STATUS: Record<number, QuestionOutcome> = {
  401: 'unauthorized',
  429: 'limited',
};

/** Asks through the balancer; never throws. */
export async function askQuestion(
  balancer: Balancer,
  question: Question,
  now: () => number,
): Promise<QuestionResult> {
  const reading: Reading = {
    text: '',
    firstTokenAt: undefined,
    ended: false,
    error: undefined,
  };
  function finish(outcome: QuestionOutcome, detail = ''): QuestionResult {
    const {firstTokenAt, text} = reading;
    return {
      outcome,
      firstTokenMs: firstTokenAt && firstTokenAt - question.askedAt,
      totalMs: now() - question.askedAt,
      text,
      detail,
    };
  }
  try {
    const answer = await sendQuestion(balancer, question, now);
    if (answer.statusCode !== 200) {
      const body = await answer.body.text();
      return finish(findOutcome(answer), describeError(body));
    }
    await readStream(answer.body, reading, question, now);
    if (reading.ended) return finish('answered');
    return reading.error
      ? finish('failed', describeError(reading.error))
      : finish('broken', 'the answer ended early');
  } catch (error) {
    return finish('broken', (error as Error).message);
  }
}

/** Code, message and verdict of an error answer. */
function describeError(body: string): string {
  try {
    const {code, message, verdict} = JSON.parse(body).error;
    return `${code} (${verdict}): ${message}`;
  } catch {
    return body;
  }
}

function findOutcome(answer: Dispatcher.ResponseData): QuestionOutcome {
  const known = OUTCOME_BY_STATUS[answer.statusCode];
  if (known) return known;
  return answer.headers[VERDICT_HEADER] === 'not-run' ? 'refused' : 'failed';
}

function sendQuestion(
  balancer: Balancer,
  question: Question,
  now: () => number,
): Promise<Dispatcher.ResponseData> {
  const body = JSON.stringify({
    model: question.model,
    stream: true,
    max_tokens: question.maxTokens,
    messages: [{role: 'user', content: question.prompt}],
  });
  return sendThrough(balancer, now, address =>
    request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${question.key}`,
        'content-type': 'application/json',
      },
      body,
    }),
  );
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  reading: Reading,
  question: Question,
  now: () => number,
) {
  const parser = createParser({
    onEvent: event => readEvent(event, reading, question, now),
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
}

function readEvent(
  event: EventSourceMessage,
  reading: Reading,
  question: Question,
  now: () => number,
) {
  if (event.event === 'error') {
    reading.error = event.data;
    return;
  }
  if (event.data === '[DONE]') {
    reading.ended = true;
    return;
  }
  reading.firstTokenAt ??= now();
  const piece = JSON.parse(event.data).choices[0]?.delta?.content ?? '';
  reading.text += piece;
  question.onPiece?.(piece);
}
