/** A backend server with some slots and a queue on a virtual clock, and hosts that keep it busy up to their limits. */
import { SeededRandom, milliseconds } from '@nutmegcourse/shared'
import { ConcurrencyLimit } from '../../src/index.js'

interface Statement {
  readonly host: BusyHost
  readonly sentAt: number
  readonly inFlight: number
}

export interface BusyHost {
  readonly limit: ConcurrencyLimit
  inFlight: number
  answered: number
}

export const busyHost = (slots: number): BusyHost => ({
  limit: new ConcurrencyLimit(slots),
  inFlight: 0,
  answered: 0,
})

export class FakeSlotServer {
  now = 0
  slots: number
  hosts: BusyHost[] = []
  /** The durations of statements, drawn evenly. */
  works: readonly number[] = [8, 24, 40]
  /** Statements that may wait in the server's queue before it refuses others. */
  queueLimit = Number.POSITIVE_INFINITY
  roundTrip = 3
  #running = 0
  readonly #queue: Statement[] = []
  #events: { readonly at: number; readonly run: () => void }[] = []
  random = new SeededRandom(7)

  constructor(slots: number) {
    this.slots = slots
  }

  runFor(span: number): void {
    const end = this.now + span
    for (const host of this.hosts) this.#send(host)
    for (;;) {
      const [next] = this.#events
      if (next === undefined || next.at > end) break
      this.#events.shift()
      this.now = next.at
      next.run()
    }
    this.now = end
  }

  #send(host: BusyHost): void {
    while (host.inFlight < host.limit.value) {
      host.inFlight += 1
      const statement = { host, sentAt: this.now, inFlight: host.inFlight }
      this.#after(this.roundTrip / 2, () => {
        this.#arrive(statement)
      })
    }
  }

  #arrive(statement: Statement): void {
    if (this.#queue.length < this.queueLimit) {
      this.#queue.push(statement)
      this.#start()
      return
    }
    const { host, inFlight } = statement
    this.#answer(host, () => {
      host.limit.recordBusy(inFlight, milliseconds(this.now))
    })
  }

  #start(): void {
    while (this.#running < this.slots) {
      const statement = this.#queue.shift()
      if (statement === undefined) return
      const { host, sentAt, inFlight } = statement
      const work = this.works[Math.floor(this.random.next() * this.works.length)] ?? 0
      this.#running += 1
      this.#after(work, () => {
        this.#running -= 1
        this.#start()
        this.#answer(host, () => {
          host.answered += 1
          host.limit.recordAnswer(this.now - sentAt, inFlight, milliseconds(this.now))
        })
      })
    }
  }

  #answer(host: BusyHost, record: () => void): void {
    this.#after(this.roundTrip / 2, () => {
      host.inFlight -= 1
      record()
      this.#send(host)
    })
  }

  #after(span: number, run: () => void): void {
    const at = this.now + span
    const index = this.#events.findIndex(event => event.at > at)
    this.#events.splice(index < 0 ? this.#events.length : index, 0, { at, run })
  }
}
