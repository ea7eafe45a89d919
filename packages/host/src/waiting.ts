/**
 * Cancellable delays, deadlines for promises, and a signal that can be awaited with a timeout.
 *
 * @internal
 */
import { milliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'

/** A delay that can be cancelled. After that, `over` never resolves. */
export interface Delay {
  readonly over: Promise<void>
  cancel(): void
}

export function startDelay(span: number): Delay {
  let timer: NodeJS.Timeout | null = null
  const over = new Promise<void>(resolve => {
    timer = setTimeout(resolve, Math.max(0, span))
  })
  return {
    over,
    cancel: () => {
      if (timer !== null) clearTimeout(timer)
    },
  }
}

export const sleep = (span: number): Promise<void> => startDelay(span).over

export const OVERDUE = Symbol('overdue')

/**
 * The resolved value, or `OVERDUE` if the promise has not settled by `deadline`. After a stall of this process its
 * timers may run before its sockets are read, so what has arrived by the deadline is read first.
 */
export async function withDeadline<Value>(
  value: Promise<Value>,
  deadline: Milliseconds,
  clock: Clock,
): Promise<Value | typeof OVERDUE> {
  const limit = startDelay(deadline - clock.now())
  const overdue = limit.over.then(readSockets).then((): typeof OVERDUE => OVERDUE)
  const first = await Promise.race([value, overdue])
  limit.cancel()
  return first
}

/** Resolves after the event loop has read its sockets. */
const readSockets = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

/** The first answer that is not null; null once there is none. */
export function firstAnswer<Answer>(
  attempts: readonly Promise<Answer | null>[],
): Promise<Answer | null> {
  return new Promise(resolve => {
    let left = attempts.length
    if (left === 0) resolve(null)
    for (const attempt of attempts) {
      void attempt.then(answer => {
        left -= 1
        if (answer !== null || left === 0) resolve(answer)
      })
    }
  })
}

/** Wakes all current waiters when raised; each waits with a timeout of its own. */
export class Signal {
  #waiting = new Set<() => void>()

  /** Whether there are waiters. */
  get isAwaited(): boolean {
    return this.#waiting.size > 0
  }

  /** Wakes all current waiters. */
  raise(): void {
    const waiting = this.#waiting
    this.#waiting = new Set()
    for (const wake of waiting) wake()
  }

  /** Resolves at the next `raise`, or after `span` milliseconds at the latest. */
  wait(span: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, Math.max(0, span))
      this.#waiting.add(wake)
    })
  }
}

/** Ends attempts that are no longer needed: what waits is withdrawn, and what was not sent is not sent any more. */
export class Withdrawal {
  readonly #listeners = new Set<() => void>()
  #isWithdrawn = false

  get isWithdrawn(): boolean {
    return this.#isWithdrawn
  }

  withdraw(): void {
    this.#isWithdrawn = true
    for (const listener of [...this.#listeners]) listener()
    this.#listeners.clear()
  }

  /** Calls the listener when it is withdrawn, until the returned function is called. */
  onWithdrawn(listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => {
      this.#listeners.delete(listener)
    }
  }
}

export const earlier = (left: number, right: number): Milliseconds =>
  milliseconds(Math.min(left, right))
