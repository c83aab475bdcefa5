/** Every scenario: what callers got against what the scenario expects. */
import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {describe, it} from 'node:test';
import {findSourcePath} from '../testing/golden.js';
import {checkPlay} from './expectations.js';
import {parsePlay, PlaySyntaxError} from './play_language.js';

const directory = findSourcePath('plays', 'scenarios');

function loadPlay(file: string) {
  return parsePlay(readFileSync(`${directory}/${file}`, 'utf8'));
}

describe('plays', () => {
  for (const file of readdirSync(directory).sort()) {
    it(file.replace('.play', ''), () => {
      const {expectations} = checkPlay(loadPlay(file));
      const broken = expectations.filter(({holds}) => !holds);
      assert.deepEqual(broken, []);
    });
  }

  it('give the same figures for the same seed', () => {
    const play = {...loadPlay('burst.play'), durationMs: 5000};
    const runs = [checkPlay(play), checkPlay(play)];
    assert.deepEqual(runs[0].expectations, runs[1].expectations);
    assert.deepEqual(runs[0].result.series, runs[1].result.series);
  });
});

describe('the language of plays', () => {
  it('names the line it cannot read', () => {
    const text = 'play one\naccount a rate 1/s burst 1 load 1/s\nat 1s rain';
    assert.throws(() => parsePlay(text), PlaySyntaxError);
    assert.throws(() => parsePlay(text), /line 3: no event 'rain'/);
  });
});
