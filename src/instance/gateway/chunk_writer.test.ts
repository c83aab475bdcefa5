/** Response bodies written in chunks straight to the socket. */
import assert from 'node:assert/strict';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {listenServer} from '../../common/listen.js';
import {createChunkWriter} from './chunk_writer.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const LAST_REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
const BODY = '1\r\na\r\n2\r\nbc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n';

describe('chunk writer', () => {
  let server: Server;
  let address: string;
  let responses: ServerResponse[];
  let handleResponse: () => void;

  beforeEach(async () => {
    responses = [];
    handleResponse = () => {};
    server = createServer((_request, response) => {
      responses.push(response);
      handleResponse();
    });
    address = await listenServer(server, 'callers', '127.0.0.1', 0);
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  function openSocket() {
    const [host, port] = address.split(':');
    return connect(Number(port), host);
  }

  /** Sends bytes; resolves with all that was received until the connection ends. */
  async function send(bytes: string): Promise<string> {
    const socket = openSocket();
    socket.write(bytes);
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    return text;
  }

  function awaitResponses(count: number): Promise<void> {
    return new Promise(resolve => {
      handleResponse = () => {
        if (responses.length === count) resolve();
      };
    });
  }

  function writeAll(response: ServerResponse) {
    const writer = createChunkWriter(response);
    for (const text of ['a', 'bc', '0123456789abcdef']) {
      writer.write(Buffer.from(text), () => {});
    }
    response.end();
  }

  it('writes chunks as HTTP requires', async () => {
    const received = send(LAST_REQUEST);
    await awaitResponses(1);
    responses[0].writeHead(200, {'x-id': '1'});
    writeAll(responses[0]);
    const [head, body] = (await received).split(/(?<=\r\n\r\n)(?=1)/);
    assert.match(head, /x-id: 1/);
    assert.match(head, /transfer-encoding: chunked/i);
    assert.equal(body, BODY);
  });

  it('leaves a body of known length unframed', async () => {
    const received = send(LAST_REQUEST);
    await awaitResponses(1);
    responses[0].writeHead(200, {'content-length': 19});
    writeAll(responses[0]);
    assert.match(await received, /\r\n\r\nabc0123456789abcdef$/);
  });

  // Bytes of a response that waits for an earlier one must not reach the caller first.
  it('keeps the order of pipelined responses', async () => {
    const received = send(REQUEST + LAST_REQUEST);
    await awaitResponses(2);
    responses[1].writeHead(200, {'x-id': '2'});
    writeAll(responses[1]);
    responses[0].writeHead(200, {'x-id': '1'});
    writeAll(responses[0]);
    const text = await received;
    assert.equal(text.split(BODY).length, 3);
    assert.ok(text.indexOf('x-id: 1') < text.indexOf('x-id: 2'));
  });

  // Without back pressure, a caller that does not read fills the instance's memory.
  it('reports when a caller does not read, and when it reads again', async () => {
    const socket = openSocket();
    socket.write(REQUEST);
    await awaitResponses(1);
    const writer = createChunkWriter(responses[0]);
    // More than the buffers of both sockets hold.
    const chunk = Buffer.alloc(1024 * 1024);
    let isSent = false;
    const sent = new Promise<void>(resolve => {
      for (let count = 0; count < 32; count++) {
        writer.write(chunk, () => {
          isSent = true;
          resolve();
        });
      }
    });
    await new Promise(setImmediate);
    assert.equal(isSent, false);
    socket.resume();
    await sent;
    socket.destroy();
  });

  it('writes nothing to a caller that has left', async () => {
    const socket = openSocket();
    socket.write(REQUEST);
    await awaitResponses(1);
    const [response] = responses;
    const writer = createChunkWriter(response);
    writer.write(Buffer.from('a'), () => {});
    const closed = new Promise(resolve => response.on('close', resolve));
    socket.destroy();
    await closed;
    writer.write(Buffer.from('b'), () => {});
    assert.equal(response.destroyed, true);
  });
});
