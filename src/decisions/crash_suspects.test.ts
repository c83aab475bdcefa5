import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../plays/random.js';
import {
  ANSWER_VALIDITY_MS,
  ANSWERED_WEIGHT,
  QUARANTINE_MS,
  QUARANTINE_WEIGHT,
  isCleared,
  FIRST_QUARANTINE_MS,
  TIE_WEIGHT,
  UNANSWERED_WEIGHT,
  type CrashRecord,
} from './crash_evidence.js';
import {decideQuarantined} from './crash_suspects.js';

const PAUSE_MS = 1000;

/** One crash of a different endpoint for each list of lost contents. */
function makeCrashes(...crashes: string[][]): CrashRecord[] {
  return crashes.flatMap((contents, index) =>
    contents.map(content => ({
      content: content.replace('+', ''),
      endpoint: `i-${index}`,
      endedAt: index * PAUSE_MS,
      hadAnswer: content.endsWith('+'),
    })),
  );
}

function listQuarantined(records: readonly CrashRecord[], now = 0): string[] {
  return [...decideQuarantined(records, now).keys()].sort();
}

describe('contents that crash endpoints', () => {
  it('are quarantined after three crashes, not before', () => {
    assert.deepEqual(listQuarantined(makeCrashes(['x'], ['x'])), []);
    assert.deepEqual(listQuarantined(makeCrashes(['x'], ['x'], ['x'])), ['x']);
  });

  it('are quarantined although others were lost with them', () => {
    const records = makeCrashes(['x', 'a', 'b'], ['x', 'a'], ['x', 'c', 'b']);
    assert.deepEqual(listQuarantined(records), ['x']);
  });

  it('are both quarantined when two occur at the same time', () => {
    const records = makeCrashes(
      ['x', 'a'],
      ['y', 'a'],
      ['x'],
      ['y'],
      ['x', 'y'],
      ['y'],
      ['x'],
    );
    assert.deepEqual(listQuarantined(records), ['x', 'y']);
  });

  it('are quarantined briefly at first, so that an answer can clear them', () => {
    const records = makeCrashes(['x'], ['x'], ['x']);
    const {until, crashes} = decideQuarantined(records, 0).get('x')!;
    assert.deepEqual([crashes, until], [3, 2 * PAUSE_MS + FIRST_QUARANTINE_MS]);
  });

  it('are quarantined for long once they crash another endpoint', () => {
    const records = makeCrashes(['x'], ['x'], ['x'], ['x']);
    const {until, crashes} = decideQuarantined(records, 0).get('x')!;
    assert.deepEqual([crashes, until], [4, 3 * PAUSE_MS + QUARANTINE_MS]);
    assert.deepEqual(listQuarantined(records, until), []);
  });

  it('are quarantined later when their answers had begun', () => {
    const most = Math.ceil(QUARANTINE_WEIGHT / ANSWERED_WEIGHT);
    const crashes = Array<string[]>(most).fill(['x+']);
    assert.deepEqual(listQuarantined(makeCrashes(...crashes.slice(1))), []);
    assert.deepEqual(listQuarantined(makeCrashes(...crashes)), ['x']);
  });

  it('count a crash once regardless of how many instances report it', () => {
    const once = makeCrashes(['x', 'x', 'x']);
    const later = once.map(each => ({...each, endedAt: each.endedAt + 100}));
    assert.deepEqual(listQuarantined([...once, ...later]), []);
  });

  it('count repeated crashes of an endpoint with the same name', () => {
    const records = makeCrashes(['x'], ['x'], ['x']);
    const flapping = records.map((each, index) => ({
      ...each,
      endpoint: 'i-0',
      endedAt: index * 5 * PAUSE_MS,
    }));
    assert.deepEqual(listQuarantined(flapping), ['x']);
  });
});

describe('a content that was answered', () => {
  const [record] = makeCrashes(['x']);

  it('is cleared of crashes before the answer and just after it', () => {
    assert.ok(isCleared(record, record.endedAt + QUARANTINE_MS));
    assert.ok(isCleared(record, record.endedAt - 1));
    assert.ok(!isCleared(record, undefined));
  });

  // Guards against clearing a content forever that crashes a later model
  // version.
  it('is not cleared of crashes long after the answer', () => {
    assert.ok(!isCleared(record, record.endedAt - ANSWER_VALIDITY_MS));
  });
});

describe('contents that were lost with the cause', () => {
  it('are not quarantined, even after three crashes', () => {
    const records = makeCrashes(['x', 'a'], ['x', 'a'], ['x', 'a'], ['x']);
    assert.deepEqual(listQuarantined(records), ['x']);
  });

  it('are not quarantined for three crashes of different causes', () => {
    const records = makeCrashes(
      ['x', 'a'],
      ['x'],
      ['y', 'a'],
      ['y'],
      ['x', 'a'],
      ['y'],
    );
    assert.deepEqual(listQuarantined(records), ['x', 'y']);
  });

  it('may run like the cause while they cannot be distinguished', () => {
    const crash = ['x', 'a'];
    const three = makeCrashes(crash, crash, crash);
    assert.deepEqual(listQuarantined(three), []);
    const most = TIE_WEIGHT / UNANSWERED_WEIGHT;
    const all = makeCrashes(...Array<string[]>(most).fill(crash));
    assert.deepEqual(listQuarantined(all), ['a', 'x']);
  });

  it('are distinguished by an answer that had begun', () => {
    const crash = ['x', 'a+'];
    assert.deepEqual(listQuarantined(makeCrashes(crash, crash, crash)), ['x']);
  });

  // Guards against a quarantine of requests that are only retried during a
  // series of crashes: 13 endpoints, 8 runs on each, each repeated until it is
  // answered.
  it('are quarantined in at most 1 of 1000 interrupted requests', () => {
    const {interrupted, quarantined} = simulateCrashes(200);
    assert.ok(interrupted > 1000, `${interrupted} interrupted`);
    assert.ok(
      quarantined <= interrupted / 1000,
      `${quarantined} of ${interrupted}`,
    );
  });

  // Guards against a quarantine of a long answer that a series of crashes
  // interrupted three times in its middle: its bundle was never complete.
  it('are not quarantined when long answers are interrupted in the middle', () => {
    const records = makeCrashes(['x+', 'a+'], ['x+', 'b+'], ['x+', 'c']);
    assert.deepEqual(listQuarantined(records), []);
  });
});

/**
 * Simulates rounds of crashes in a small deployment. Counts the innocent
 * contents that were interrupted, and those of them that were ever quarantined.
 */
function simulateCrashes(days: number) {
  const random = createRandom(7);
  let interrupted = 0;
  let quarantined = 0;
  for (let day = 0; day < days; day++) {
    const records: CrashRecord[] = [];
    const everQuarantined = new Set<string>();
    const waiting: string[] = [];
    const everInterrupted = new Set<string>();
    for (let round = 0; round < 6; round++) {
      const beside = Array.from({length: 1 + Math.floor(random.draw() * 7)});
      const contents = beside.map((_, index) => {
        // A quarter of the interrupted contents runs on the next crashing
        // endpoint.
        const again = random.draw() < 0.25 ? waiting.pop() : undefined;
        return again ?? `d${day} r${round} ${index}`;
      });
      for (const content of ['x', ...new Set(contents)]) {
        records.push({
          content,
          endpoint: `i-${round}`,
          endedAt: round * PAUSE_MS,
          hadAnswer: content !== 'x' && random.draw() < 0.6,
        });
      }
      waiting.splice(0, Infinity, ...contents);
      contents.forEach(each => everInterrupted.add(each));
      for (const each of listQuarantined(records)) everQuarantined.add(each);
    }
    assert.ok(everQuarantined.delete('x'), 'the cause is quarantined');
    interrupted += everInterrupted.size;
    quarantined += everQuarantined.size;
  }
  return {interrupted, quarantined};
}
