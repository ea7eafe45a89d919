/**
 * Holds back requests that must not be sent twice for some turns of the event loop, so that whatever has
 * arrived already is read before they are sent: the end of their connection, or a newer snapshot.
 */

/**
 * The first turn may handle only what was polled before a stall. The second reads what has arrived since,
 * and the third the end of a connection, which is read a turn after the bytes before it.
 */
const TURNS = 3

interface DeferredSend {
  readonly send: () => void
  readonly dueTurn: number
}

export class DeferredSends {
  /** In the order in which they were added, in which they are due as well. */
  #waiting: DeferredSend[] = []
  #turnsPassed = 0
  #turn: NodeJS.Immediate | null = null

  add(send: () => void): void {
    this.#waiting.push({ send, dueTurn: this.#turnsPassed + TURNS })
    this.#awaitTurn()
  }

  /** Drops what waits. */
  clear(): void {
    this.#waiting = []
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
    this.#turnsPassed += 1
    const firstLater = this.#waiting.findIndex(each => each.dueTurn > this.#turnsPassed)
    const dueCount = firstLater === -1 ? this.#waiting.length : firstLater
    const due = this.#waiting.splice(0, dueCount)
    if (this.#waiting.length > 0) this.#awaitTurn()
    for (const { send } of due) send()
  }
}
