/** Calls of the API whose content crashes each engine that runs them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {request} from 'undici';
import {
  makeChatRequest,
  startCallFleet,
  type CallFleet,
} from '../testing/call_fleet.js';
import {waitUntil} from '../testing/wait_until.js';

const PATH = '/v1/chat/completions';
const CRASHING = 'crash';
const CRASH_LIMIT = 3;
const LATE_SENDS = 3;

/** Maximum time until all instances have learned of the third crash, in ms. */
const PROPAGATION_TIMEOUT_MS = 3000;

async function withFleet(run: (fleet: CallFleet) => Promise<void>) {
  const fleet = await startCallFleet({instances: 2, engines: 12});
  for (const {options} of fleet.engines) options.endsOnPrompt = CRASHING;
  try {
    await run(fleet);
  } finally {
    await fleet.stop();
  }
}

function ask(fleet: CallFleet, content: string, instance: number) {
  const body = makeChatRequest(content, false);
  return fleet.send(PATH, {method: 'POST', body, instance});
}

function countCrashed({engines}: CallFleet): number {
  return engines.filter(({hasEnded}) => hasEnded()).length;
}

async function readQuarantinedCount(address: string): Promise<number> {
  const {body} = await request(`http://${address}/state`);
  const state = (await body.json()) as {quarantine?: {held: number}};
  return state.quarantine?.held ?? 0;
}

async function awaitPropagation({instances}: CallFleet) {
  const end = performance.now() + PROPAGATION_TIMEOUT_MS;
  await waitUntil(async () => {
    const held = await Promise.all(
      instances.map(({operatorsAddress}) =>
        readQuarantinedCount(operatorsAddress),
      ),
    );
    return held.every(count => count === 1) || performance.now() > end;
  });
}

describe('calls whose prompts begin with a text that crashes engines', () => {
  /** Longer than the blocks of which prompts have digests. */
  const CRASHING_TEXT = 'x'.repeat(1200);
  const SOUND_TEXT = 'y'.repeat(1200);

  // Guards against counting crashes for each content only: no two of the calls are alike.
  it('are no longer sent after five engines have crashed, and others are', () =>
    withFleet(async fleet => {
      for (const {options} of fleet.engines) {
        options.endsOnPromptPart = CRASHING_TEXT;
      }
      let sent = 0;
      const askNext = (text: string) =>
        ask(fleet, `${text} ${++sent}`, sent % 2);
      for (let turn = 0; turn < 8 && countCrashed(fleet) < 5; turn++) {
        await askNext(CRASHING_TEXT);
      }
      await awaitPropagation(fleet);
      const before = countCrashed(fleet);
      const answers = [];
      for (let turn = 0; turn < 2 * LATE_SENDS; turn++) {
        answers.push(await askNext(CRASHING_TEXT));
      }
      assert.ok(countCrashed(fleet) - before <= LATE_SENDS);
      const {status, text} = answers.at(-1)!;
      assert.equal(status, 503);
      assert.equal(JSON.parse(text).error.code, 'quarantined');
      fleet.listEndpoints(fleet.engines.filter(({hasEnded}) => hasEnded()));
      await waitUntil(async () => (await askNext(SOUND_TEXT)).status === 200);
    }));
});

describe('a call that crashes engines', () => {
  // Guards against counting attempts per call only: the same content, sent
  // again to any instance, crashed one engine after another.
  it('is no longer sent after three engines have crashed', () =>
    withFleet(async fleet => {
      for (let turn = 0; countCrashed(fleet) < CRASH_LIMIT; turn++) {
        await ask(fleet, CRASHING, turn % 2);
      }
      await awaitPropagation(fleet);
      const before = countCrashed(fleet);
      const answers = [];
      for (let turn = 0; turn < 2 * LATE_SENDS; turn++) {
        answers.push(await ask(fleet, CRASHING, turn % 2));
      }
      assert.ok(countCrashed(fleet) - before <= LATE_SENDS);
      const {status, text} = answers.at(-1)!;
      assert.equal(status, 503);
      assert.equal(JSON.parse(text).error.code, 'quarantined');
      fleet.listEndpoints(fleet.engines.filter(({hasEnded}) => hasEnded()));
      await waitUntil(
        async () => (await ask(fleet, 'drum 17', 1)).status === 200,
      );
    }));
});
