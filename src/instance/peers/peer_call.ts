/** Failures of calls to peers. */

/** A call to a peer got no response. */
export class PeerCallError extends Error {
  /** Whether the call may have reached the peer. */
  readonly sent: boolean;

  constructor(message: string, sent: boolean) {
    super(message);
    this.name = 'PeerCallError';
    this.sent = sent;
  }
}

/** The peer's response to a call is an error. */
export class PeerResponseError extends Error {
  constructor(path: string, message: string) {
    super(`${path}: ${message}`);
    this.name = 'PeerResponseError';
  }
}
