/** Tells from the error of a call whether an open connection was lost. */

/** Error codes of a connection that the other side closed or reset. */
const CONNECTION_LOST_CODES = new Set([
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'EPIPE',
]);

/** Whether the other side closed or reset an open connection. */
export function isConnectionLost(error: unknown): boolean {
  const {code = '', syscall} = (error ?? {}) as NodeJS.ErrnoException;
  return CONNECTION_LOST_CODES.has(code) && syscall !== 'connect';
}
