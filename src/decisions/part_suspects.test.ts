/** Which parts of prompts are held responsible for crashes, and which are not. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../plays/random.js';
import {
  ANSWER_VALIDITY_MS,
  FIRST_QUARANTINE_MS,
  QUARANTINE_MS,
  type CrashRecord,
} from './crash_evidence.js';
import {decideQuarantined} from './crash_suspects.js';
import {collectAnswers, countCrashes, decideParts} from './part_suspects.js';

const PAUSE_MS = 1000;
const NEVER = () => undefined;

let contents = 0;

/** A run of a content of its own; `hadAnswer` if it was cut off in its answer. */
function makeRun(
  parts: readonly string[],
  overrides: Partial<CrashRecord> = {},
): Omit<CrashRecord, 'endpoint' | 'endedAt'> {
  return {content: `c${contents++}`, parts, hadAnswer: false, ...overrides};
}

type Run = ReturnType<typeof makeRun>;

/** One crash of a different endpoint for each list of runs. */
function makeCrashes(crashes: readonly Run[][]): CrashRecord[] {
  return crashes.flatMap((runs, index) =>
    runs.map(run => ({
      ...run,
      endpoint: `i-${index}`,
      endedAt: index * PAUSE_MS,
    })),
  );
}

function makeSeries(count: number, makeCrash: () => Run[]): CrashRecord[] {
  return makeCrashes(Array.from({length: count}, makeCrash));
}

function listQuarantined(
  records: readonly CrashRecord[],
  findAnswer: (part: string) => number | undefined = NEVER,
): string[] {
  return [...decideParts(records, findAnswer, 0).quarantined.keys()].sort();
}

const cut = (...parts: string[]) => makeRun(parts, {hadAnswer: true});

describe('a part that crashes endpoints', () => {
  it('is quarantined after three crashes, whatever else was lost', () => {
    const makeCrash = () => [makeRun(['c', 'p']), cut('c'), cut('c', 'm')];
    assert.deepEqual(listQuarantined(makeSeries(2, makeCrash)), []);
    assert.deepEqual(listQuarantined(makeSeries(3, makeCrash)), ['p']);
  });

  it('is quarantined for long after one more crash, and runs in trials', () => {
    const three = decideParts(
      makeSeries(3, () => [makeRun(['p'])]),
      NEVER,
      0,
    );
    const {until} = three.quarantined.get('p')!;
    assert.equal(until, 2 * PAUSE_MS + FIRST_QUARANTINE_MS);
    assert.deepEqual([...three.suspects], ['p']);
    const four = decideParts(
      makeSeries(4, () => [makeRun(['p'])]),
      NEVER,
      0,
    );
    assert.equal(
      four.quarantined.get('p')!.until,
      3 * PAUSE_MS + QUARANTINE_MS,
    );
  });

  // Guards against a part that all other requests of the route share as well: no
  // instance has answered any of them lately.
  it('is told from what all prompts share, by five crashes at the latest', () => {
    const makeCrash = () => [makeRun(['c', 'p']), makeRun(['c'])];
    assert.deepEqual(listQuarantined(makeSeries(5, makeCrash)), ['p']);
    const alone = makeSeries(5, () => [makeRun(['c', 'p'])]);
    assert.deepEqual(listQuarantined(alone), ['p']);
  });

  it('is found where it crashes endpoints in the middle of the answer', () => {
    const makeCrash = () => [cut('c', 'p'), cut('c')];
    const records = makeSeries(5, makeCrash);
    const findAnswer = (part: string) => (part === 'c' ? 0 : undefined);
    assert.deepEqual(listQuarantined(records, findAnswer), ['p']);
  });

  it('is found although another one crashes endpoints at the same time', () => {
    const records = makeCrashes([
      [makeRun(['c', 'p'])],
      [makeRun(['c', 'q'])],
      [makeRun(['c', 'p']), cut('c')],
      [makeRun(['c', 'q'])],
      [makeRun(['c', 'p'])],
      [makeRun(['c', 'q'])],
    ]);
    const findAnswer = (part: string) => (part === 'c' ? 0 : undefined);
    assert.deepEqual(listQuarantined(records, findAnswer), ['p', 'q']);
  });

  // Guards against requests of which each is tried at several endpoints: two of them
  // crash five.
  it('is quarantined after five crashes under two contents', () => {
    const [one, two] = [makeRun(['c', 'p']), makeRun(['c', 'p'])];
    const records = makeCrashes([[one], [one], [one], [two], [two]]);
    const findAnswer = (part: string) => (part === 'c' ? 0 : undefined);
    assert.deepEqual(listQuarantined(records, findAnswer), ['p']);
  });

  // Guards against contents that were lost with it and count as causes themselves.
  it('explains its crashes, so that no content is quarantined for them', () => {
    const innocent = makeRun(['c']);
    const records = makeSeries(4, () => [makeRun(['c', 'p']), innocent]);
    assert.deepEqual(
      [...decideQuarantined(records, 0).keys()],
      [innocent.content],
    );
    const findAnswer = (part: string) => (part === 'c' ? 0 : undefined);
    const {unexplained} = decideParts(records, findAnswer, 0);
    assert.deepEqual([...decideQuarantined(unexplained, 0).keys()], []);
  });
});

describe('a part that was lost with the cause', () => {
  // Guards against holding back the sound requests of an account or route.
  it('is not quarantined if it was answered lately, here or elsewhere', () => {
    const makeCrash = () => [makeRun(['c']), makeRun(['c'])];
    const records = makeSeries(6, makeCrash);
    assert.deepEqual(listQuarantined(records), ['c']);
    assert.deepEqual(
      listQuarantined(records, () => 6 * PAUSE_MS),
      [],
    );
    const answered: CrashRecord = {
      content: 'sound',
      parts: ['c'],
      endpoint: 'answered',
      endedAt: 6 * PAUSE_MS,
      hadAnswer: true,
      wasAnswered: true,
    };
    assert.deepEqual(listQuarantined([...records, answered]), []);
    assert.equal(collectAnswers([answered]).get('c'), answered.endedAt);
    const later = makeSeries(3, () => [makeRun(['c'])]).map(run => ({
      ...run,
      endedAt: run.endedAt + answered.endedAt + ANSWER_VALIDITY_MS,
      endpoint: `${run.endpoint} again`,
    }));
    assert.deepEqual(listQuarantined([answered, ...later]), ['c']);
  });

  // Guards against holding back what all prompts share, at instances that have answered
  // none of them yet: a guilty request was tried twice, beside a sound one.
  it('is not quarantined while a narrower part was lost in each of its crashes', () => {
    const [one, two] = [makeRun(['c', 'p']), makeRun(['c', 'p'])];
    const three = [[one], [two], [two, makeRun(['c'])]];
    assert.deepEqual(listQuarantined(makeCrashes(three)), []);
    const four = [...three, [makeRun(['c', 'p']), makeRun(['c'])]];
    assert.deepEqual(listQuarantined(makeCrashes(four)), ['p']);
  });

  it('is not quarantined for one content that crashes endpoints by itself', () => {
    const deadly = makeRun(['c', 'own']);
    const records = makeSeries(5, () => [deadly, cut('c')]);
    assert.deepEqual(listQuarantined(records), []);
    assert.deepEqual(
      [...decideQuarantined(records, 0).keys()],
      [deadly.content],
    );
  });

  it('counts for the record of an answer from its second crash on', () => {
    const records = makeSeries(2, () => [makeRun(['c']), cut('c', 'm')]);
    const counts = countCrashes(records);
    assert.deepEqual(counts.get('c'), {crashes: 2, lastAt: PAUSE_MS});
    assert.deepEqual(counts.get('m'), {crashes: 2, lastAt: PAUSE_MS});
  });

  // Guards against a quarantine of parts in a series of crashes that no request caused:
  // 13 endpoints with 8 runs, a common part, and 30 parts of which each prompt has one.
  it('is held back in at most 1 of 100 series without a guilty part', () => {
    const {series, withQuarantine} = simulateSeries(400);
    assert.ok(
      withQuarantine <= series / 100,
      `${withQuarantine} of ${series} series`,
    );
  });

  it('is never held back beside a guilty part in 200 series', () => {
    const {wrong, missed} = simulateSeries(200, 'p');
    assert.deepEqual({wrong, missed}, {wrong: 0, missed: 0});
  });
});

/**
 * Simulates series of six crashes. Requests are answered between the crashes, so that
 * most parts are cleared on the instance that decides.
 */
function simulateSeries(series: number, guilty?: string) {
  const random = createRandom(11);
  let withQuarantine = 0;
  let wrong = 0;
  let missed = 0;
  const drawPart = () => `m${Math.floor(random.draw() * 30)}`;
  for (let count = 0; count < series; count++) {
    const answeredAt = new Map<string, number>();
    const records: CrashRecord[] = [];
    for (let crash = 0; crash < 6; crash++) {
      const endedAt = crash * PAUSE_MS;
      for (let each = 0; each < 20; each++) {
        answeredAt.set('c', endedAt);
        answeredAt.set(drawPart(), endedAt);
      }
      const beside = Array.from({length: 1 + Math.floor(random.draw() * 7)});
      const runs = beside.map(() =>
        makeRun(['c', drawPart()], {hadAnswer: random.draw() < 0.6}),
      );
      if (guilty) runs.push(makeRun(['c', guilty, drawPart()]));
      const endpoint = `s${count} i-${crash}`;
      records.push(...runs.map(run => ({...run, endpoint, endedAt})));
    }
    const held = listQuarantined(records, part => answeredAt.get(part));
    if (held.length > 0) withQuarantine++;
    if (held.some(part => part !== guilty)) wrong++;
    if (guilty && !held.includes(guilty)) missed++;
  }
  return {series, withQuarantine, wrong, missed};
}
