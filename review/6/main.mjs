/** See claim.txt. */
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {call, createFleet, createRecord} from '../lib-2/fleet.mjs';
import {startModelServer} from '../lib-2/servers.mjs';
import {createStore, pause} from '../lib-2/store.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Machines of each zone, as the site has them. */
const ZONES = {'klang-a': 3, 'klang-b': 3, 'penang-a': 2, 'johor-a': 2};
const SERVERS = 13;
const KEY = 'planner-key';
/** The machine that decides on the rate of the tenant `planner` while all are sound. */
const OWNER = 'front-klang-a-3';
const RATE_PER_S = 47;
const BURST = 47;
/** 7.5 times what the tenant usually sends, which is its rate by 1.6. */
const SENT_PER_S = (7.5 * RATE_PER_S) / 1.6;
const TICK_MS = 20;
const WINDOW_MS = 5000;
const EXCESS = 0.1;
const SLACK = 20;
const FREEZE_MS = 4000;
const FREEZES = 2;
const BETWEEN_MS = 1100;
/** After two questions without an answer, the balancer opens no channels to a machine. */
const BALANCER_MS = 2000;
const BEFORE_MS = 6000;
const AFTER_MS = 8000;
const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;

const record = createRecord(join(FOLDER, 'record.txt'));
const store = createStore();
const fleet = createFleet();
const servers = [];
const runs = [];
/** When each request was sent, and to which machine. */
const sent = new Map();
const answers = new Map();
let frozenAt = Infinity;

function buildConfiguration() {
  return {
    Version: 7,
    Routes: [
      {
        Name: 'ask',
        Host: 'desk.example',
        Prefix: '/ask/',
        Kind: 'streaming',
        Service: 'reader',
        Attempts: 1,
        TimeoutMs: 5000,
        SloMs: 300,
        GapAimMs: 300,
      },
    ],
    Services: [{Name: 'reader', HealthPath: '/health', Engine: {Slots: 8}}],
    Tenants: [
      {Name: 'planner', ApiKeys: [KEY], RatePerS: RATE_PER_S, Burst: BURST},
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

async function startSite() {
  store.writeRow('op', 'config', buildConfiguration());
  const zones = Object.keys(ZONES);
  for (let index = 0; index < SERVERS; index++) {
    const zone = zones[index % zones.length];
    const options = {zone, events: 3, eventMs: 5, runs};
    servers.push(await startModelServer(store, `i-${index}`, options));
  }
  for (const [zone, count] of Object.entries(ZONES)) {
    for (let index = 1; index <= count; index++) {
      const {address} = await store.openDoor();
      await fleet.startGateway(`front-${zone}-${index}`, address, zone);
    }
  }
  return fleet.awaitReady();
}

async function sendRequest(gateway, id) {
  sent.set(id, {at: performance.now(), to: gateway.name});
  const {status} = await call(gateway.callers, {
    method: 'POST',
    path: '/ask/x',
    headers: {
      authorization: `Bearer ${KEY}`,
      'request-id': id,
      'deadline-ms': '5000',
      model: 'm',
      'token-count': '50,10',
    },
    body: 'question',
    timeoutMs: 5500,
  });
  answers.set(status, (answers.get(status) ?? 0) + 1);
}

/** Sends the tenant's requests to all machines in turn; returns how to stop. */
function startTraffic() {
  const startedAt = performance.now();
  let count = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    const due = ((now - startedAt) / 1000) * SENT_PER_S;
    for (; count < due; count++) {
      const gateway = fleet.gateways[count % fleet.gateways.length];
      const isOut = gateway.name === OWNER && now - frozenAt > BALANCER_MS;
      if (!isOut) void sendRequest(gateway, `q${count}`);
    }
  }, TICK_MS);
  return () => clearInterval(timer);
}

async function freezeOwner() {
  const owner = fleet.gateways.find(({name}) => name === OWNER);
  for (let count = 0; count < FREEZES; count++) {
    if (HAS_TROUBLE) {
      record.add(`${OWNER} frozen`);
      fleet.signal(owner, 'SIGSTOP');
      frozenAt = performance.now();
    }
    await pause(FREEZE_MS);
    if (HAS_TROUBLE) {
      record.add(`${OWNER} wakes`);
      fleet.signal(owner, 'SIGCONT');
      frozenAt = Infinity;
    }
    await pause(BETWEEN_MS);
  }
}

/** Most requests that were both sent and arrived at a server within one window. */
function findFullestWindow() {
  const arrived = runs.map(({id, startedAt}) => ({
    sentAt: sent.get(id).at,
    startedAt,
    to: sent.get(id).to,
  }));
  let best = [];
  for (const {sentAt: from} of arrived) {
    const inside = arrived.filter(
      each => each.sentAt >= from && each.startedAt < from + WINDOW_MS,
    );
    if (inside.length > best.length) best = inside;
  }
  return best;
}

async function run() {
  if (!(await startSite())) return NOT_RUN;
  await pause(3000);
  const stopTraffic = startTraffic();
  await pause(BEFORE_MS);
  await freezeOwner();
  await pause(AFTER_MS);
  stopTraffic();
  await pause(1000);
  const limit = (RATE_PER_S * 5 + BURST) * (1 + EXCESS) + SLACK;
  const best = findFullestWindow();
  const own = best.filter(({to}) => to === OWNER).length;
  for (const {id, startedAt} of runs) {
    const {at, to} = sent.get(id);
    const sentAt = Math.round(at);
    const ranMs = Math.round(startedAt - at);
    record.add(`${id} sent at ${sentAt} to ${to}, ran ${ranMs} ms later`);
  }
  record.add(`${sent.size} requests sent, ${runs.length} ran`);
  record.add(`answers: ${JSON.stringify([...answers])}`);
  record.add(`${best.length} requests ran in one window, ${own} by ${OWNER}`);
  record.add(`the limit is ${limit.toFixed(1)}`);
  return best.length > limit ? BROKEN : HELD;
}

let code = NOT_RUN;
try {
  code = await run();
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
}
await fleet.close();
for (const server of servers) server.close();
store.close();
record.add(`exit ${code}`);
record.write();
process.exit(code);
