/**
 * Named prepared statements over pooled connections. The proxy prepares each distinct text once per
 * connection, under a generated name that is never reused for another text.
 */
import { readStatementComment, type StatementComment } from '@nutmegcourse/protocol'

export interface PreparedStatement {
  /** The generated name on backend servers; empty for a caller's unnamed statement. */
  readonly serverName: string
  /** The part of Parse after the name: the text and the parameter types. */
  readonly body: Buffer
  readonly comment: StatementComment
}

interface CatalogEntry {
  readonly statement: PreparedStatement
  references: number
}

const UNNAMED = ''
const SERVER_NAME_PREFIX = 'nutmegcourse_'

/** Shared by all callers of a proxy, so that equal texts are stored and prepared once. */
export class StatementCatalog {
  readonly #entries = new Map<string, CatalogEntry>()
  #lastNumber = 0

  get size(): number {
    return this.#entries.size
  }

  acquire(body: Buffer): PreparedStatement {
    const key = body.toString('latin1')
    const existing = this.#entries.get(key)
    if (existing !== undefined) {
      existing.references += 1
      return existing.statement
    }
    this.#lastNumber += 1
    const statement = describeStatement(`${SERVER_NAME_PREFIX}${this.#lastNumber}`, body)
    this.#entries.set(key, { statement, references: 1 })
    return statement
  }

  /** Releases one reference. Without references the text is removed, but its name is never reused. */
  release(statement: PreparedStatement): void {
    const key = statement.body.toString('latin1')
    const entry = this.#entries.get(key)
    if (entry?.statement !== statement) return
    entry.references -= 1
    if (entry.references === 0) this.#entries.delete(key)
  }
}

/** Copies the body, so that a small text does not keep a whole socket chunk in memory. */
export function describeStatement(serverName: string, body: Buffer): PreparedStatement {
  const textEnd = body.indexOf(0)
  return {
    serverName,
    body: Buffer.from(body),
    comment: readStatementComment(body, 0, textEnd < 0 ? body.length : textEnd),
  }
}

/** The prepared statements of one caller by the caller's names. */
export class CallerStatements {
  readonly #catalog: StatementCatalog
  #named: Map<string, PreparedStatement> | null = null
  #unnamed: PreparedStatement | null = null

  constructor(catalog: StatementCatalog) {
    this.#catalog = catalog
  }

  find(name: string): PreparedStatement | null {
    return name === UNNAMED ? this.#unnamed : (this.#named?.get(name) ?? null)
  }

  define(name: string, body: Buffer): PreparedStatement {
    if (name === UNNAMED) {
      this.#unnamed = describeStatement(UNNAMED, body)
      return this.#unnamed
    }
    const statement = this.#catalog.acquire(body)
    this.remove(name)
    this.#named ??= new Map()
    this.#named.set(name, statement)
    return statement
  }

  remove(name: string): void {
    if (name === UNNAMED) {
      this.#unnamed = null
      return
    }
    const statement = this.#named?.get(name)
    if (statement === undefined) return
    this.#named?.delete(name)
    this.#catalog.release(statement)
  }

  /** Removes a definition that the backend server refused, unless the name was redefined since. */
  removeDefinition(name: string, statement: PreparedStatement): void {
    if (this.find(name) === statement) this.remove(name)
  }

  clear(): void {
    for (const statement of this.#named?.values() ?? []) this.#catalog.release(statement)
    this.#named = null
    this.#unnamed = null
  }
}
