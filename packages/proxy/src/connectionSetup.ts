/** Tracks the session state of a backend connection and adapts it to the next request. */
import { queryMessage } from '@nutmegcourse/protocol'
import { DEFAULT_SETTINGS_KEY, type CallerSettings } from './callerSettings.js'
import type { ConnectionStatements } from './connectionStatements.js'

const DISCARD_ALL = queryMessage('DISCARD ALL')
const MODE_MESSAGES = {
  readOnly: queryMessage('SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY'),
  readWrite: queryMessage('SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE'),
} as const

/** Marks a connection with unknown state that needs DISCARD ALL. No caller's key equals it. */
const DIRTY_KEY = '\0dirty'

export class ConnectionSetup {
  readonly #statements: ConnectionStatements
  #mode: 'unknown' | keyof typeof MODE_MESSAGES = 'unknown'
  #settingsKey = DEFAULT_SETTINGS_KEY

  constructor(statements: ConnectionStatements) {
    this.#statements = statements
  }

  /** Returns the queries that must run before a request, and records their effect as done. */
  prepare(settings: CallerSettings, readOnly: boolean): Buffer[] {
    const queries: Buffer[] = []
    if (this.#settingsKey !== settings.key) this.#switchSettings(settings, queries)
    const mode = readOnly ? 'readOnly' : 'readWrite'
    if (this.#mode !== mode) queries.push(MODE_MESSAGES[mode])
    this.#mode = mode
    return queries
  }

  /** Records that the session state is unknown. */
  markDirty(): void {
    this.#settingsKey = DIRTY_KEY
  }

  /** Records that the connection has the caller's settings, which may have changed its transaction mode. */
  recordSettings(settings: CallerSettings): void {
    this.#settingsKey = settings.key
    this.#mode = 'unknown'
  }

  /** Records that the request that just ended reset the session, including prepared statements. */
  recordDiscardAll(): void {
    this.#settingsKey = DEFAULT_SETTINGS_KEY
    this.#mode = 'unknown'
    this.#statements.clear()
  }

  recordDeallocateAll(): void {
    this.#statements.clear()
  }

  #switchSettings(settings: CallerSettings, queries: Buffer[]): void {
    if (this.#settingsKey !== DEFAULT_SETTINGS_KEY) {
      queries.push(DISCARD_ALL)
      this.#statements.clear()
    }
    for (const statement of settings.statements) queries.push(queryMessage(statement))
    this.recordSettings(settings)
  }
}
