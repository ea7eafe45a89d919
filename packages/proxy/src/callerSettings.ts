/**
 * The session settings of one caller. Pooled connections are shared, so the caller's SET statements
 * are recorded and run again on each connection that its requests use.
 */

/** SET statements recorded per caller. A caller that exceeds the limit is disconnected with an error. */
export const SETTINGS_LIMIT = 64
const SETTINGS_LIMIT_CHARACTERS = 16 * 1024

/** Key of a new connection's settings. */
export const DEFAULT_SETTINGS_KEY = ''

export class CallerSettings {
  #statements: readonly string[] = []
  #key = DEFAULT_SETTINGS_KEY

  /** Equal keys mean equal settings; an empty key means default settings. */
  get key(): string {
    return this.#key
  }

  get statements(): readonly string[] {
    return this.#statements
  }

  /** Returns false if a limit is exceeded. A repeated statement moves to the end. */
  add(statement: string): boolean {
    const statements = [...this.#statements.filter(recorded => recorded !== statement), statement]
    const key = statements.join('\0')
    if (statements.length > SETTINGS_LIMIT || key.length > SETTINGS_LIMIT_CHARACTERS) return false
    this.#statements = statements
    this.#key = key
    return true
  }

  clear(): void {
    this.#statements = []
    this.#key = DEFAULT_SETTINGS_KEY
  }
}

/** Startup parameters that are not session settings of the backend server. */
const NON_SETTING_PARAMETERS = new Set([
  'user',
  'database',
  'options',
  'replication',
  'application_name',
])
const PROXY_OPTION_PREFIX = 'nutmegcourse.'
/** Values that a new connection already has. */
const DEFAULT_VALUES = new Map([['client_encoding', /^(?:utf-?8|unicode)$/i]])
const SETTING_NAME = /^[A-Za-z_][A-Za-z0-9_.]*$/

/** Converts startup parameters to equivalent SET statements. */
export function toSetStatements(parameters: Iterable<readonly [string, string]>): string[] {
  const statements: string[] = []
  for (const [name, value] of parameters) {
    if (NON_SETTING_PARAMETERS.has(name) || name.startsWith(PROXY_OPTION_PREFIX)) continue
    if (name.startsWith('_pq_.') || !SETTING_NAME.test(name)) continue
    const unquoted = value.replace(/^'(.*)'$/s, '$1')
    if (DEFAULT_VALUES.get(name)?.test(unquoted) === true) continue
    statements.push(`SET ${name} TO '${unquoted.replaceAll("'", "''")}'`)
  }
  return statements
}
