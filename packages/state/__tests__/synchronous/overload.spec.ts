import { describe, it } from 'node:test'
import { expect } from 'earl'
import TinyQueue from 'tinyqueue'
import { SeededRandom, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { ServiceEstimate, WaitingLine, forecastWait, type Waiter } from '../../src/index.js'

// Both replicas of a database are seconds behind, so its primary alone serves what three servers
// served: a third more than its slots can do. Callers then wait for their whole second, most of
// what begins is given up half done, and they come back. The line must stay so short that what is
// let in is served in time, and who is not let in hears so at once.

const SLOTS = 3
const CONNECTIONS = 18
const WORK_MILLISECONDS = 24
const TARGET_MILLISECONDS = 1000
const PATIENCE_MILLISECONDS = 400
const SECONDS = 20
/** A third more than three slots do in 24 ms each, and after the first half a third less. */
const ARRIVALS_A_SECOND = { first: 165, second: 85 }

interface Request extends Waiter {
  readonly arrivedAt: number
}

interface Happening {
  readonly at: number
  happen(): void
}

interface Counts {
  arrived: number
  inTarget: number
  late: number
  refused: number
  /** Let in, and never begun. */
  gaveUp: number
}

/** One primary behind one line; `patience` is the longest forecast that is still let in. */
class OverloadedPrimary {
  readonly first: Counts = { arrived: 0, inTarget: 0, late: 0, refused: 0, gaveUp: 0 }
  readonly second: Counts = { arrived: 0, inTarget: 0, late: 0, refused: 0, gaveUp: 0 }
  readonly #patience: number
  readonly #random = new SeededRandom(7)
  readonly #agenda = new TinyQueue<Happening>([], (left, right) => left.at - right.at)
  readonly #line = new WaitingLine<Request>()
  readonly #holds = new ServiceEstimate()
  readonly #atServer: (() => void)[] = []
  #now = 0
  #free = CONNECTIONS
  #running = 0

  constructor(patience: number) {
    this.#patience = patience
  }

  run(): this {
    this.#arriveNext()
    for (let next = this.#agenda.pop(); next !== undefined; next = this.#agenda.pop()) {
      this.#now = next.at
      next.happen()
    }
    return this
  }

  #after(span: number, happen: () => void): void {
    this.#agenda.push({ at: this.#now + span, happen })
  }

  #drawn(mean: number): number {
    return -mean * Math.log(1 - this.#random.next())
  }

  #counts({ arrivedAt }: Request): Counts {
    return arrivedAt < (SECONDS * 1000) / 2 ? this.first : this.second
  }

  #arriveNext(): void {
    const isFirst = this.#now < (SECONDS * 1000) / 2
    const rate = isFirst ? ARRIVALS_A_SECOND.first : ARRIVALS_A_SECOND.second
    this.#after(this.#drawn(1000 / rate), () => {
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
      ahead: this.#line.aheadOf(request),
      connections: CONNECTIONS,
      holdMilliseconds: this.#holds.at(this.#clock),
    }
    if (forecastWait(situation) > this.#patience) counts.refused += 1
    else this.#line.join(request)
  }

  get #clock(): Milliseconds {
    return milliseconds(this.#now)
  }

  /** On a connection, behind whatever the server has queued. */
  #begin(request: Request): void {
    this.#free -= 1
    const beganAt = this.#now
    this.#atServer.push(() => {
      this.#after(this.#drawn(WORK_MILLISECONDS), () => {
        this.#running -= 1
        this.#serveNext()
        this.#end(request, beganAt)
      })
    })
    this.#serveNext()
  }

  #serveNext(): void {
    if (this.#running >= SLOTS) return
    const next = this.#atServer.shift()
    if (next === undefined) return
    this.#running += 1
    next()
  }

  #end(request: Request, beganAt: number): void {
    this.#holds.record(this.#now - beganAt, this.#clock)
    const counts = this.#counts(request)
    if (this.#now <= request.deadline) counts.inTarget += 1
    else counts.late += 1
    this.#free += 1
    for (let next = this.#line.next(); next !== null; next = this.#line.next()) {
      if (next.deadline > this.#now) {
        this.#begin(next)
        return
      }
      this.#counts(next).gaveUp += 1
    }
  }
}

describe('a primary that is asked for a third more than it can do', () => {
  const capacity = (SLOTS * 1000) / WORK_MILLISECONDS / ARRIVALS_A_SECOND.first

  it('serves in time all that it can, and refuses the rest at once', () => {
    const { first } = new OverloadedPrimary(PATIENCE_MILLISECONDS).run()
    expect(first.inTarget / first.arrived > capacity * 0.95).toEqual(true)
    expect([first.late, first.gaveUp]).toEqual([0, 0])
  })

  it('without a forecast it lets callers wait in vain, and answers late', () => {
    const { first } = new OverloadedPrimary(Number.POSITIVE_INFINITY).run()
    expect((first.late + first.gaveUp) / first.arrived > 0.2).toEqual(true)
  })

  it('refuses nobody any more once it can serve them', () => {
    const { second } = new OverloadedPrimary(PATIENCE_MILLISECONDS).run()
    expect(second.refused / second.arrived < 0.01).toEqual(true)
  })
})
