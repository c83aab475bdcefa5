/**
 * What the platform's balancer does for callers: hands out instances in turn
 * and passes over those that refused a connection a moment ago.
 */

/** How long an instance that refused a connection is passed over, in ms. */
const PASSED_OVER_MS = 2000;

/** Instances in turn. */
export interface Balancer {
  /** Address of the next instance. */
  pick(now: number): string;
  /** The instance took no connection. */
  markRefused(address: string, now: number): void;
}

/** `addresses` are the callers' addresses of the instances. */
export function createBalancer(addresses: readonly string[]): Balancer {
  const passedOverUntil = new Map<string, number>();
  let turn = 0;

  return {
    pick(now) {
      for (let tries = 0; tries < addresses.length; tries++) {
        const address = addresses[turn++ % addresses.length];
        if ((passedOverUntil.get(address) ?? 0) <= now) return address;
      }
      return addresses[turn++ % addresses.length];
    },
    markRefused(address, now) {
      passedOverUntil.set(address, now + PASSED_OVER_MS);
    },
  };
}

const MAX_CONNECT_TRIES = 3;
const UNCONNECTED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** A refused connection has sent nothing, so the next instance is tried. */
export async function sendThrough<Answer>(
  balancer: Balancer,
  now: () => number,
  send: (address: string) => Promise<Answer>,
): Promise<Answer> {
  for (let tries = 1; ; tries++) {
    const address = balancer.pick(now());
    try {
      return await send(address);
    } catch (error) {
      const {code} = error as {code?: string};
      const unconnected = UNCONNECTED_CODES.has(code ?? '');
      if (!unconnected || tries === MAX_CONNECT_TRIES) throw error;
      balancer.markRefused(address, now());
    }
  }
}
