/** Parses the body of a completion request. */
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

/** A validated completion request; unknown members are forwarded unchanged. */
export type Completion = z.infer<typeof completionSchema>;

/**
 * Parses a completion request; throws RouterError that names the invalid
 * member.
 */
export function parseCompletion(body: Buffer, path: string): Completion {
  const parsed = completionSchema.safeParse(parseJsonObject(body));
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    throw buildFieldError(issue.path.join('.'), issue.message);
  }
  const isChat = path.includes('/chat/');
  if (isChat && !parsed.data.messages)
    throw buildFieldError('messages', 'is missing');
  if (!isChat && parsed.data.prompt === undefined) {
    throw buildFieldError('prompt', 'is missing');
  }
  return parsed.data;
}

function buildFieldError(field: string, problem: string): RouterError {
  const message = `${field}: ${problem}`;
  return new RouterError('invalid_request', message, {
    verdict: 'not-run',
    field,
  });
}

/**
 * Builds the body for the engine, which always streams: a broken stream can be
 * resumed.
 */
export function buildEngineBody(completion: Completion, body: Buffer): Buffer {
  if (completion.stream) return body;
  return Buffer.from(JSON.stringify({...completion, stream: true}));
}

/** Estimates the tokens of prompt and answer. */
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
