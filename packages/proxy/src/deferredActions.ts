/**
 * Holds back actions for some turns of the event loop, so that whatever has arrived already is read before
 * they run: an answer, the end of a connection, or a newer snapshot.
 */

/**
 * The first turn may handle only what was polled before a stall. The second reads what has arrived since,
 * and the third the end of a connection, which is read a turn after the bytes before it.
 */
const TURNS = 3

interface DeferredAction {
  readonly run: () => void
  readonly dueTurn: number
}

export class DeferredActions {
  /** In the order in which they were added, in which they are due as well. */
  #waiting: DeferredAction[] = []
  #turnsPassed = 0
  #turn: NodeJS.Immediate | null = null

  add(run: () => void): void {
    this.#waiting.push({ run, dueTurn: this.#turnsPassed + TURNS })
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
    for (const { run } of due) run()
  }
}
