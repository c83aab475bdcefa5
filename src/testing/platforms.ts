/** Platforms that tests run against: in memory, and over the wire protocols. */
import {createSystemClock} from '../common/clock.js';
import {createMetrics} from '../common/metrics.js';
import {createPlatform} from '../stores/create_platform.js';
import type {Platform} from '../stores/platform.js';
import {parseSettings} from '../instance/settings.js';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '../stand_ins/platform/memory_platform.js';
import {startPlatformServer} from '../stand_ins/platform/platform_server.js';
import {SETTINGS_TEXT} from './fixtures.js';

/** A platform under test, and the in-memory platform that holds its data. */
export interface TestedPlatform {
  platform: Platform;
  memory: MemoryPlatform;
  close(): Promise<void>;
}

/** Ways to reach a platform; the same tests run against each. */
export const TESTED_PLATFORMS: Record<string, () => Promise<TestedPlatform>> = {
  async 'in memory'() {
    const memory = createMemoryPlatform();
    return {platform: memory, memory, close: async () => {}};
  },
  'over its protocols': startConnectedPlatform,
};

/** Builds a settings file whose `[platform]` section has these entries. */
export function buildSettingsText(platform: Record<string, string>): string {
  const lines = Object.entries(platform).map(
    ([name, value]) => `${name} = ${value}`,
  );
  return SETTINGS_TEXT.replace(
    /\[platform\][^[]*/,
    `[platform]\n${lines.join('\n')}\n`,
  );
}

/** Starts a platform server and connects the real adapters to it. */
export async function startConnectedPlatform() {
  const server = await startPlatformServer();
  const text = buildSettingsText(server.settings);
  const settings = parseSettings(text, 'test settings');
  const platform = createPlatform(settings.platform, {
    clock: createSystemClock(),
    metrics: createMetrics(),
  });
  return {
    platform,
    memory: server.platform,
    settings: server.settings,
    async close() {
      await platform.close();
      await server.close();
    },
  };
}
