/**
 * The requests that wait for a connection of one pool, each until its deadline.
 *
 * @internal
 */
import type { Clock } from '@nutmegcourse/shared'
import { WaitQueue, type SessionValues, type Waiter } from '@nutmegcourse/state'
import type { AcquireFailure, AcquireOptions, Acquired, LinkWaiter } from './pooledLink.js'

export class LinkQueue {
  readonly #clock: Clock
  readonly #queue = new WaitQueue<LinkWaiter>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  get size(): number {
    return this.#queue.size
  }

  /** The waiter to be served next. */
  get first(): LinkWaiter | null {
    return this.#queue.first
  }

  /** All waiters, in the order of arrival. */
  waiting(): Iterable<LinkWaiter> {
    return this.#queue.waiting()
  }

  /** Returns how many waiters would be served before one on these terms. */
  countAhead(terms: Waiter): number {
    return this.#queue.countAhead(terms)
  }

  /** Waits for a connection, until the deadline or until the request is withdrawn. */
  wait(session: SessionValues, options: AcquireOptions): Promise<Acquired> {
    const { priority, deadline, use, withdrawal } = options
    return new Promise(resolve => {
      const waiter: LinkWaiter = {
        priority,
        deadline,
        session,
        use,
        since: this.#clock.now(),
        settle: acquired => {
          clearTimeout(timer)
          stopListening?.()
          resolve(acquired)
        },
      }
      const leave = (failure: AcquireFailure): void => {
        this.#queue.remove(waiter)
        waiter.settle({ failure })
      }
      const timer = setTimeout(
        () => {
          leave('overdue')
        },
        Math.max(0, deadline - this.#clock.now()),
      )
      const stopListening = withdrawal?.onWithdrawn(() => {
        leave('withdrawn')
      })
      this.#queue.enqueue(waiter)
    })
  }

  /** Removes and returns the first waiter that fits. */
  dequeue(fits: (waiter: LinkWaiter) => boolean): LinkWaiter | null {
    return this.#queue.dequeue(fits)
  }

  /** Fails all waiters. */
  withdraw(failure: AcquireFailure): void {
    for (const waiter of this.#queue.takeAll()) waiter.settle({ failure })
  }
}
