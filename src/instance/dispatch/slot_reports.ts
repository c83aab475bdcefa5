/**
 * Reports of held slots. From them a dispatcher that has just taken over learns
 * what runs on its endpoints, and a dispatcher whose grant was lost learns that
 * no instance holds the slot.
 *
 * Without the reports, slots leak while instances disagree on which instance
 * dispatches: the end of a request is reported to the previous dispatcher, and
 * the new one counts the slot as taken. After an instance was lost, or only
 * briefly suspected, half of the endpoints then get no work until such slots
 * expire.
 *
 * Therefore a pool's new dispatcher gets a report at once. Each report lists
 * all slots that its sender holds in a pool, so that the dispatcher can free
 * the others. Empty reports are sent for some time after the last slot of a
 * pool, because they free the slots that remain.
 */
import {groupBy} from '../../common/collections.js';
import type {ReportInput} from './dispatch_schemas.js';
import {encodeRequest} from './dispatch_router.js';
import type {HeldSlot} from './held_slots.js';
import type {PoolDirectory} from './pool_directory.js';
import {EMPTY_REPORT_COUNT} from './constants.js';

/** Builds the reports for the dispatchers of this instance's slots. */
export interface SlotReporter {
  /** Builds the reports, keyed by the dispatcher's peer address. */
  build(held: readonly HeldSlot[], now: number): Map<string, SlotReport>;
  /** Lists pools whose dispatcher has changed since they were last reported. */
  listMoved(): MovedPool[];
}

/** A pool whose dispatcher has changed. */
export interface MovedPool {
  pool: string;
  /** Peer addresses; `to` is undefined when the pool no longer exists. */
  from: string;
  to: string | undefined;
}

/** The pools of one dispatcher, and all slots held in them. */
export type SlotReport = Pick<ReportInput, 'pools' | 'slots'>;

interface ReportedPool {
  service: string;
  dispatcher: string;
  /** Reports still to send although no slot is held any more. */
  emptyReportsLeft: number;
}

/** Creates a reporter that has not reported any pool yet. */
export function createSlotReporter(directory: PoolDirectory): SlotReporter {
  const reported = new Map<string, ReportedPool>();

  function notePool(pool: string, service: string) {
    const dispatcher = directory.findDispatcherOf(service, pool);
    if (dispatcher === undefined) reported.delete(pool);
    else {
      const emptyReportsLeft = EMPTY_REPORT_COUNT;
      reported.set(pool, {service, dispatcher, emptyReportsLeft});
    }
  }

  /** Counts one empty report of a pool, and removes the pool after the last. */
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

/** Converts a held slot to the form in which it is reported. */
export function encodeSlot(
  slot: HeldSlot,
  now: number,
): ReportInput['slots'][number] {
  return {
    service: slot.service,
    pool: slot.pool,
    endpoint: slot.endpoint,
    // The factor only matters while a request waits.
    request: encodeRequest({...slot.request, maxFactor: undefined}, now),
  };
}
