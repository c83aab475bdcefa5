/** Tells from the error of a call whether an open connection was lost. */

/** Error codes of a connection that the other side closed or reset. */
const CONNECTION_LOST_CODES = new Set([
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'EPIPE',
]);

const CONNECTION_REFUSED_CODE = 'ECONNREFUSED';

/** Whether the other side closed or reset an open connection. */
export function isConnectionLost(error: unknown): boolean {
  const {code = '', syscall} = (error ?? {}) as NodeJS.ErrnoException;
  return CONNECTION_LOST_CODES.has(code) && syscall !== 'connect';
}

/** Whether the other side's machine refused a connection, as nobody listens there. */
export function isConnectionRefused(error: unknown): boolean {
  const {code} = (error ?? {}) as NodeJS.ErrnoException;
  return code === CONNECTION_REFUSED_CODE;
}
