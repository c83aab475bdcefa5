/** Simulates every scenario and checks its expectations. */
import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {describe, it} from 'node:test';
import {findSourcePath} from '../testing/golden.js';
import {checkScenario} from './expectations.js';
import {parseScenario, PlaySyntaxError} from './scenario_language.js';

const directory = findSourcePath('plays', 'scenarios');

function loadScenario(file: string) {
  return parseScenario(readFileSync(`${directory}/${file}`, 'utf8'));
}

describe('simulated scenarios', () => {
  for (const file of readdirSync(directory).sort()) {
    it(file.replace('.play', ''), () => {
      const {expectations} = checkScenario(loadScenario(file));
      const unmet = expectations.filter(({isMet}) => !isMet);
      assert.deepEqual(unmet, []);
    });
  }

  it('give the same figures for the same seed', () => {
    const scenario = {...loadScenario('burst.play'), durationMs: 5000};
    const runs = [checkScenario(scenario), checkScenario(scenario)];
    assert.deepEqual(runs[0].expectations, runs[1].expectations);
    assert.deepEqual(runs[0].result.series, runs[1].result.series);
  });
});

describe('the scenario language', () => {
  it('reports the line that it cannot parse', () => {
    const text = 'play one\naccount a rate 1/s burst 1 load 1/s\nat 1s rain';
    assert.throws(() => parseScenario(text), PlaySyntaxError);
    assert.throws(() => parseScenario(text), /line 3: no event 'rain'/);
  });
});
