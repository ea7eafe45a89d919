/** A server of some slots on virtual time; statements that are admitted start in the order of their arrival. */
import TinyQueue from 'tinyqueue'
import { milliseconds } from '@nutmegcourse/shared'
import { Admission, type SlotRequest } from '../../../src/index.js'

export type Outcome = 'answered' | 'refused' | 'expired'

export interface QueuedCall {
  readonly request: SlotRequest
  readonly workMilliseconds: number
  ended(outcome: Outcome, retryAfterMilliseconds: number): void
}

const expectedOf = (calls: readonly QueuedCall[]): number =>
  calls.reduce((sum, { request }) => sum + request.expectedMilliseconds, 0)

export class QueuedServer {
  readonly #admission = new Admission()
  readonly #events = new TinyQueue<{ at: number; run: () => void }>([], (a, b) => a.at - b.at)
  readonly #waiting: QueuedCall[] = []
  readonly #concurrency: number
  #inFlight = 0
  now = 0

  constructor(concurrency: number) {
    this.#concurrency = concurrency
  }

  get waiting(): number {
    return this.#waiting.length
  }

  at(time: number, run: () => void): void {
    this.#events.push({ at: time, run })
  }

  run(): void {
    for (let next = this.#events.pop(); next !== undefined; next = this.#events.pop()) {
      this.now = next.at
      next.run()
    }
  }

  submit(call: QueuedCall): void {
    const { request } = call
    const isBusy = this.#inFlight >= this.#concurrency
    // A statement in flight has half of its time left in the mean.
    const inFlightMilliseconds = isBusy ? (this.#inFlight * request.expectedMilliseconds) / 2 : 0
    const own = this.#waiting.filter(other => other.request.customer === request.customer)
    const backlog = {
      aheadMilliseconds: expectedOf(this.#waiting) + inFlightMilliseconds,
      ownMilliseconds: expectedOf(own),
      concurrency: this.#concurrency,
    }
    const decision = this.#admission.decide(request, backlog, milliseconds(this.now))
    if (decision.kind === 'refused') call.ended('refused', decision.retryAfterMilliseconds)
    else this.#waiting.push(call)
    this.#startNext()
  }

  #startNext(): void {
    while (this.#inFlight < this.#concurrency) {
      const next = this.#waiting.shift()
      if (next === undefined) return
      if (this.now > next.request.latestStart) {
        next.ended('expired', 0)
        continue
      }
      this.#inFlight += 1
      this.at(this.now + next.workMilliseconds, () => {
        this.#inFlight -= 1
        next.ended('answered', 0)
        this.#startNext()
      })
    }
  }
}
