/** Which of the proxy's prepared statements one backend connection holds, least recently used first. */

/** Plans cost a backend server memory, so a connection keeps a bounded number of them. */
export const STATEMENT_LIMIT = 256

export class ConnectionStatements {
  readonly #limit: number
  readonly #names = new Set<string>()

  constructor(limit = STATEMENT_LIMIT) {
    this.#limit = limit
  }

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

  /** Takes out what is over the limit, for the caller of this method to close on the server. */
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
