/** Selects how the quarantine treats a request, by its class of work. */
import type {WorkClass} from '../../decisions/scheduler_types.js';
import type {ContentGuard} from './quarantine.js';

const GUARDS: Record<WorkClass, (guard: ContentGuard) => ContentGuard> = {
  online: guard => guard,
  // Items do not crash endpoints by themselves. An item that was lost in crashes is
  // still owed, and its losses are no evidence against other requests.
  batch: ({noteAnswered}) => ({
    noteAnswered,
    checkQuarantine() {},
    isSuspected: () => false,
    async acquireTrial() {
      return undefined;
    },
    async noteLoss() {},
  }),
};

/** Returns the guard that holds for requests of a class. */
export function selectGuard(
  guard: ContentGuard,
  workClass: WorkClass,
): ContentGuard {
  return GUARDS[workClass](guard);
}
