/** Checks that the settings and documents in examples/ are valid and their instances start. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {createSystemClock} from '../common/clock.js';
import {createSilentLog} from '../common/log.js';
import {applyServiceDocument} from '../instance/configuration/apply_document.js';
import {startInstance, type Instance} from '../instance/instance.js';
import {parseGatewaySettings} from '../instance/gateway_settings.js';
import {parseSettings} from '../instance/settings.js';
import {createMemoryPlatform} from '../stand_ins/platform/memory_platform.js';
import {findSourcePath} from '../testing/golden.js';

const DEPLOYMENTS = {
  tongkang: 'drum-reader.ini',
  ubda: 'wayleave-llm.ini',
};

function readExample(deployment: string, file: string): string {
  const path = findSourcePath('..', 'examples', deployment, file);
  return readFileSync(path, 'utf8');
}

/** Replaces the ports by 0, a free port, so that tests can run in parallel. */
function replacePorts(text: string): string {
  return text.replace(/^(callers|operators|peers) = (.*):\d+$/gm, '$1 = $2:0');
}

describe('examples', () => {
  for (const [deployment, service] of Object.entries(DEPLOYMENTS)) {
    it(`${deployment} starts with its document active`, async () => {
      const platform = createMemoryPlatform();
      await applyServiceDocument(
        platform.table,
        readExample(deployment, service),
        'test',
      );
      const folder = findSourcePath('..', 'examples', deployment);
      const files = readdirSync(folder).filter(name =>
        name.startsWith('entry-'),
      );
      assert.equal(files.length, 10);
      const instances: Instance[] = [];
      for (const file of files) {
        const text = replacePorts(readExample(deployment, file));
        instances.push(
          await startInstance({
            settings: parseSettings(text, join(deployment, file)),
            platform,
            clock: createSystemClock(),
            log: createSilentLog(),
          }),
        );
      }
      for (const {operatorsAddress} of instances) {
        const ready = await fetch(`http://${operatorsAddress}/readyz`);
        assert.equal(await ready.text(), 'ready\n');
      }
      await Promise.all(instances.map(instance => instance.halt()));
    });
  }

  for (const deployment of Object.keys(DEPLOYMENTS)) {
    it(`${deployment}: the gateway's settings are valid`, () => {
      const text = readExample(deployment, 'gateway.ini');
      const settings = parseGatewaySettings(text, 'gateway.ini');
      assert.ok(settings.instance.failure_domain in settings.regions);
    });
  }
});
