/**
 * One connection to a peer, opened when a call needs it and opened again after a
 * failure while calls wait for it.
 *
 * Failure: a peer or the network path to it goes silent. Without bounds, calls would
 * wait forever and pile up in memory. Here every call ends within its timeout, and the
 * number of calls in flight is limited.
 *
 * tRPC's own WebSocket client supports subscriptions, which no procedure here uses, and
 * cost more for each call than the procedures themselves.
 */
import type {WebSocket} from 'ws';
import type {CancelSchedule, Clock} from '../../common/clock.js';
import {
  IDLE_CLOSE_MS,
  MAX_CALLS_IN_FLIGHT,
  MAX_RECONNECT_DELAY_MS,
  MIN_RECONNECT_DELAY_MS,
  PING_INTERVAL_MS,
  PONG_TIMEOUT_MS,
} from './constants.js';
import {PeerCallError, PeerResponseError} from './peer_call.js';
import {
  PING_FRAME,
  parseResponse,
  PONG_FRAME,
  type CallMessage,
  type ResponseMessage,
} from './peer_messages.js';

/** A call as its caller states it. */
export interface PeerCall {
  method: CallMessage['method'];
  path: string;
  input: unknown;
  timeoutMs: number;
  /** Whether the call ends when it is sent, because nobody uses its response. */
  isNotice?: boolean;
}

/** The connection to one peer. */
export interface PeerConnection {
  /** Throws PeerCallError or PeerResponseError. */
  call(call: PeerCall): Promise<unknown>;
  isOpen(): boolean;
  /** Fails all calls. */
  close(): void;
}

/** Opens a socket; the listeners are set by the connection. */
export type SocketOpener = () => WebSocket;

interface PendingCall {
  message: CallMessage;
  isSent: boolean;
  cancelTimeout: CancelSchedule;
  resolve(data: unknown): void;
  reject(error: Error): void;
}

/**
 * `onSilent` is called when a call timed out and nothing was received since it was
 * sent.
 */
export function createPeerConnection(
  clock: Clock,
  openSocket: SocketOpener,
  onSilent: () => void,
): PeerConnection {
  const calls = new Map<number, PendingCall>();
  let socket: WebSocket | undefined;
  let isOpen = false;
  let failedAttempts = 0;
  let cancelReconnect: CancelSchedule | undefined;
  let lastId = 0;
  let lastReceivedAt = -Infinity;
  let lastUsedAt = -Infinity;

  function takeCall(id: number): PendingCall | undefined {
    const call = calls.get(id);
    calls.delete(id);
    call?.cancelTimeout();
    return call;
  }

  function send(call: PendingCall) {
    call.isSent = true;
    // Bytes that ws may not change are written together with the frame's head.
    const frame = Buffer.from(JSON.stringify(call.message));
    socket!.send(frame, {binary: false});
    if (call.message.isNotice) takeCall(call.message.id)!.resolve(undefined);
  }

  function noteResponse(response: ResponseMessage) {
    if (response.id === null) return;
    const call = takeCall(response.id);
    if (!call) return;
    if ('result' in response) call.resolve(response.result.data);
    else {
      const {path} = call.message.params;
      call.reject(new PeerResponseError(path, response.error.message));
    }
  }

  function noteOpen(opened: WebSocket) {
    if (socket !== opened) return;
    isOpen = true;
    failedAttempts = 0;
    lastReceivedAt = clock.now();
    for (const call of [...calls.values()]) send(call);
    scheduleCheck(opened);
  }

  /** Fails the calls that were sent; the others wait for the next connection. */
  function noteClose(closed: WebSocket) {
    if (socket !== closed) return;
    if (!isOpen) failedAttempts++;
    socket = undefined;
    isOpen = false;
    for (const [id, {isSent}] of calls) {
      if (!isSent) continue;
      takeCall(id)!.reject(new PeerCallError('the connection closed', true));
    }
    if (calls.size > 0) openAgain();
  }

  function openIfNeeded() {
    cancelReconnect = undefined;
    if (socket || calls.size === 0) return;
    const opened = openSocket();
    socket = opened;
    opened.on('open', () => noteOpen(opened));
    opened.on('close', () => noteClose(opened));
    opened.on('message', (frame: Buffer) => {
      lastReceivedAt = clock.now();
      const text = frame.toString();
      if (text === PONG_FRAME) return;
      const response = parseResponse(text);
      if (response) noteResponse(response);
      else opened.terminate();
    });
  }

  /** The first attempt after a failure is immediate. */
  function openAgain() {
    if (failedAttempts <= 1) {
      openIfNeeded();
      return;
    }
    const delayMs = Math.min(
      MAX_RECONNECT_DELAY_MS,
      MIN_RECONNECT_DELAY_MS * 2 ** (failedAttempts - 2),
    );
    cancelReconnect ??= clock.schedule(delayMs, openIfNeeded);
  }

  /** Pings an idle connection and closes one that is dead or not used any more. */
  function scheduleCheck(checked: WebSocket) {
    clock.schedule(PING_INTERVAL_MS, () => {
      if (socket !== checked) return;
      const now = clock.now();
      if (now - lastUsedAt > IDLE_CLOSE_MS) checked.close();
      else if (now - lastReceivedAt < PING_INTERVAL_MS) scheduleCheck(checked);
      else sendPing(checked, now);
    });
  }

  function sendPing(checked: WebSocket, pingedAt: number) {
    checked.send(PING_FRAME);
    clock.schedule(PONG_TIMEOUT_MS, () => {
      if (socket !== checked) return;
      if (lastReceivedAt < pingedAt) checked.terminate();
      else scheduleCheck(checked);
    });
  }

  function expireCall(id: number, sentAt: number) {
    const call = takeCall(id);
    if (!call) return;
    const {path} = call.message.params;
    const message = `${path}: no response within the timeout`;
    call.reject(new PeerCallError(message, call.isSent));
    if (lastReceivedAt < sentAt) onSilent();
  }

  return {
    call({method, path, input, timeoutMs, isNotice}) {
      if (calls.size >= MAX_CALLS_IN_FLIGHT) {
        const message = 'too many calls in flight to this peer';
        return Promise.reject(new PeerCallError(message, false));
      }
      return new Promise((resolve, reject) => {
        const id = ++lastId;
        const sentAt = clock.now();
        lastUsedAt = sentAt;
        const call: PendingCall = {
          message: {
            id,
            method,
            params: {path, input},
            ...(isNotice && {isNotice}),
          },
          isSent: false,
          cancelTimeout: clock.schedule(timeoutMs, () =>
            expireCall(id, sentAt),
          ),
          resolve,
          reject,
        };
        calls.set(id, call);
        if (isOpen) send(call);
        else if (!cancelReconnect) openIfNeeded();
      });
    },
    isOpen: () => isOpen,
    close() {
      cancelReconnect?.();
      const closed = socket;
      socket = undefined;
      isOpen = false;
      for (const [id, {isSent}] of calls) {
        takeCall(id)!.reject(
          new PeerCallError('the connection closed', isSent),
        );
      }
      closed?.close();
    },
  };
}
