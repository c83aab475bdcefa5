/** Checks that the pages generated from code are up to date. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startSiteFleet} from '../../../platform/stand_in/site_fleet.js';
import {createSystemClock} from '../../common/clock.js';
import {createSilentLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {startInstance} from '../../instance/instance.js';
import {createPlatform} from '../../stores/create_platform.js';
import {makeSettings} from '../../testing/fixtures.js';
import {assertGolden} from '../../testing/golden.js';
import {renderMetricsPage} from './metrics_page.js';
import {renderConfigurationPage} from './configuration_page.js';

describe('docs', () => {
  it('CONFIGURATION.md matches the schemas', () => {
    const page = renderConfigurationPage();
    assert.doesNotMatch(page, /\| {2}\|$/m, 'each key has a description');
    assertGolden('../docs/CONFIGURATION.md', page);
  });

  it('METRICS.md lists the metrics that an instance and a gateway register', async () => {
    const clock = createSystemClock();
    const metrics = createMetrics();
    const settings = makeSettings('entry-1');
    const platform = createPlatform(settings.platform, {clock, metrics});
    const instance = await startInstance({
      settings,
      platform,
      clock,
      log: createSilentLog(),
      metrics,
    });
    await instance.halt();
    await platform.close();
    const fleet = await startSiteFleet();
    const own = metrics.list();
    const names = new Set(own.map(({name}) => name));
    const others = fleet.gateways[0].metrics
      .list()
      .filter(({name}) => !names.has(name));
    await fleet.close();
    assertGolden('../docs/METRICS.md', renderMetricsPage([...own, ...others]));
  });
});
