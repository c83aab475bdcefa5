/**
 * Reports of held slots. A dispatcher that has just taken over learns from them
 * what runs on its endpoints, and one whose grant was lost on the way learns
 * that nobody holds the slot.
 *
 * Failure they answer: while views of who dispatches differ, the end of a
 * request is told to the dispatcher before, and the new one counts its slot as
 * taken. Symptom: after an instance was lost, or only suspected for a moment,
 * half of the endpoints get no work for as long as such slots take to expire.
 * So a pool's new dispatcher is told at once, and a report lists all that its
 * sender holds: a slot of the sender that is not in it is free. An empty report
 * says the most, so pools are reported on for some time after their last slot.
 */
import {groupBy} from '../../common/collections.js';
import type {ReportInput} from './dispatch_schemas.js';
import {encodeRequest} from './dispatch_router.js';
import type {HeldSlot} from './held_slots.js';
import type {PoolDirectory} from './pool_directory.js';
import {EMPTY_REPORTS} from './constants.js';

/** What dispatchers are told. */
export interface SlotReporter {
  /** The report for each dispatcher by its peer address. */
  build(held: readonly HeldSlot[], now: number): Map<string, SlotReport>;
  /** Pools whose dispatcher is another one than they were reported to. */
  listMoved(): MovedPool[];
}

/** A pool that another instance dispatches for now. */
export interface MovedPool {
  pool: string;
  /** Peer addresses; `to` undefined when the pool is gone. */
  from: string;
  to: string | undefined;
}

/** The pools of one dispatcher, and every slot of theirs. */
export type SlotReport = Pick<ReportInput, 'pools' | 'slots'>;

interface ReportedPool {
  service: string;
  dispatcher: string;
  /** Reports that follow although no slot is held any more. */
  emptyReportsLeft: number;
}

/** Starts without pools. */
export function createSlotReporter(directory: PoolDirectory): SlotReporter {
  const reported = new Map<string, ReportedPool>();

  function notePool(pool: string, service: string) {
    const dispatcher = directory.findDispatcherOf(service, pool);
    if (dispatcher === undefined) reported.delete(pool);
    else {
      const emptyReportsLeft = EMPTY_REPORTS;
      reported.set(pool, {service, dispatcher, emptyReportsLeft});
    }
  }

  /** Pools without slots are kept for some reports. */
  function noteEmpty(pool: string, {service, emptyReportsLeft}: ReportedPool) {
    const dispatcher = directory.findDispatcherOf(service, pool);
    if (dispatcher === undefined || emptyReportsLeft === 0) {
      reported.delete(pool);
      return;
    }
    const left = emptyReportsLeft - 1;
    reported.set(pool, {service, dispatcher, emptyReportsLeft: left});
  }

  return {
    build(held, now) {
      const slotsByPool = groupBy(held, ({pool}) => pool);
      for (const [pool, entry] of [...reported]) {
        if (!slotsByPool.has(pool)) noteEmpty(pool, entry);
      }
      for (const [pool, [{service}]] of slotsByPool) notePool(pool, service);
      const reports = new Map<string, SlotReport>();
      for (const [pool, {dispatcher}] of reported) {
        const report = reports.get(dispatcher) ?? {pools: [], slots: []};
        reports.set(dispatcher, report);
        report.pools.push(pool);
        const slots = slotsByPool.get(pool) ?? [];
        report.slots.push(...slots.map(slot => encodeSlot(slot, now)));
      }
      return reports;
    },
    listMoved: () =>
      [...reported]
        .map(([pool, {service, dispatcher}]) => {
          const to = directory.findDispatcherOf(service, pool);
          return {pool, from: dispatcher, to};
        })
        .filter(({from, to}) => from !== to),
  };
}

/** A held slot as it is told to a dispatcher. */
export function encodeSlot(
  slot: HeldSlot,
  now: number,
): ReportInput['slots'][number] {
  return {
    service: slot.service,
    pool: slot.pool,
    endpoint: slot.endpoint,
    request: encodeRequest(slot.request, now),
  };
}
