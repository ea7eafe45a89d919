import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom, customerName, milliseconds } from '@nutmegcourse/shared'
import { MAX_RETURN_MILLISECONDS, type SlotRequest } from '../../src/index.js'
import { QueuedServer } from './support/queuedServer.js'

// Guards against refusals that feed themselves: callers that were all told to return after the same short time came
// back into the same full queue and were refused again.

const SLOTS = 5
const WORK_MILLISECONDS = 24
const TIMEOUT_MILLISECONDS = 1000
const STORM_MILLISECONDS = 3000
const TIMES_CAPACITY = 3
const CONSTANT_DELAY_MILLISECONDS = 250
/** How much later than told callers return at most, because of their network. */
const NETWORK_MILLISECONDS = 20

type ReturnDelay = (told: number, random: SeededRandom) => number

const asTold: ReturnDelay = told => told
const asToldByNetwork: ReturnDelay = (told, random) => told + NETWORK_MILLISECONDS * random.next()
const constant: ReturnDelay = () => CONSTANT_DELAY_MILLISECONDS

interface Storm {
  arrived: number
  answered: number
  /** Admitted, but not started in time. */
  waitedInVain: number
  returned: number
  refusedAgain: number
  /** Told a time before the latest one, which is told to callers without a place. */
  returnedToPlace: number
  refusedAgainAtPlace: number
  lastArrivalAt: number
  drainedAt: number
}

const newStorm = (): Storm => ({
  arrived: 0,
  answered: 0,
  waitedInVain: 0,
  returned: 0,
  refusedAgain: 0,
  returnedToPlace: 0,
  refusedAgainAtPlace: 0,
  lastArrivalAt: 0,
  drainedAt: 0,
})

const exponential = (mean: number, random: SeededRandom): number =>
  -mean * Math.log(1 - random.next())

function statementAt(now: number, customer: string): SlotRequest {
  return {
    classPriority: 1,
    customer: customerName(customer),
    customerWeight: 1,
    arrivedAt: milliseconds(now),
    targetAt: milliseconds(now + TIMEOUT_MILLISECONDS / 2),
    latestStart: milliseconds(now + TIMEOUT_MILLISECONDS - WORK_MILLISECONDS),
    isUnderWay: false,
    expectedMilliseconds: WORK_MILLISECONDS,
  }
}

class Callers {
  readonly storm = newStorm()
  readonly #server = new QueuedServer(SLOTS)
  readonly #random: SeededRandom
  readonly #customers: number
  readonly #returnDelay: ReturnDelay

  constructor(seed: number, customers: number, returnDelay: ReturnDelay) {
    this.#random = new SeededRandom(seed)
    this.#customers = customers
    this.#returnDelay = returnDelay
  }

  run(): Storm {
    this.#server.at(0, () => {
      this.#arrive()
    })
    this.#server.run()
    return this.storm
  }

  #arrive(): void {
    this.storm.arrived += 1
    this.#submit(`customer-${String(Math.floor(this.#random.next() * this.#customers))}`, null)
    const pause = exponential(WORK_MILLISECONDS / SLOTS / TIMES_CAPACITY, this.#random)
    const next = this.#server.now + pause
    if (next < STORM_MILLISECONDS) {
      this.#server.at(next, () => {
        this.#arrive()
      })
    }
  }

  /** `told`: the time that the caller was told when it was refused; null at its first try. */
  #submit(customer: string, told: number | null): void {
    const { storm } = this
    const server = this.#server
    const hasPlace = told !== null && told < MAX_RETURN_MILLISECONDS
    storm.lastArrivalAt = server.now
    if (told !== null) storm.returned += 1
    if (hasPlace) storm.returnedToPlace += 1
    server.submit({
      request: statementAt(server.now, customer),
      workMilliseconds: exponential(WORK_MILLISECONDS, this.#random),
      ended: (outcome, retryAfter) => {
        if (outcome === 'answered') storm.answered += 1
        if (outcome === 'expired') storm.waitedInVain += 1
        if (server.waiting === 0) storm.drainedAt = server.now
        if (outcome !== 'refused') return
        if (told === null) this.#returnLater(customer, retryAfter)
        else storm.refusedAgain += 1
        if (hasPlace) storm.refusedAgainAtPlace += 1
      },
    })
  }

  #returnLater(customer: string, told: number): void {
    this.#server.at(this.#server.now + this.#returnDelay(told, this.#random), () => {
      this.#submit(customer, told)
    })
  }
}

describe('retry storm', () => {
  for (const customers of [1, 20]) {
    for (const seed of [1, 2, 3, 4, 5]) {
      const name = `${String(customers)} customers, seed ${String(seed)}`

      it(`answers more operations if callers return when told: ${name}`, () => {
        const told = new Callers(seed, customers, asToldByNetwork).run()
        const fixed = new Callers(seed, customers, constant).run()
        expect(told.answered).toBeGreaterThan(fixed.answered)
      })

      for (const returnDelay of [asTold, asToldByNetwork]) {
        it(`refuses few callers that returned when told, ${returnDelay.name}: ${name}`, () => {
          const storm = new Callers(seed, customers, returnDelay).run()
          expect(storm.returnedToPlace).toBeGreaterThan(0)
          expect(storm.refusedAgainAtPlace).toBeLessThan(storm.returnedToPlace / 2)
          // Most are callers for which there was no place within the latest time that is told.
          expect(storm.refusedAgainAtPlace).toBeLessThan(storm.refusedAgain / 2)
        })
      }

      it(`has an empty queue a second after the last arrival: ${name}`, () => {
        const { drainedAt, lastArrivalAt } = new Callers(seed, customers, asToldByNetwork).run()
        expect(drainedAt - lastArrivalAt).toBeLessThan(1000)
      })

      // A refused caller may still be served elsewhere or later; one that waited in vain lost all its time.
      it(`lets fewer than one in a hundred wait in vain: ${name}`, () => {
        const { waitedInVain, answered } = new Callers(seed, customers, asToldByNetwork).run()
        expect(waitedInVain).toBeLessThan(answered / 100)
      })
    }
  }
})
