/**
 * Holds back requests that must not be sent twice for two turns of the event loop, so that whatever has
 * arrived already is read before they are sent: the end of their connection, or a newer snapshot. One
 * turn is not enough: an answer and the end of the connection behind it are read in different turns.
 */
export class DeferredSends {
  /** Added since the last turn. */
  #new: (() => void)[] = []
  /** Waited for one turn. */
  #due: (() => void)[] = []
  #turn: NodeJS.Immediate | null = null

  add(send: () => void): void {
    this.#new.push(send)
    this.#awaitTurn()
  }

  /** Drops what waits. */
  clear(): void {
    this.#new = []
    this.#due = []
    if (this.#turn !== null) clearImmediate(this.#turn)
    this.#turn = null
  }

  #awaitTurn(): void {
    this.#turn ??= setImmediate(() => {
      this.#turn = null
      this.#endTurn()
    })
  }

  #endTurn(): void {
    const due = this.#due
    this.#due = this.#new
    this.#new = []
    if (this.#due.length > 0) this.#awaitTurn()
    for (const send of due) send()
  }
}
