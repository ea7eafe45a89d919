/** What a backend connection has of its session, and what makes it what the next request needs. */
import { queryMessage } from '@nutmegcourse/protocol'
import { DEFAULT_SETTINGS_KEY, type CallerSettings } from './callerSettings.js'
import type { ConnectionStatements } from './connectionStatements.js'

const DISCARD_ALL = queryMessage('DISCARD ALL')
const MODE_MESSAGES = {
  readOnly: queryMessage('SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY'),
  readWrite: queryMessage('SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE'),
} as const

/** Marks a connection whose state only DISCARD ALL makes known again; no caller's key is like it. */
const DIRTY_KEY = '\0dirty'

export class ConnectionSetup {
  readonly #statements: ConnectionStatements
  #mode: 'unknown' | keyof typeof MODE_MESSAGES = 'unknown'
  #settingsKey = DEFAULT_SETTINGS_KEY

  constructor(statements: ConnectionStatements) {
    this.#statements = statements
  }

  /** The queries that must run ahead of a request, taken as done from here on. */
  prepare(settings: CallerSettings, readOnly: boolean): Buffer[] {
    const queries: Buffer[] = []
    if (this.#settingsKey !== settings.key) this.#switchSettings(settings, queries)
    const mode = readOnly ? 'readOnly' : 'readWrite'
    if (this.#mode !== mode) queries.push(MODE_MESSAGES[mode])
    this.#mode = mode
    return queries
  }

  /** What the connection has of its session is not known to be anyone's. */
  markDirty(): void {
    this.#settingsKey = DIRTY_KEY
  }

  /** The request that just ended set the connection up as its caller wants it. */
  recordSettings(settings: CallerSettings): void {
    this.#settingsKey = settings.key
    this.#mode = 'unknown'
  }

  /** The request that just ended reset everything, prepared statements too. */
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
