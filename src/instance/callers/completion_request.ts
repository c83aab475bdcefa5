/** What a caller asks of a completion. */
import * as z from 'zod';
import {RouterError} from '../../common/errors.js';
import type {AnswerLengths} from '../../decisions/answer_length.js';
import {CHARACTERS_PER_TOKEN} from './constants.js';
import {parseJsonObject} from './http_exchange.js';

const tokenLimitSchema = z.number().int().positive().nullish();

const completionSchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().nullish(),
  max_tokens: tokenLimitSchema,
  max_completion_tokens: tokenLimitSchema,
  messages: z.array(z.unknown()).optional(),
  prompt: z.unknown().optional(),
});

/** A checked completion; other members are passed on as they are. */
export type Completion = z.infer<typeof completionSchema>;

/** Throws RouterError naming the member at fault. */
export function parseCompletion(body: Buffer, path: string): Completion {
  const parsed = completionSchema.safeParse(parseJsonObject(body));
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    throw failField(issue.path.join('.'), issue.message);
  }
  const isChat = path.includes('/chat/');
  if (isChat && !parsed.data.messages)
    throw failField('messages', 'is missing');
  if (!isChat && parsed.data.prompt === undefined) {
    throw failField('prompt', 'is missing');
  }
  return parsed.data;
}

function failField(field: string, problem: string): RouterError {
  const message = `${field}: ${problem}`;
  return new RouterError('invalid_request', message, {
    verdict: 'not-run',
    field,
  });
}

/** Engines always stream, so that a broken answer can be resumed. */
export function buildEngineBody(completion: Completion, body: Buffer): Buffer {
  if (completion.stream) return body;
  return Buffer.from(JSON.stringify({...completion, stream: true}));
}

/** Rough sizes of prompt and answer, in tokens. */
export function estimateSizes(
  completion: Completion,
  body: Buffer,
  answerLengths: AnswerLengths,
) {
  const limit = completion.max_completion_tokens ?? completion.max_tokens;
  return {
    promptTokens: Math.ceil(body.length / CHARACTERS_PER_TOKEN),
    answerTokens: answerLengths.estimate(completion.model, limit ?? undefined),
  };
}
