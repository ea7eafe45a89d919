/** Priority queue of the work that waits for a connection. */
import TinyQueue from 'tinyqueue'
import type { Milliseconds } from '@nutmegcourse/shared'

export interface Waiter {
  /** 0 is served first; operators rank their classes of work. */
  readonly priority: number
  /** Within one priority the earliest deadline is served first, because waiting costs it most. */
  readonly deadline: Milliseconds
}

interface QueueEntry<Kind extends Waiter> {
  readonly waiter: Kind
  readonly order: number
}

export class WaitQueue<Kind extends Waiter> {
  readonly #entries = new TinyQueue<QueueEntry<Kind>>([], compareEntries)
  readonly #waiting = new Set<Kind>()
  #order = 0

  get size(): number {
    return this.#waiting.size
  }

  /** Returns how many waiters would be served before one of this priority and deadline. */
  countAhead(newcomer: Waiter): number {
    let ahead = 0
    for (const waiter of this.#waiting) if (compareWaiters(waiter, newcomer) <= 0) ahead += 1
    return ahead
  }

  enqueue(waiter: Kind): void {
    this.#order += 1
    this.#waiting.add(waiter)
    this.#entries.push({ waiter, order: this.#order })
  }

  remove(waiter: Kind): void {
    this.#waiting.delete(waiter)
  }

  /** All waiters, in the order of arrival. */
  waiting(): Iterable<Kind> {
    return this.#waiting
  }

  /** The waiter to be served next, without removing it. */
  get first(): Kind | null {
    for (;;) {
      const entry = this.#entries.peek()
      if (entry === undefined) return null
      if (this.#waiting.has(entry.waiter)) return entry.waiter
      this.#entries.pop()
    }
  }

  /** Removes and returns the first waiter that fits; those skipped keep their order. */
  dequeue(fits: (waiter: Kind) => boolean = () => true): Kind | null {
    const skipped: QueueEntry<Kind>[] = []
    const found = this.#dequeueEntry(fits, skipped)
    for (const entry of skipped) this.#entries.push(entry)
    if (found === null) return null
    this.#waiting.delete(found.waiter)
    return found.waiter
  }

  #dequeueEntry(
    fits: (waiter: Kind) => boolean,
    skipped: QueueEntry<Kind>[],
  ): QueueEntry<Kind> | null {
    for (;;) {
      const entry = this.#entries.pop()
      if (entry === undefined) return null
      if (!this.#waiting.has(entry.waiter)) continue
      if (fits(entry.waiter)) return entry
      skipped.push(entry)
    }
  }

  takeAll(): Kind[] {
    const all: Kind[] = []
    for (let waiter = this.dequeue(); waiter !== null; waiter = this.dequeue()) all.push(waiter)
    return all
  }
}

const compareWaiters = (left: Waiter, right: Waiter): number =>
  left.priority - right.priority || left.deadline - right.deadline

const compareEntries = (left: QueueEntry<Waiter>, right: QueueEntry<Waiter>): number =>
  compareWaiters(left.waiter, right.waiter) || left.order - right.order
