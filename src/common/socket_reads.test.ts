/** Reads that are collected and delivered in shared ticks. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {createSocketReads, type SocketReads} from './socket_reads.js';

const TICK_MS = 150;

describe('socket reads', () => {
  let reads: SocketReads;

  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout']});
    reads = createSocketReads(TICK_MS);
  });

  afterEach(() => mock.timers.reset());

  function openSocket() {
    const socket = new EventEmitter() as Socket;
    const {onread, attach} = reads.prepare();
    attach(socket);
    const delivered: string[] = [];
    socket.on('data', chunk => delivered.push(chunk.toString()));
    socket.on('close', () => delivered.push('closed'));
    const buffer = onread.buffer as Uint8Array;
    return {
      socket,
      delivered,
      /** Reads into the buffer that all sockets share. */
      read(text: string) {
        buffer.set(Buffer.from(text));
        onread.callback(text.length, buffer);
      },
    };
  }

  it('are delivered immediately unless they are collected', () => {
    const {delivered, read} = openSocket();
    read('a');
    read('b');
    assert.deepEqual(delivered, ['a', 'b']);
  });

  it('are delivered together at one tick of all connections', () => {
    const sockets = [openSocket(), openSocket()];
    for (const {socket} of sockets) reads.collect(socket, () => {});
    sockets[0].read('a');
    mock.timers.tick(TICK_MS - 1);
    sockets[0].read('b');
    sockets[1].read('c');
    assert.deepEqual(sockets[0].delivered, []);
    mock.timers.tick(1);
    assert.deepEqual(sockets[0].delivered, ['ab']);
    assert.deepEqual(sockets[1].delivered, ['c']);
  });

  // Without it, bytes that were read before a failure would be lost.
  it('are delivered before the close of the connection', () => {
    const {socket, delivered, read} = openSocket();
    reads.collect(socket, () => {});
    read('a');
    socket.emit('close');
    assert.deepEqual(delivered, ['a', 'closed']);
  });

  // An item that yields is resumed after the last event that was delivered.
  it('are delivered when the collector is stopped', () => {
    const {socket, delivered, read} = openSocket();
    const collector = reads.collect(socket, () => {})!;
    read('a');
    collector.stop();
    read('b');
    assert.deepEqual(delivered, ['a', 'b']);
  });

  it('do not wait for the tick after the last chunk of a response', () => {
    const {socket, delivered, read} = openSocket();
    reads.collect(socket, () => {});
    read('1\r\na\r\n');
    read('0\r\n\r\n');
    assert.deepEqual(delivered, ['1\r\na\r\n0\r\n\r\n']);
  });

  // A fast endpoint must not fill the memory of the instance between two ticks.
  it('are bounded in bytes', () => {
    const {socket, delivered, read} = openSocket();
    reads.collect(socket, () => {});
    for (let index = 0; index < 5; index++) read('x'.repeat(16 * 1024));
    assert.equal(delivered.length, 1);
  });

  it('of a connection without a reader cannot be collected', () => {
    const socket = new EventEmitter() as Socket;
    assert.equal(
      reads.collect(socket, () => {}),
      undefined,
    );
  });
});
