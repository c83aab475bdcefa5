/**
 * Waits until every live instance has applied a change, by fetching the view of
 * each one. Only an operator's command does this, never an instance. It sends a
 * bounded number of requests at a time (a fleet may have 360 instances), and
 * does not ask again those that have confirmed.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {ConfigurationView} from './configuration.js';

/** Maximum number of instances asked at the same time. */
const MAX_CONCURRENT_REQUESTS = 32;

/** Pause between two rounds of requests, in ms. */
const ROUND_PAUSE_MS = 250;

/** Whether one instance has applied the change. */
export interface InstanceReport {
  name: string;
  failureDomain: string;
  state: 'confirmed' | 'behind' | 'no-answer' | 'rejected';
  /** Generation that the instance has applied, if it answered. */
  generation?: number;
  /** Why the instance cannot read the document. */
  message?: string;
}

export interface AwaitGenerationOptions {
  clock: Clock;
  generation: number;
  /**
   * Service whose document the instance must be able to read; absent for a key.
   */
  service?: string;
  timeoutMs: number;
  listInstances(): Promise<ListedInstance[]>;
  /** Rejects if the instance does not respond in time. */
  fetchView(instance: ListedInstance): Promise<ConfigurationView>;
  /** Called after each round. */
  onProgress?(confirmed: number, all: number): void;
}

/**
 * Returns the report of each live entry instance, with those that have not
 * confirmed before the timeout.
 */
export async function awaitGeneration(
  options: AwaitGenerationOptions,
): Promise<InstanceReport[]> {
  const {clock, timeoutMs, listInstances, onProgress} = options;
  const deadline = clock.now() + timeoutMs;
  const reports = new Map<string, InstanceReport>();

  async function refreshReport(instance: ListedInstance) {
    reports.set(instance.name, await fetchReport(instance, options));
  }

  for (;;) {
    const entries = (await listInstances()).filter(
      ({role, state}) => role === 'entry' && state === 'live',
    );
    const pending = entries.filter(({name}) => !isSettled(reports.get(name)));
    await runBounded(pending, refreshReport);
    const current = entries.map(({name}) => reports.get(name)!);
    onProgress?.(current.filter(isSettled).length, entries.length);
    if (current.every(isSettled) || clock.now() >= deadline) return current;
    await waitFor(clock, ROUND_PAUSE_MS);
  }
}

/** Whether asking again would change nothing. */
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

/**
 * Runs the task for each item, with at most MAX_CONCURRENT_REQUESTS at the same
 * time.
 */
async function runBounded<Item>(
  items: readonly Item[],
  task: (item: Item) => Promise<void>,
) {
  const queue = [...items];
  const workers = Array.from({length: MAX_CONCURRENT_REQUESTS}, async () => {
    for (let item = queue.shift(); item; item = queue.shift()) await task(item);
  });
  await Promise.all(workers);
}
