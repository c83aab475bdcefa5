/**
 * An in-memory platform with the faults that real platforms have. It enforces
 * conditions and transactions as the real services do.
 */
import {createSystemClock, type Clock} from '../../common/clock.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Platform} from '../../stores/platform.js';
import {createMemoryObjects} from './memory_objects.js';
import {createMemoryTable, type MemoryTable} from './memory_table.js';
import {
  createFaultGate,
  type PlatformCounts,
  type PlatformFaults,
} from './platform_faults.js';

export {isConditionMet} from '../../stores/table_store.js';
export type {PlatformFaults} from './platform_faults.js';

/** The in-memory platform with the controls for a test. */
export interface MemoryPlatform extends Platform {
  table: MemoryTable;
  /** Faults to inject; change them in place. */
  faults: PlatformFaults;
  /** Replaces the instance list; readers see it after `instanceListLagMs`. */
  setInstances(instances: ListedInstance[]): void;
  /** Returns the current list, without the lag. */
  getInstances(): ListedInstance[];
  /** Counts of the calls to the platform. */
  counts: PlatformCounts;
}

/** Creates an empty platform without faults; `clock` times all delays. */
export function createMemoryPlatform(
  clock: Clock = createSystemClock(),
): MemoryPlatform {
  const gate = createFaultGate(clock);
  const changes: {at: number; instances: ListedInstance[]}[] = [];

  function findListed(now: number): ListedInstance[] {
    const lag = gate.faults.instanceListLagMs;
    const visible = changes.findLast(change => change.at + lag <= now);
    return visible?.instances ?? [];
  }

  return {
    faults: gate.faults,
    counts: gate.counts,
    setInstances(instances) {
      changes.push({at: clock.now(), instances: structuredClone(instances)});
    },
    getInstances: () => structuredClone(changes.at(-1)?.instances ?? []),
    table: createMemoryTable(gate),
    objects: createMemoryObjects(gate),
    instances: {
      async fetch() {
        await gate.enter('instances', 'read');
        return structuredClone(findListed(clock.now()));
      },
    },
  };
}
