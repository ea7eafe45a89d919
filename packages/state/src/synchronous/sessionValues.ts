/**
 * A caller's session values and prepared statements, which follow the session from connection to connection, and the
 * commands that a connection needs before a statement of the session may run on it.
 */
import type { OwnCommand, StatementEffect } from '@nutmegcourse/protocol'

export interface PreparedStatement {
  readonly effect: StatementEffect
  readonly shape: string
}

/**
 * The values and prepared statements that were acknowledged to the caller. They never change: each change makes new
 * ones, so that a statement keeps those with which it arrived.
 */
export class SessionValues {
  readonly values: ReadonlyMap<string, string>
  readonly prepared: ReadonlyMap<string, PreparedStatement>

  constructor(
    values: ReadonlyMap<string, string> = new Map(),
    prepared: ReadonlyMap<string, PreparedStatement> = new Map(),
  ) {
    this.values = values
    this.prepared = prepared
  }

  withValue(name: string, value: string): SessionValues {
    return new SessionValues(new Map(this.values).set(name, value), this.prepared)
  }

  withPrepared(name: string, statement: PreparedStatement): SessionValues {
    return new SessionValues(this.values, new Map(this.prepared).set(name, statement))
  }

  withoutPrepared(name: string): SessionValues {
    const prepared = new Map(this.prepared)
    prepared.delete(name)
    return new SessionValues(this.values, prepared)
  }
}

/** Per connection; beyond that the oldest prepared statement is closed. */
const MAX_PREPARED_STATEMENTS = 64

/** The session values and prepared statements of one connection to a backend server. */
export class ConnectionValues {
  readonly #values = new Map<string, string>()
  /** Keyed by effect and shape, not by the callers' names: those collide, and most callers share shapes. */
  readonly #prepared = new Map<string, string>()
  #lastNameNumber = 0
  #isUncertain = false

  /** The server may have lost values or prepared statements, so the connection is reset before its next use. */
  invalidate(): void {
    this.#isUncertain = true
  }

  /** Returns how many values must change before the session can use the connection. */
  distance(session: SessionValues): number {
    if (this.#isUncertain) return session.values.size + 1
    let differing = 0
    for (const [name, value] of session.values) if (this.#values.get(name) !== value) differing += 1
    for (const name of this.#values.keys()) if (!session.values.has(name)) differing += 1
    return differing
  }

  /**
   * Returns the commands that give the connection exactly the session's values, and records them as sent. Within a
   * transaction no reset is possible, so values that the session does not have remain.
   */
  commandsToAdopt(session: SessionValues, isInTransaction: boolean): OwnCommand[] {
    const commands: OwnCommand[] = []
    if (!isInTransaction && this.#needsReset(session)) {
      commands.push({ kind: 'reset' })
      this.#values.clear()
      this.#prepared.clear()
      this.#isUncertain = false
    }
    for (const [name, value] of session.values) {
      if (this.#values.get(name) === value) continue
      this.#values.set(name, value)
      commands.push({ kind: 'set', name, value })
    }
    // Whether a rollback undoes values depends on the server, so they are not relied on afterwards.
    if (isInTransaction && commands.length > 0) this.#isUncertain = true
    return commands
  }

  /** Returns the connection's own name for a prepared statement, and the commands needed to prepare it. */
  prepare(statement: PreparedStatement): {
    readonly name: string
    readonly commands: OwnCommand[]
  } {
    const { effect, shape } = statement
    const key = `${effect} ${shape}`
    const known = this.#prepared.get(key)
    if (known !== undefined) return { name: known, commands: [] }
    const commands = this.#evictOldest()
    this.#lastNameNumber += 1
    const name = `n${String(this.#lastNameNumber)}`
    this.#prepared.set(key, name)
    commands.push({ kind: 'prepare', name, effect, shape })
    return { name, commands }
  }

  #evictOldest(): OwnCommand[] {
    const [oldest] = this.#prepared
    if (this.#prepared.size < MAX_PREPARED_STATEMENTS || oldest === undefined) return []
    this.#prepared.delete(oldest[0])
    return [{ kind: 'close', name: oldest[1] }]
  }

  /** Values that the session does not have can be removed by a reset only. */
  #needsReset(session: SessionValues): boolean {
    if (this.#isUncertain) return true
    for (const name of this.#values.keys()) if (!session.values.has(name)) return true
    return false
  }
}
