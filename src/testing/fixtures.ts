/** Settings, service documents and endpoints that tests use. */
import type {ListedInstance} from '../stores/instance_list.js';
import type {ContentGuard} from '../instance/quarantine/quarantine.js';
import {parseSettings, type Settings} from '../instance/settings.js';

/** Document of a service of model engines with two accounts. */
export const ENGINE_DOCUMENT = `[service]
name = drum-reader
kind = model-engine
models = drum-reader-7b

[account.gate]
rate = 50/s
burst = 20

[account.planner]
rate = 20/s
burst = 5
`;

/** Settings file whose listeners use free ports on loopback. */
export const SETTINGS_TEXT = `[instance]
name = entry-1
region = klang
failure_domain = klang-a
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
table_url = http://127.0.0.1:1
object_url = http://127.0.0.1:1
instances_url = http://127.0.0.1:1
access_key_id = test
secret_access_key = test
[peers]
key = 0123456789abcdef0123456789abcdef
[shutdown]
notice = 0ms
[log]
level = error
`;

/** Parses `SETTINGS_TEXT` for an instance called `name`. */
export function makeSettings(name = 'entry-1'): Settings {
  const text = SETTINGS_TEXT.replace('entry-1', name);
  return parseSettings(text, 'test settings');
}

/** Creates an endpoint as the platform lists it. */
export function makeEndpoint(
  address: string,
  overrides: Partial<ListedInstance> = {},
): ListedInstance {
  return {
    name: `endpoint-${address.split(':')[1]}`,
    role: 'endpoint',
    address,
    region: 'klang',
    failureDomain: 'klang-a',
    service: 'drum-reader',
    state: 'live',
    ...overrides,
  };
}

/** A content guard that quarantines nothing. */
export const IDLE_GUARD: ContentGuard = {
  checkQuarantine() {},
  isSuspected: () => false,
  acquireTrial: async () => undefined,
  async noteLoss() {},
  noteAnswered() {},
};
