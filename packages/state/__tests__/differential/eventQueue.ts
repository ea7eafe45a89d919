/** Event queue in virtual time: events run in the order of their times, then of their scheduling. */
import TinyQueue from 'tinyqueue'
import { VirtualClock, type Milliseconds } from '@nutmegcourse/shared'

interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

export class EventQueue {
  readonly #clock = new VirtualClock()
  readonly #events = new TinyQueue<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  )
  #order = 0

  now(): Milliseconds {
    return this.#clock.now()
  }

  schedule(delay: number, run: () => void): void {
    this.#order += 1
    this.#events.push({ at: this.now() + delay, order: this.#order, run })
  }

  /** Advances the clock by the span and runs all events up to its end. */
  advance(span: number): void {
    const end = this.now() + span
    for (;;) {
      const next = this.#events.peek()
      if (next === undefined || next.at > end) break
      this.#events.pop()
      this.#clock.advance(Math.max(next.at - this.now(), 0))
      next.run()
    }
    this.#clock.advance(end - this.now())
  }
}
