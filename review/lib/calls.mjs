/** Calls to gateways, as clients and the platform make them. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {request as openRequest} from 'node:http';

/** GET /mulberryrouter/ready, under the name that deploy/wire.toml gives it. */
const READY_PATH = '/readyz';

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Sends one request on a new channel. Resolves with the status, the headers and the
 * body; status 0 if there was no complete answer.
 */
export function sendCall({host, port}, options) {
  const {method = 'POST', path, headers = {}, body, timeoutMs = 5000} = options;
  return new Promise(resolve => {
    const fail = reason => resolve({status: 0, headers: {}, body: '', reason});
    const outgoing = openRequest(
      {host, port, method, path, headers, agent: false},
      response => {
        const parts = [];
        response.on('data', part => parts.push(part));
        response.on('end', () => {
          clearTimeout(timer);
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(parts).toString('utf8'),
          });
        });
        response.on('error', error => fail(error.message));
        response.on('close', () => fail('the channel closed'));
      },
    );
    const timer = setTimeout(
      () => outgoing.destroy(new Error('no answer in time')),
      timeoutMs,
    );
    outgoing.on('error', error => {
      clearTimeout(timer);
      fail(error.message);
    });
    outgoing.end(body);
  });
}

/** Asks whether a gateway is ready, as the platform does. */
export async function checkReady(gateway, timeoutMs = 900) {
  const {status} = await sendCall(gateway.ready, {
    method: 'GET',
    path: READY_PATH,
    timeoutMs,
  });
  return status === 200;
}

/** Waits until all gateways are ready; false if that takes too long. */
export async function awaitAllReady(gateways, timeoutMs = 20_000) {
  const endsAt = performance.now() + timeoutMs;
  while (performance.now() < endsAt) {
    const ready = await Promise.all(gateways.map(each => checkReady(each)));
    if (ready.every(Boolean)) return true;
    await wait(200);
  }
  return false;
}

/**
 * The platform's balancer: asks each gateway once a second, and offers those that did
 * not miss twice in a row.
 */
export function startBalancer(gateways) {
  const misses = new Map(gateways.map(each => [each, 0]));
  let next = 0;
  const timer = setInterval(() => {
    for (const gateway of gateways) {
      void checkReady(gateway).then(isReady =>
        misses.set(gateway, isReady ? 0 : misses.get(gateway) + 1),
      );
    }
  }, 1000);
  return {
    /** The next gateway in rotation. */
    choose() {
      const inRotation = gateways.filter(each => misses.get(each) < 2);
      const offered =
        inRotation.length * 2 >= gateways.length ? inRotation : gateways;
      return offered[next++ % offered.length];
    },
    stop: () => clearInterval(timer),
  };
}
