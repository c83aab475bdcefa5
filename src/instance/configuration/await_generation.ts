/**
 * Waits until every live instance has a change in force, by asking each for
 * its view. An operator's command does this, never an instance: 360 instances
 * are asked by the one who waits, a bounded number at a time, and those that
 * have confirmed are not asked again.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {ConfigurationView} from './configuration.js';

/** Instances asked at once. */
const ASKED_AT_ONCE = 32;

/** Pause between two rounds of asking, in ms. */
const ROUND_PAUSE_MS = 250;

/** What one instance has in force. */
export interface InstanceReport {
  name: string;
  failureDomain: string;
  state: 'confirmed' | 'behind' | 'no-answer' | 'rejected';
  /** Generation in force there, when it answered. */
  generation?: number;
  /** Why it cannot read the document. */
  message?: string;
}

/** What the wait works with. */
export interface AwaitGenerationOptions {
  clock: Clock;
  generation: number;
  /** Service whose document must be readable there; none for a key. */
  service?: string;
  timeoutMs: number;
  listInstances(): Promise<ListedInstance[]>;
  /** Rejects when the instance gives no answer in time. */
  fetchView(instance: ListedInstance): Promise<ConfigurationView>;
  /** Told after each round. */
  onProgress?(confirmed: number, all: number): void;
}

/** The report of each live entry instance, the unconfirmed ones included. */
export async function awaitGeneration(
  options: AwaitGenerationOptions,
): Promise<InstanceReport[]> {
  const {clock, timeoutMs, listInstances, onProgress} = options;
  const deadline = clock.now() + timeoutMs;
  const reports = new Map<string, InstanceReport>();

  async function fetchOne(instance: ListedInstance) {
    reports.set(instance.name, await fetchReport(instance, options));
  }

  for (;;) {
    const entries = (await listInstances()).filter(
      ({role, state}) => role === 'entry' && state === 'live',
    );
    const left = entries.filter(({name}) => !isSettled(reports.get(name)));
    await runBounded(left, fetchOne);
    const shown = entries.map(({name}) => reports.get(name)!);
    onProgress?.(shown.filter(isSettled).length, entries.length);
    if (shown.every(isSettled) || clock.now() >= deadline) return shown;
    await waitFor(clock, ROUND_PAUSE_MS);
  }
}

/** Asking again would change nothing. */
function isSettled(report: InstanceReport | undefined): boolean {
  return report?.state === 'confirmed' || report?.state === 'rejected';
}

async function fetchReport(
  instance: ListedInstance,
  {generation: wanted, service, fetchView}: AwaitGenerationOptions,
): Promise<InstanceReport> {
  const {name, failureDomain} = instance;
  try {
    const {generation, rejections} = await fetchView(instance);
    const rejection = rejections.find(one => one.service === service);
    const report = {name, failureDomain, generation};
    if (generation < wanted) return {...report, state: 'behind'};
    if (!rejection) return {...report, state: 'confirmed'};
    return {...report, state: 'rejected', message: rejection.message};
  } catch {
    return {name, failureDomain, state: 'no-answer'};
  }
}

/** Runs the task for each item, a bounded number at once. */
async function runBounded<Item>(
  items: readonly Item[],
  task: (item: Item) => Promise<void>,
) {
  const queue = [...items];
  const workers = Array.from({length: ASKED_AT_ONCE}, async () => {
    for (let item = queue.shift(); item; item = queue.shift()) await task(item);
  });
  await Promise.all(workers);
}
