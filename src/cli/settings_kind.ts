/** Detects which kind of instance a settings file is for. */

/**
 * `gateway` runs on the operators' platform, `instance` on a table service and an object
 * service.
 */
export type SettingsKind = 'gateway' | 'instance';

/** Only a gateway has the key `store` in the section `[platform]`. */
export function detectSettingsKind(text: string): SettingsKind {
  const section = /^\s*\[platform\]([^[]*)/m.exec(text)?.[1] ?? '';
  return /^\s*store\s*=/m.test(section) ? 'gateway' : 'instance';
}
