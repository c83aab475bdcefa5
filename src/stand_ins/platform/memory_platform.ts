/**
 * The platform's services in memory, with the faults they are known for.
 * Conditions and transactions are enforced as the real ones enforce them.
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

export {isConditionMet as isMet} from '../../stores/table_store.js';
export type {PlatformFaults} from './platform_faults.js';

/** The in-memory platform with its controls. */
export interface MemoryPlatform extends Platform {
  table: MemoryTable;
  /** Changed in place; see PlatformFaults. */
  faults: PlatformFaults;
  /** Replaces the instance list; seen after its lag. */
  setInstances(instances: ListedInstance[]): void;
  /** The list as it is now, without lag. */
  getInstances(): ListedInstance[];
  /** Calls that reached the store. */
  counts: PlatformCounts;
}

/** Starts empty and healthy. Slowness, capacity and lag pass on `clock`. */
export function createMemoryPlatform(
  clock: Clock = createSystemClock(),
): MemoryPlatform {
  const gate = createFaultGate(clock);
  const changes: {at: number; instances: ListedInstance[]}[] = [];

  function findListed(now: number): ListedInstance[] {
    const lag = gate.faults.instanceListLagMs;
    const shown = changes.findLast(change => change.at + lag <= now);
    return shown?.instances ?? [];
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
