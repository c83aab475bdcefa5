/** A minimal proxy for comparison: it forwards each call and pipes the bytes. */
import {Agent, createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Starts a proxy that forwards all requests to `target`; resolves with its address. */
export async function startPassThrough(target: string): Promise<string> {
  const agent = new Agent({keepAlive: true});
  const server = createServer((request, response) => {
    const forwarded = sendRequest(
      `http://${target}${request.url}`,
      {method: request.method, headers: request.headers, agent},
      answer => {
        response.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(response);
      },
    );
    forwarded.on('error', () => response.destroy());
    request.pipe(forwarded);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}
