/**
 * A caller's session values and prepared statements, and what must be sent to a connection before a
 * statement of the session may run there. They follow the session from connection to connection.
 */
import type { OwnCommand, StatementEffect } from '@nutmegcourse/protocol'

export interface PreparedStatement {
  readonly effect: StatementEffect
  readonly shape: string
}

/** What a caller was told is in force. */
export class SessionValues {
  readonly values = new Map<string, string>()
  readonly prepared = new Map<string, PreparedStatement>()
}

/** Prepared statements that one connection keeps; the oldest goes when there are more. */
const PREPARED_KEPT = 64

/** What one connection to a backend server holds. */
export class ConnectionValues {
  readonly #values = new Map<string, string>()
  /** By effect and shape, not by the callers' names: those collide, and most callers share shapes. */
  readonly #prepared = new Map<string, string>()
  #lastName = 0
  #isUncertain = false

  /** Values may have been undone together with a transaction; the next user starts from nothing. */
  distrust(): void {
    this.#isUncertain = true
  }

  /** How many values must change before the session can use the connection. */
  distance(session: SessionValues): number {
    if (this.#isUncertain) return session.values.size + 1
    let differing = 0
    for (const [name, value] of session.values) if (this.#values.get(name) !== value) differing += 1
    for (const name of this.#values.keys()) if (!session.values.has(name)) differing += 1
    return differing
  }

  /** The commands that give the connection exactly the session's values, and notes them as sent. */
  adopt(session: SessionValues, isInTransaction: boolean): OwnCommand[] {
    const commands: OwnCommand[] = []
    if (!isInTransaction && this.#mustReset(session)) {
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
    // Whether a rollback undoes values is the server's affair; afterwards they are not relied on.
    if (isInTransaction && commands.length > 0) this.#isUncertain = true
    return commands
  }

  /** The connection's own name of a prepared statement, and what must be sent to have it. */
  prepare(statement: PreparedStatement): {
    readonly name: string
    readonly commands: OwnCommand[]
  } {
    const { effect, shape } = statement
    const key = `${effect} ${shape}`
    const known = this.#prepared.get(key)
    if (known !== undefined) return { name: known, commands: [] }
    const commands = this.#makeRoom()
    this.#lastName += 1
    const name = `n${String(this.#lastName)}`
    this.#prepared.set(key, name)
    commands.push({ kind: 'prepare', name, effect, shape })
    return { name, commands }
  }

  #makeRoom(): OwnCommand[] {
    const [oldest] = this.#prepared
    if (this.#prepared.size < PREPARED_KEPT || oldest === undefined) return []
    this.#prepared.delete(oldest[0])
    return [{ kind: 'close', name: oldest[1] }]
  }

  /** Only a reset takes a value away that the session does not have. */
  #mustReset(session: SessionValues): boolean {
    if (this.#isUncertain) return true
    for (const name of this.#values.keys()) if (!session.values.has(name)) return true
    return false
  }
}
