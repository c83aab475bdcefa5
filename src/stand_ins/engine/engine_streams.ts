/**
 * The batch of an engine stand-in: all running streams gain one token in each
 * step, requests are admitted as they arrive, and a stream outlives its
 * connection for a while so that it can be resumed.
 */
import type {EngineOptions} from './engine_options.js';

/** What a request asks for. */
export interface StreamRequest {
  id: string;
  model: string;
  path: string;
  prompt: string;
}

/** Told of each token, by its offset in the answer. */
export interface TokenListener {
  handleToken(offset: number, chunk: object): void;
  /** False when the connection did not carry the end: it can be resumed. */
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
  /** Replays tokens from `offset`, then sends each new one. */
  attach(stream: EngineStream, offset: number, listener: TokenListener): void;
  detach(stream: EngineStream): void;
  remove(id: string): boolean;
  countRunning(): number;
  countWaiting(): number;
  clear(): void;
}

/** `options` are read at each step, so that they can change. */
export function createEngineStreams(options: EngineOptions): EngineStreams {
  const streams = new Map<string, EngineStream>();
  let cancelStep: (() => void) | undefined;
  let runs = 0;

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
      if (stream.readyAt <= now && !isHeld(stream)) generateToken(stream);
    }
    expireAbandoned(now);
    scheduleStep();
  }

  function isHeld({chunks}: EngineStream): boolean {
    return options.holdAt !== null && chunks.length >= options.holdAt;
  }

  function generateToken(stream: EngineStream) {
    const offset = stream.chunks.length;
    const chunk = buildChunk(stream.request, offset, options.tokens, runs);
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
      if (!options.deterministic) runs++;
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

/** A step of no length is the next turn of the event loop: timers take 1 ms. */
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
 * Token `offset` of the answer; the text follows from the prompt, so that a
 * test can tell whether an answer is whole and whose it is. `run` above 0
 * marks the text of an engine that is not deterministic.
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
