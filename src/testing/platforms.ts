/** Platforms that tests run against: in memory, and over its protocols. */
import {createSystemClock} from '../common/clock.js';
import {createMetrics} from '../common/metrics.js';
import {createPlatform} from '../platform/create_platform.js';
import type {Platform} from '../platform/platform.js';
import {parseSettings} from '../instance/settings.js';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '../stand_ins/platform/memory_platform.js';
import {createPlatformServer} from '../stand_ins/platform/platform_server.js';
import {SETTINGS_TEXT} from './fixtures.js';

/** A platform under test, and the memory behind it. */
export interface TestedPlatform {
  platform: Platform;
  memory: MemoryPlatform;
  close(): Promise<void>;
}

/** Ways to reach a platform; the same tests hold of each. */
export const TESTED_PLATFORMS: Record<string, () => Promise<TestedPlatform>> = {
  async 'in memory'() {
    const memory = createMemoryPlatform();
    return {platform: memory, memory, close: async () => {}};
  },
  'over its protocols': startConnectedPlatform,
};

/** A platform server and the adapters that speak to it. */
export async function startConnectedPlatform(): Promise<TestedPlatform> {
  const server = await createPlatformServer();
  const lines = Object.entries(server.settings).map(
    ([name, value]) => `${name} = ${value}`,
  );
  const settings = parseSettings(
    SETTINGS_TEXT.replace(
      /\[platform\][^[]*/,
      `[platform]\n${lines.join('\n')}\n`,
    ),
    'test settings',
  );
  const platform = createPlatform(settings.platform, {
    clock: createSystemClock(),
    metrics: createMetrics(),
  });
  return {
    platform,
    memory: server.platform,
    async close() {
      await platform.close();
      await server.close();
    },
  };
}
