/** Which kind of instance a settings file is for. */

/** `gateway`: on the operators' platform; `instance`: on table and object services. */
export type SettingsKind = 'gateway' | 'instance';

/** Told by the one key of the platform's section that only a gateway has. */
export function findSettingsKind(text: string): SettingsKind {
  const section = /^\s*\[platform\]([^[]*)/m.exec(text)?.[1] ?? '';
  return /^\s*store\s*=/m.test(section) ? 'gateway' : 'instance';
}
