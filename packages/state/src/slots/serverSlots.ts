/** Shares out the slots of one backend server. */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { Admission } from './admission.js'
import type { ConcurrencyLimit } from './concurrencyLimit.js'
import type { SlotRequest, SlotResult } from './slotRequest.js'

export type Submission =
  | { readonly kind: 'started' }
  | { readonly kind: 'queued'; readonly forecastMilliseconds: number; readonly ahead: number }
  | {
      readonly kind: 'refused'
      readonly forecastMilliseconds: number
      readonly retryAfterMilliseconds: number
      readonly ahead: number
    }

export class ServerSlots<Request extends SlotRequest> {
  readonly #limit: ConcurrencyLimit
  readonly #admission: Admission
  readonly #waiting: Request[] = []
  readonly #running = new Map<Request, number>()

  constructor({ limit, admission }: { limit: ConcurrencyLimit; admission: Admission }) {
    this.#limit = limit
    this.#admission = admission
  }

  submit(request: Request, now: Milliseconds): Submission {
    if (this.#waiting.length === 0 && this.inFlight < this.limit) {
      this.#running.set(request, this.inFlight + 1)
      return { kind: 'started' }
    }
    const before = this.#waiting.filter(each => compare(each, request) <= 0)
    const aheadMilliseconds = [...before, ...this.#running.keys()].reduce(
      (sum, each) => sum + each.expectedMilliseconds,
      0,
    )
    const decision = this.#admission.decide(
      request,
      { aheadMilliseconds, ownMilliseconds: aheadMilliseconds, concurrency: this.limit },
      now,
    )
    const ahead = before.length
    if (decision.kind === 'refused' && !request.isUnderWay && ahead > 0)
      return { ...decision, kind: 'refused', ahead }
    this.#waiting.push(request)
    this.#waiting.sort(compare)
    return { kind: 'queued', forecastMilliseconds: decision.forecastMilliseconds, ahead }
  }

  finish(request: Request, result: SlotResult, now: Milliseconds): void {
    const inFlight = this.#running.get(request)
    if (inFlight === undefined) return
    this.#running.delete(request)
    if (result.kind === 'answered') this.#limit.recordAnswer(result.slotMilliseconds, inFlight, now)
    if (result.kind === 'busy') this.#limit.recordBusy(inFlight, now)
  }

  withdraw(request: Request): void {
    const index = this.#waiting.indexOf(request)
    if (index >= 0) this.#waiting.splice(index, 1)
  }

  takeStartable(now: Milliseconds): Request[] {
    const started: Request[] = []
    while (this.inFlight < this.limit) {
      const next = this.#waiting.shift()
      if (next === undefined || now > next.latestStart) break
      this.#running.set(next, this.inFlight + 1)
      started.push(next)
    }
    return started
  }

  takeExpired(now: Milliseconds): Request[] {
    const expired = this.#waiting.filter(each => now > each.latestStart)
    for (const each of expired) this.withdraw(each)
    return expired
  }

  get inFlight(): number {
    return this.#running.size
  }

  get waiting(): number {
    return this.#waiting.length
  }

  get limit(): number {
    return this.#limit.value
  }

  get shares(): ReadonlyMap<CustomerName | null, number> {
    return new Map()
  }
}

const compare = (left: SlotRequest, right: SlotRequest): number =>
  Number(right.isUnderWay) - Number(left.isUnderWay) ||
  left.classPriority - right.classPriority ||
  left.latestStart - right.latestStart
