/**
 * A stand-in for the model servers: it registers in the store, runs `slots` requests at
 * once, and streams events that any other server of its version goes on with.
 */
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {listenFree, pause, readBody} from './store.mjs';

const SLOTS = 8;
const QUEUE = 24;
const HEARTBEAT_MS = 1200;

/** Event in which an answer is broken off. */
const CUT_AT = {break: 4, reset: 4};
const STALL_AT = 4;
const STALL_MS = 2500;

/** Breaks an answer off in the middle of an event. */
async function cutAnswer(response, kind, entry) {
  response.write('id: 4\nda');
  await pause(5);
  if (kind === 'reset') response.socket?.resetAndDestroy();
  else response.destroy();
  return entry;
}

/** Builds the data of one event of a request. */
function buildPlainData(id, index) {
  return `${id}:${index}`;
}

/**
 * Starts a server. `runs` receives each request that it begins to work on. `buildData`
 * returns the data of one event, `decide` how a request is answered (see `answer`).
 */
export async function startModelServer(
  store,
  name,
  {
    service = 'reader',
    zone = 'klang-a',
    version = 'v1',
    events = 20,
    eventMs = 20,
    buildData = buildPlainData,
    decide = () => 'whole',
    runs = [],
  } = {},
) {
  let running = 0;
  const queue = [];
  let sequence = 0;

  function describeLoad() {
    return `${running},${queue.length},${SLOTS}`;
  }

  function answerHead(request, response, status, extra = {}) {
    response.writeHead(status, {
      'request-id': String(request.headers['request-id'] ?? ''),
      'server-load': describeLoad(),
      ...extra,
    });
  }

  function refuse(request, response, status) {
    answerHead(request, response, status, {
      'not-run': '1',
      'instance-id': name,
    });
    response.end();
  }

  /** Waits for a slot; false if the queue is full or the channel closes. */
  async function awaitSlot(response) {
    if (running < SLOTS) {
      running++;
      return true;
    }
    if (queue.length >= QUEUE) return false;
    const isGranted = await new Promise(resolve => {
      const entry = {resolve};
      queue.push(entry);
      response.on('close', () => {
        const at = queue.indexOf(entry);
        if (at < 0) return;
        queue.splice(at, 1);
        resolve(false);
      });
    });
    return isGranted;
  }

  function releaseSlot() {
    const next = queue.shift();
    if (next) next.resolve(true);
    else running--;
  }

  async function runRequest(request, response, body) {
    const {headers} = request;
    const id = headers['request-id'];
    const entry = {
      id,
      server: name,
      version,
      startedAt: performance.now(),
      endedAt: undefined,
      tenant: headers.tenant,
      method: request.method,
      target: request.url,
      headers,
      body,
      resumesAfter: headers['last-event-id'],
      sent: 0,
      isWhole: false,
    };
    runs.push(entry);
    const kind = decide(entry);
    const endsAt = entry.startedAt + Number(headers['deadline-ms'] ?? 30_000);
    const stamp = {'server-stamp': `${name}.${id}`};
    if (kind === 'fail' || kind === 'poison') {
      await pause(eventMs);
      answerHead(request, response, kind === 'fail' ? 500 : 422, stamp);
      response.end();
      return entry;
    }
    const first = Number(entry.resumesAfter ?? 0) + 1;
    await pause(eventMs);
    if (response.destroyed) return entry;
    answerHead(request, response, 200, {
      ...stamp,
      'content-type': 'text/event-stream',
    });
    for (let index = first; index <= events; index++) {
      if (response.destroyed || performance.now() > endsAt) {
        response.destroy();
        return entry;
      }
      if (index === CUT_AT[kind]) return cutAnswer(response, kind, entry);
      if (index === STALL_AT && kind === 'stall') await pause(STALL_MS);
      if (response.destroyed) return entry;
      const data = buildData(id, index, {name, version});
      response.write(`id: ${index}\ndata: ${data}\n\n`);
      entry.sent = index;
      if (index < events) await pause(eventMs);
    }
    response.end();
    entry.isWhole = true;
    return entry;
  }

  const server = createServer(async (request, response) => {
    response.on('error', () => {});
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    if (request.url === '/health') {
      answerHead(request, response, 200, {'instance-id': name});
      response.end();
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== name) {
      refuse(request, response, 421);
      return;
    }
    if (!request.headers['request-id']) {
      refuse(request, response, 400);
      return;
    }
    if (!(await awaitSlot(response))) {
      if (!response.destroyed) refuse(request, response, 503);
      return;
    }
    try {
      const entry = await runRequest(request, response, body);
      entry.endedAt = performance.now();
    } finally {
      releaseSlot();
    }
  });
  server.keepAliveTimeout = 15_000;
  const address = await listenFree(server);

  const entry = {Service: service, Addr: address, Zone: zone, Version: version};
  function register(state = 'ready') {
    sequence++;
    const Seq = sequence;
    const value = {...entry, Slots: SLOTS, State: state, ColdLeftMs: 0, Seq};
    store.writeRow('servers', name, value);
  }
  register();
  const timer = setInterval(register, HEARTBEAT_MS);

  return {
    name,
    address,
    countRunning: () => running,
    countWaiting: () => queue.length,
    close() {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
