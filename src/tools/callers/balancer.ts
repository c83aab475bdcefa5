/**
 * Stands in for the platform's load balancer: picks instances round robin and skips
 * those that have just refused a connection.
 */

/** How long an instance is skipped after it refused a connection. */
const SKIP_REFUSED_MS = 2000;

/** Picks instances round robin. */
export interface Balancer {
  /** Returns the address of the next instance. */
  pick(now: number): string;
  /** Notes that the instance refused a connection. */
  markRefused(address: string, now: number): void;
}

/** `addresses` are the callers addresses of the instances. */
export function createBalancer(addresses: readonly string[]): Balancer {
  const skippedUntil = new Map<string, number>();
  let turn = 0;

  return {
    pick(now) {
      for (let attempt = 0; attempt < addresses.length; attempt++) {
        const address = addresses[turn++ % addresses.length];
        if ((skippedUntil.get(address) ?? 0) <= now) return address;
      }
      return addresses[turn++ % addresses.length];
    },
    markRefused(address, now) {
      skippedUntil.set(address, now + SKIP_REFUSED_MS);
    },
  };
}

const MAX_CONNECT_ATTEMPTS = 3;
const UNCONNECTED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Calls `send` with an instance's address. If the connection was refused, nothing was
 * sent, so the next instance is tried, up to MAX_CONNECT_ATTEMPTS in all.
 */
export async function sendThrough<Answer>(
  balancer: Balancer,
  now: () => number,
  send: (address: string) => Promise<Answer>,
): Promise<Answer> {
  for (let attempt = 1; ; attempt++) {
    const address = balancer.pick(now());
    try {
      return await send(address);
    } catch (error) {
      const {code} = error as {code?: string};
      const isUnconnected = UNCONNECTED_CODES.has(code ?? '');
      if (!isUnconnected || attempt === MAX_CONNECT_ATTEMPTS) throw error;
      balancer.markRefused(address, now());
    }
  }
}
