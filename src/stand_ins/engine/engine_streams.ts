/**
 * Continuous batching of the engine stand-in: each step adds one token to every
 * running stream, and requests are admitted as they arrive. A stream outlives
 * its connection for `resumeWindowMs` so that it can be resumed.
 */
import type {EngineOptions} from './engine_options.js';

/** The request of a stream. */
export interface StreamRequest {
  id: string;
  model: string;
  path: string;
  prompt: string;
}

/** Receives each token with its offset in the answer. */
export interface TokenListener {
  handleToken(offset: number, chunk: object): void;
  /** Returns false if the end was not sent, so that the stream can be resumed. */
  handleEnd(): boolean;
}

/** One answer being generated. */
export interface EngineStream {
  request: StreamRequest;
  chunks: object[];
  ended: boolean;
  listener: TokenListener | undefined;
  readyAt: number;
  abandonedAt: number | undefined;
}

/** The streams of one engine. */
export interface EngineStreams {
  start(request: StreamRequest, prefillMs: number): EngineStream;
  find(id: string): EngineStream | undefined;
  /** Sends the stored tokens from `offset` on, then each new one. */
  attach(stream: EngineStream, offset: number, listener: TokenListener): void;
  detach(stream: EngineStream): void;
  remove(id: string): boolean;
  countRunning(): number;
  countWaiting(): number;
  clear(): void;
}

/** Creates the streams; `options` are read in each step, so they may change. */
export function createEngineStreams(options: EngineOptions): EngineStreams {
  const streams = new Map<string, EngineStream>();
  let cancelStep: (() => void) | undefined;
  let runCount = 0;

  function listOpen(): EngineStream[] {
    return [...streams.values()].filter(stream => !stream.ended);
  }

  function countRunning(): number {
    return Math.min(listOpen().length, options.maxRunning);
  }

  function scheduleStep() {
    if (cancelStep || streams.size === 0) return;
    const running = countRunning();
    const stepMs = options.betweenTokensMs + running * options.stepMsPerStream;
    cancelStep = scheduleAfter(stepMs, runStep);
  }

  function runStep() {
    cancelStep = undefined;
    const now = performance.now();
    for (const stream of listOpen().slice(0, options.maxRunning)) {
      if (stream.readyAt <= now && !isPaused(stream)) generateToken(stream);
    }
    expireAbandoned(now);
    scheduleStep();
  }

  function isPaused({chunks}: EngineStream): boolean {
    return options.holdAt !== null && chunks.length >= options.holdAt;
  }

  function generateToken(stream: EngineStream) {
    const offset = stream.chunks.length;
    const chunk = buildChunk(stream.request, offset, options.tokens, runCount);
    stream.chunks.push(chunk);
    stream.listener?.handleToken(offset, chunk);
    if (stream.chunks.length < options.tokens) return;
    stream.ended = true;
    finishStream(stream);
  }

  function finishStream(stream: EngineStream) {
    if (stream.listener?.handleEnd()) streams.delete(stream.request.id);
    else stream.abandonedAt ??= performance.now();
  }

  function expireAbandoned(now: number) {
    for (const [id, stream] of streams) {
      const since = stream.abandonedAt;
      if (since === undefined || now - since < options.resumeWindowMs) continue;
      streams.delete(id);
    }
  }

  return {
    start(request, prefillMs) {
      if (!options.deterministic) runCount++;
      const stream: EngineStream = {
        request,
        chunks: [],
        ended: false,
        listener: undefined,
        readyAt: performance.now() + prefillMs,
        abandonedAt: undefined,
      };
      streams.set(request.id, stream);
      scheduleStep();
      return stream;
    },
    find: id => streams.get(id),
    attach(stream, offset, listener) {
      stream.listener = listener;
      stream.abandonedAt = undefined;
      stream.chunks
        .slice(offset)
        .forEach((chunk, index) => listener.handleToken(offset + index, chunk));
      if (stream.ended) finishStream(stream);
    },
    detach(stream) {
      stream.listener = undefined;
      stream.abandonedAt = performance.now();
      scheduleStep();
    },
    remove: id => streams.delete(id),
    countRunning,
    countWaiting: () => Math.max(0, listOpen().length - options.maxRunning),
    clear() {
      cancelStep?.();
      cancelStep = undefined;
      streams.clear();
    },
  };
}

/** Uses setImmediate for a delay of 0, because timers take at least 1 ms. */
function scheduleAfter(delayMs: number, task: () => void): () => void {
  if (delayMs > 0) {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  }
  const immediate = setImmediate(task);
  return () => clearImmediate(immediate);
}

type ChoiceBuilder = (text: string) => object;

const CHUNK_SHAPES: Record<string, {object: string; build: ChoiceBuilder}> = {
  '/v1/chat/completions': {
    object: 'chat.completion.chunk',
    build: content => ({delta: {content}}),
  },
  '/v1/completions': {
    object: 'text_completion',
    build: text => ({text}),
  },
};

/**
 * Builds the chunk of token `offset`. The text depends on the prompt, so that a
 * test can check that an answer is complete and belongs to its request. `run` is
 * above 0 on an engine that is not deterministic, and becomes part of the text.
 */
function buildChunk(
  request: StreamRequest,
  offset: number,
  tokens: number,
  run: number,
): object {
  const word = offset === 0 ? `re ${request.prompt}:` : ` t${offset}`;
  const shape = CHUNK_SHAPES[request.path];
  return {
    id: request.id,
    object: shape.object,
    created: 0,
    model: request.model,
    choices: [
      {
        index: 0,
        ...shape.build(run > 0 ? `${word}/${run}` : word),
        finish_reason: offset === tokens - 1 ? 'stop' : null,
      },
    ],
  };
}
