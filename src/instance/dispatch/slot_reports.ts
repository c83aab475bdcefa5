/**
 * Reports of held slots. A dispatcher that has just taken over learns from them
 * what runs on its endpoints, and one whose grant was lost on the way learns
 * that nobody holds the slot.
 */
import {groupBy} from '../../common/collections.js';
import type {ReportInput} from './dispatch_schemas.js';
import {encodeRequest} from './dispatch_router.js';
import type {HeldSlot} from './held_slots.js';
import type {PoolDirectory} from './pool_directory.js';

/** The report for each dispatcher by its peer address. */
export function buildSlotReports(
  held: readonly HeldSlot[],
  directory: PoolDirectory,
  now: number,
): Map<string, ReportInput['slots']> {
  const reports = new Map<string, ReportInput['slots']>();
  for (const [, slots] of groupBy(held, slot => slot.pool)) {
    const [{service, pool}] = slots;
    const address = directory.findDispatcherOf(service, pool);
    if (address === undefined) continue;
    const report = reports.get(address) ?? [];
    reports.set(address, report);
    report.push(...slots.map(slot => encodeSlot(slot, now)));
  }
  return reports;
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
