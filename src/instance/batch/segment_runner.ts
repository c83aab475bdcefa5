/** Works one owned segment, group by group, to its last committed result. */
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

/** One segment to work. */
export interface SegmentTask {
  segment: OwnedSegment;
  service: string;
  /** Names the objects that hold the items. */
  upload: string;
  window: WorkWindow;
  rules: SegmentRules;
  /** Aborted when the job ended or the lease is lost: nothing is committed. */
  stop: AbortSignal;
  /** Aborted on shutdown: no more items begin, what is done is committed. */
  drain: AbortSignal;
  /** Told of each item that begins and ends. */
  onItem: (event: 'begun' | 'succeeded' | 'failed') => void;
  /** Told of the number of items, once it is known. */
  onLoaded: (items: number) => void;
  /** Told of each record that was written. */
  onRecord: (segment: OwnedSegment) => void;
}

/** How the work on a segment ended. */
export type SegmentEnd = 'done' | 'released' | 'lost';

/** Works segments. */
export type SegmentRunner = (task: SegmentTask) => Promise<SegmentEnd>;

/** Results of a group; what was not begun or has no result is missing. */
interface GroupResult {
  lines: (ItemLine | undefined)[];
  begun: number;
}

/** Ties segments to the running of items. */
export function createSegmentRunner(
  items: ItemRunner,
  writer: SegmentWriter,
): SegmentRunner {
  async function loadItems(task: SegmentTask): Promise<string[] | undefined> {
    const name = buildItemsName(task.upload, task.segment.index);
    const body = await writer.getObject(name, task.stop);
    return body?.toString('utf8').trimEnd().split('\n');
  }

  /** Begins items in order as the window lets them, and awaits them all. */
  async function runGroup(
    task: SegmentTask,
    texts: readonly string[],
  ): Promise<GroupResult> {
    const lines: (ItemLine | undefined)[] = texts.map(() => undefined);
    const running: Promise<void>[] = [];
    const isOver = AbortSignal.any([task.stop, task.drain]);
    // Where none may run twice, what may have been sent is seen to its end.
    const drain = task.rules.idempotent ? task.drain : task.stop;
    for (const [index, text] of texts.entries()) {
      const permit = await task.window.acquire(isOver);
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

/** Lines up to the first that is missing: results are committed in order. */
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

/** Items were checked when the bundle was taken in. */
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
