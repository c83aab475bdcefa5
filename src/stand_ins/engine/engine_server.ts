/**
 * A model engine stand-in on loopback: streams OpenAI-shaped chunks whose
 * text follows from the prompt, so that a test can tell whether an answer is
 * whole and whose it is.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How the stand-in behaves. */
export interface EngineOptions {
  tokens: number;
  firstTokenMs: number;
  betweenTokensMs: number;
}

/** A running engine stand-in. */
export interface EngineServer {
  address: string;
  /** Changed while it runs, to bring about faults. */
  options: EngineOptions;
  /** What it received: header blocks and bodies, to look for leaks. */
  received: string[];
  stop(): Promise<void>;
}

const DEFAULT_OPTIONS: EngineOptions = {
  tokens: 8,
  firstTokenMs: 2,
  betweenTokensMs: 1,
};

/** Starts an engine on a free port of loopback. */
export async function startEngineServer(
  options: Partial<EngineOptions> = {},
): Promise<EngineServer> {
  const settings = {...DEFAULT_OPTIONS, ...options};
  const received: string[] = [];
  const server = createServer((request, response) => {
    void serveCompletion(request, response, settings, received);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    options: settings,
    received,
    async stop() {
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

async function serveCompletion(
  request: IncomingMessage,
  response: ServerResponse,
  options: EngineOptions,
  received: string[],
) {
  let body = '';
  for await (const part of request) body += part;
  received.push(`${request.rawHeaders.join('\n')}\n${body}`);
  const {model, messages} = JSON.parse(body);
  const prompt = String(messages?.at(-1)?.content ?? '');
  const id = String(request.headers['x-request-id']);
  const offset = Number(request.headers['x-resume-offset'] ?? 0);
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-request-id': id,
  });
  await waitMs(options.firstTokenMs);
  for (let token = offset; token < options.tokens; token++) {
    if (response.destroyed) return;
    const chunk = buildChunk(id, model, prompt, token, options.tokens);
    response.write(`id: ${token}\ndata: ${JSON.stringify(chunk)}\n\n`);
    await waitMs(options.betweenTokensMs);
  }
  response.end('data: [DONE]\n\n');
}

/** Token `token` of the answer to `prompt`; the last one ends it. */
function buildChunk(
  id: string,
  model: string,
  prompt: string,
  token: number,
  tokens: number,
) {
  const content = token === 0 ? `re ${prompt}:` : ` t${token}`;
  const finish_reason = token === tokens - 1 ? 'stop' : null;
  return {
    id,
    object: 'chat.completion.chunk',
    created: 0,
    model,
    choices: [{index: 0, delta: {content}, finish_reason}],
  };
}

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
