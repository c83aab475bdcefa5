/** Runs one owned segment group by group until all results are committed. */
import {generateId} from '../../common/ids.js';
import {batchItemSchema, type BatchItem} from './bundle_check.js';
import {buildErrorLine, type ItemLine} from './item_lines.js';
import type {ItemRunner} from './item_runner.js';
import {buildItemsName, buildResultName, type ResultPart} from './records.js';
import {
  buildIntent,
  buildProgress,
  buildRelease,
  planStep,
  type SegmentRules,
  type SegmentStep,
} from './segment_plan.js';
import type {OwnedSegment} from './segment_store.js';
import type {SegmentWriter} from './segment_writer.js';
import type {WorkWindow} from './work_window.js';

/** One segment to run. */
export interface SegmentTask {
  segment: OwnedSegment;
  service: string;
  /** Part of the names of the objects that contain the items. */
  upload: string;
  window: WorkWindow;
  rules: SegmentRules;
  /** Aborted when the job ended or the lease is lost; nothing is committed. */
  stop: AbortSignal;
  /** Aborted on shutdown; no more items start, finished items are committed. */
  drain: AbortSignal;
  /** Called when an item is started and when it has ended. */
  onItem: (event: 'begun' | 'succeeded' | 'failed') => void;
  /** Called with the number of items once they are loaded. */
  onLoaded: (items: number) => void;
  /** Called with each record that was written. */
  onRecord: (segment: OwnedSegment) => void;
}

/** How the run of a segment ended. */
export type SegmentEnd = 'done' | 'released' | 'lost';

/** Runs a segment. */
export type SegmentRunner = (task: SegmentTask) => Promise<SegmentEnd>;

/**
 * Results of a group; items that were not started or not finished have none.
 */
interface GroupResult {
  lines: (ItemLine | undefined)[];
  begun: number;
}

/** Creates a runner that runs items with `items` and commits with `writer`. */
export function createSegmentRunner(
  items: ItemRunner,
  writer: SegmentWriter,
): SegmentRunner {
  function loadItems(task: SegmentTask): Promise<string[] | undefined> {
    const name = buildItemsName(task.upload, task.segment.index);
    return writer.getLines(name, task.stop);
  }

  /** Starts items in order as the window permits, and awaits them all. */
  async function runGroup(
    task: SegmentTask,
    texts: readonly string[],
  ): Promise<GroupResult> {
    const lines: (ItemLine | undefined)[] = texts.map(() => undefined);
    const running: Promise<void>[] = [];
    const stopOrDrain = AbortSignal.any([task.stop, task.drain]);
    // If items may not run twice, those that may have been sent are awaited
    // even on shutdown.
    const drain = task.rules.idempotent ? task.drain : task.stop;
    for (const [index, text] of texts.entries()) {
      const permit = await task.window.acquire(stopOrDrain);
      if (!permit) break;
      task.onItem('begun');
      const run = items.run(
        {
          account: task.segment.account,
          service: task.service,
          item: parseStoredItem(text),
          window: task.window,
          stop: task.stop,
          drain,
        },
        permit,
      );
      running.push(
        run.then(line => {
          lines[index] = line;
          if (line) task.onItem(line.succeeded ? 'succeeded' : 'failed');
        }),
      );
    }
    await Promise.all(running);
    return {lines, begun: running.length};
  }

  /** Commits the next results; undefined when the segment is lost. */
  async function commitLines(
    task: SegmentTask,
    segment: OwnedSegment,
    lines: readonly ItemLine[],
    total: number,
  ): Promise<OwnedSegment | undefined> {
    const {jobId, index, record} = segment;
    const name = buildResultName(jobId, index, record.epoch, record.done);
    const body = Buffer.from(lines.map(({text}) => `${text}\n`).join(''));
    if (!(await writer.putObject(name, body, task.stop))) return undefined;
    const next = buildProgress(record, buildPart(name, body, lines), total);
    return writeNext(task, segment, next);
  }

  async function writeNext(
    task: SegmentTask,
    segment: OwnedSegment,
    next: OwnedSegment['record'],
  ): Promise<OwnedSegment | undefined> {
    const {stop} = task;
    const outcome = await writer.writeRecord(segment, next, stop);
    if (outcome.kind === 'lost') return undefined;
    task.onRecord(outcome.segment);
    return outcome.segment;
  }

  const STEP_HANDLERS: {
    [Kind in Exclude<SegmentStep['kind'], 'finished'>]: (
      task: SegmentTask,
      segment: OwnedSegment,
      step: Extract<SegmentStep, {kind: Kind}>,
      texts: readonly string[],
    ) => Promise<OwnedSegment | undefined>;
  } = {
    async settle(task, segment, {from, to}, texts) {
      const lines = texts.slice(from, to).map(buildSettledLine);
      lines.forEach(() => task.onItem('failed'));
      return commitLines(task, segment, lines, texts.length);
    },
    async run(task, segment, {from, to, recordIntent}, texts) {
      const owned = recordIntent
        ? await writeNext(task, segment, buildIntent(segment.record, to))
        : segment;
      if (!owned) return undefined;
      const {lines, begun} = await runGroup(task, texts.slice(from, to));
      if (task.stop.aborted) return undefined;
      const finished = selectLeading(lines);
      const next =
        finished.length > 0
          ? await commitLines(task, owned, finished, texts.length)
          : owned;
      if (!next || finished.length === to - from) return next;
      const released = buildRelease(next.record, from + begun, task.rules);
      return writeNext(task, next, released);
    },
  };

  return async function runSegment(task) {
    const texts = await loadItems(task);
    if (!texts) return 'lost';
    task.onLoaded(texts.length);
    let segment: OwnedSegment | undefined = task.segment;
    for (;;) {
      if (!segment) return 'lost';
      if (segment.record.state === 'released') return 'released';
      const step = planStep(segment.record, texts.length, task.rules);
      if (step.kind === 'finished') return 'done';
      segment = await (step.kind === 'run'
        ? STEP_HANDLERS.run(task, segment, step, texts)
        : STEP_HANDLERS.settle(task, segment, step, texts));
    }
  };
}

/** Selects the lines before the first missing one, as commits are in order. */
function selectLeading(lines: readonly (ItemLine | undefined)[]): ItemLine[] {
  const missing = lines.indexOf(undefined);
  return lines.slice(0, missing < 0 ? undefined : missing) as ItemLine[];
}

function buildPart(
  object: string,
  body: Buffer,
  lines: readonly ItemLine[],
): ResultPart {
  const completed = lines.filter(({succeeded}) => succeeded).length;
  return {
    object,
    items: lines.length,
    bytes: body.length,
    completed,
    failed: lines.length - completed,
  };
}

/** Parses an item, which was validated when the bundle was uploaded. */
function parseStoredItem(text: string): BatchItem {
  return batchItemSchema.parse(JSON.parse(text));
}

function buildSettledLine(text: string): ItemLine {
  const {custom_id: customId} = parseStoredItem(text);
  return buildErrorLine(customId, generateId('item'), {
    code: 'endpoint_failed',
    message: 'the instance that ran it was lost; it is not run again',
    verdict: 'may-have-run',
  });
}
