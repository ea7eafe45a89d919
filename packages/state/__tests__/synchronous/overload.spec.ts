import { describe, it } from 'node:test'
import { expect } from 'earl'
import TinyQueue from 'tinyqueue'
import { SeededRandom, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { ServiceEstimate, WaitQueue, forecastWait, type Waiter } from '../../src/index.js'

// Both replicas of a database lag by seconds, so its primary alone gets the load of three servers: a third more than
// its slots can serve. Callers then wait for their whole second, most work that was started is abandoned, and the
// callers retry. The queue must stay so short that admitted requests are served in time, and the others must be
// refused at once.

const SLOTS = 3
const CONNECTIONS = 18
const WORK_MILLISECONDS = 24
const TARGET_MILLISECONDS = 1000
const MAX_FORECAST_MILLISECONDS = 400
const SECONDS = 20
/** A third more than three slots serve at 24 ms each, and after the first half a third less. */
const ARRIVALS_A_SECOND = { first: 165, second: 85 }

interface Request extends Waiter {
  readonly arrivedAt: number
}

interface ScheduledEvent {
  readonly at: number
  run(): void
}

interface Counts {
  arrived: number
  servedInTime: number
  servedLate: number
  refused: number
  /** Admitted, but the deadline passed before they started. */
  expired: number
}

/** Simulates one primary behind one queue; admits requests with a forecast wait of up to `maxForecast` milliseconds. */
class OverloadedPrimary {
  readonly first: Counts = { arrived: 0, servedInTime: 0, servedLate: 0, refused: 0, expired: 0 }
  readonly second: Counts = { arrived: 0, servedInTime: 0, servedLate: 0, refused: 0, expired: 0 }
  readonly #maxForecast: number
  readonly #random = new SeededRandom(7)
  readonly #events = new TinyQueue<ScheduledEvent>([], (left, right) => left.at - right.at)
  readonly #queue = new WaitQueue<Request>()
  readonly #holdEstimate = new ServiceEstimate()
  readonly #serverQueue: (() => void)[] = []
  #now = 0
  #free = CONNECTIONS
  #running = 0

  constructor(maxForecast: number) {
    this.#maxForecast = maxForecast
  }

  run(): this {
    this.#arriveNext()
    for (let next = this.#events.pop(); next !== undefined; next = this.#events.pop()) {
      this.#now = next.at
      next.run()
    }
    return this
  }

  #schedule(delay: number, run: () => void): void {
    this.#events.push({ at: this.#now + delay, run })
  }

  #drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.#random.next())
  }

  #counts({ arrivedAt }: Request): Counts {
    return arrivedAt < (SECONDS * 1000) / 2 ? this.first : this.second
  }

  #arriveNext(): void {
    const isFirst = this.#now < (SECONDS * 1000) / 2
    const rate = isFirst ? ARRIVALS_A_SECOND.first : ARRIVALS_A_SECOND.second
    this.#schedule(this.#drawExponential(1000 / rate), () => {
      this.#arrive()
      if (this.#now < SECONDS * 1000) this.#arriveNext()
    })
  }

  #arrive(): void {
    const arrivedAt = this.#now
    const deadline = milliseconds(arrivedAt + TARGET_MILLISECONDS)
    const request: Request = { priority: 1, deadline, arrivedAt }
    const counts = this.#counts(request)
    counts.arrived += 1
    if (this.#free > 0) {
      this.#begin(request)
      return
    }
    const situation = {
      ahead: this.#queue.countAhead(request),
      connections: CONNECTIONS,
      holdMilliseconds: this.#holdEstimate.at(this.#clock),
    }
    if (forecastWait(situation) > this.#maxForecast) counts.refused += 1
    else this.#queue.enqueue(request)
  }

  get #clock(): Milliseconds {
    return milliseconds(this.#now)
  }

  /** Starts the request on a connection, behind the requests that the server has queued. */
  #begin(request: Request): void {
    this.#free -= 1
    const beganAt = this.#now
    this.#serverQueue.push(() => {
      this.#schedule(this.#drawExponential(WORK_MILLISECONDS), () => {
        this.#running -= 1
        this.#serveNext()
        this.#end(request, beganAt)
      })
    })
    this.#serveNext()
  }

  #serveNext(): void {
    if (this.#running >= SLOTS) return
    const next = this.#serverQueue.shift()
    if (next === undefined) return
    this.#running += 1
    next()
  }

  #end(request: Request, beganAt: number): void {
    this.#holdEstimate.record(this.#now - beganAt, this.#clock)
    const counts = this.#counts(request)
    if (this.#now <= request.deadline) counts.servedInTime += 1
    else counts.servedLate += 1
    this.#free += 1
    for (let next = this.#queue.dequeue(); next !== null; next = this.#queue.dequeue()) {
      if (next.deadline > this.#now) {
        this.#begin(next)
        return
      }
      this.#counts(next).expired += 1
    }
  }
}

describe('a primary whose load exceeds its capacity by a third', () => {
  const capacity = (SLOTS * 1000) / WORK_MILLISECONDS / ARRIVALS_A_SECOND.first

  it('serves as many requests in time as its capacity allows, and refuses the rest at once', () => {
    const { first } = new OverloadedPrimary(MAX_FORECAST_MILLISECONDS).run()
    expect(first.servedInTime / first.arrived > capacity * 0.95).toEqual(true)
    expect([first.servedLate, first.expired]).toEqual([0, 0])
  })

  it('without a forecast lets requests wait past their deadline, and answers late', () => {
    const { first } = new OverloadedPrimary(Number.POSITIVE_INFINITY).run()
    expect((first.servedLate + first.expired) / first.arrived > 0.2).toEqual(true)
  })

  it('stops refusing requests once the load is within its capacity', () => {
    const { second } = new OverloadedPrimary(MAX_FORECAST_MILLISECONDS).run()
    expect(second.refused / second.arrived < 0.01).toEqual(true)
  })
})
