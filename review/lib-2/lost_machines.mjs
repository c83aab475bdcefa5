/**
 * Takes machines away for good while they have open batch jobs, and reads the results at
 * the machines that are left.
 */
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {buildConfiguration, readResults, submitBatch} from './batch.mjs';
import {createFleet, createRecord} from './fleet.mjs';
import {startModelServer} from './servers.mjs';
import {createStore, pause} from './store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Machines of each zone, as the site has them. */
const ZONES = {'klang-a': 3, 'klang-b': 3, 'penang-a': 2, 'johor-a': 2};
const SERVERS = 13;
const SLOTS = 8;
const EVENTS = 171;
const EVENT_MS = 20;
const BUNDLES = 30;
const ITEMS = 3;
const SUBMIT_PAUSE_MS = 100;
const FINISH_MS = 18_000;
const CALM_MS = 5000;
const QUIET_MS = 3000;
const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;
const READ_MS = 2000;

/**
 * Runs a case and returns its exit code. `isLost` selects the machines by name. FinishS is
 * over `finishMs` after the loss, as the clients' traffic may end later. `isBroken`
 * decides by the jobs that are lost when FinishS is over, and by those of them that are
 * still open `watchMs` after the loss.
 */
export async function runLoss({
  folder,
  isLost,
  isBroken,
  watchMs,
  machines = ZONES,
  finishMs = FINISH_MS,
}) {
  const record = createRecord(join(folder, 'record.txt'));
  const store = createStore();
  const fleet = createFleet();
  const servers = [];
  const runs = [];
  const lost = [];
  /** Ids of the items that are listed, by batch job. */
  const listed = new Map();

  async function startSite() {
    store.writeRow('op', 'config', buildConfiguration());
    const zones = Object.keys(machines);
    for (let index = 0; index < SERVERS; index++) {
      const zone = zones[index % zones.length];
      const options = {zone, events: EVENTS, eventMs: EVENT_MS, runs};
      servers.push(await startModelServer(store, `i-${index}`, options));
    }
    for (const [zone, count] of Object.entries(machines)) {
      for (let index = 0; index < count; index++) {
        const {address} = await store.openDoor();
        const name = `front-${zone}-${index + 1}`;
        const gateway = await fleet.startGateway(name, address, zone);
        if (isLost(name)) lost.push(gateway);
      }
    }
    return fleet.awaitReady();
  }

  async function submitAll() {
    const submitted = [];
    for (let index = 0; index < BUNDLES; index++) {
      const id = `lot${index}`;
      const gateway = fleet.gateways[index % fleet.gateways.length];
      const items = Array.from({length: ITEMS}, (_, at) => `${id}i${at}`);
      submitted.push(
        submitBatch(gateway, id, items).then(status => {
          record.add(`batch job ${id} sent to ${gateway.name}: ${status}`);
          if (status === 202) listed.set(id, new Set());
        }),
      );
      await pause(SUBMIT_PAUSE_MS);
    }
    await Promise.all(submitted);
  }

  async function readOpen(gateway) {
    const open = [...listed].filter(([, items]) => items.size < ITEMS);
    await Promise.all(
      open.map(async ([id, items]) => {
        const page = await readResults(gateway, id);
        for (const {Id, State} of page?.Results ?? []) {
          if (!items.has(Id)) record.add(`listed ${Id}: ${State}`);
          items.add(Id);
        }
      }),
    );
    return open.length;
  }

  async function readUntil(endsAt, survivors) {
    for (let turn = 0; performance.now() < endsAt; turn++) {
      await readOpen(survivors[turn % survivors.length]);
      await pause(500);
    }
  }

  /** Items that nobody lists, by the rule as written. */
  function listLost(now) {
    const open = [...listed].filter(([, items]) => items.size < ITEMS);
    const busy = servers.reduce((sum, each) => sum + each.countRunning(), 0);
    const finished = runs.filter(
      ({isWhole, endedAt}) => isWhole && endedAt >= now - QUIET_MS,
    );
    record.add(`${busy} of ${SERVERS * SLOTS} slots are taken`);
    record.add(`${finished.length} items were finished in the last 3 s`);
    if (busy * 2 >= SERVERS * SLOTS || finished.length > 0) return [];
    return open.filter(([id]) => {
      const had = runs.filter(
        run =>
          run.id.startsWith(`${id}i`) &&
          !listed.get(id).has(run.id) &&
          (run.endedAt ?? now) >= now - CALM_MS,
      );
      return had.length === 0;
    });
  }

  async function run() {
    if (!(await startSite())) return NOT_RUN;
    await pause(3000);
    await submitAll();
    if (HAS_TROUBLE) {
      for (const gateway of lost) {
        record.add(`${gateway.name} is lost for good`);
        fleet.signal(gateway, 'SIGKILL');
      }
    }
    const lostAt = performance.now();
    const survivors = fleet.gateways.filter(each => !lost.includes(each));
    await readUntil(lostAt + finishMs, survivors);
    const broken = listLost(performance.now());
    for (const [id, items] of broken)
      record.add(
        `after FinishS, ${id} has ${items.size} of ${ITEMS} items listed`,
      );
    record.add(`${listed.size} batch jobs accepted, ${broken.length} lost`);
    if (broken.length === 0) return HELD;
    const isComplete = () => broken.every(([, items]) => items.size === ITEMS);
    while (performance.now() < lostAt + watchMs && !isComplete())
      await readUntil(performance.now() + READ_MS, survivors);
    const never = broken.filter(([, items]) => items.size < ITEMS);
    for (const [id, items] of never)
      record.add(`${id} still has ${items.size} of ${ITEMS} items listed`);
    const seconds = Math.round((performance.now() - lostAt) / 1000);
    record.add(
      `${never.length} batch jobs are open ${seconds} s after the loss`,
    );
    return isBroken({broken, never}) ? BROKEN : HELD;
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
  return code;
}
