/** The proxy's prepared statements on one backend connection, least recently used first. */

/** Prepared statements per connection. Limited, since their plans use memory of the backend server. */
export const STATEMENT_LIMIT = 256

export class ConnectionStatements {
  readonly #limit: number
  readonly #names = new Set<string>()

  constructor(limit = STATEMENT_LIMIT) {
    this.#limit = limit
  }

  /** Returns whether the statement is prepared, and marks it as most recently used. */
  touch(name: string): boolean {
    if (!this.#names.delete(name)) return false
    this.#names.add(name)
    return true
  }

  add(name: string): void {
    this.#names.delete(name)
    this.#names.add(name)
  }

  remove(name: string): void {
    this.#names.delete(name)
  }

  clear(): void {
    this.#names.clear()
  }

  /** Removes statements over the limit and returns their names, which must be closed on the server. */
  evictOverLimit(): readonly string[] {
    const evicted: string[] = []
    for (const name of this.#names) {
      if (this.#names.size <= this.#limit) break
      this.#names.delete(name)
      evicted.push(name)
    }
    return evicted
  }
}
