/**
 * Which holders of a customer's limit to ask for one operation, and what their answers mean together.
 */

/** How a holder has answered lately. */
export type HolderState =
  | 'ready'
  /** It did not answer some time ago. It is asked together with the next one, which answers if it does not. */
  | 'probed'
  /** It has not answered another request yet, or lately answered late. It is asked after all others. */
  | 'slow'
  /** It can not be reached, or recently did not answer. */
  | 'silent'

export interface LimitHolder {
  readonly name: string
  readonly state: HolderState
  /** Until its part, which is exhausted, has an operation again; 0 if it is not known to be exhausted. */
  readonly spentMilliseconds: number
}

export type HolderAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'spent'; readonly waitMilliseconds: number }
  /** It holds no part, or did not answer. */
  | { readonly kind: 'declined' }

export type SearchResult =
  | { readonly kind: 'granted' }
  /** Most parts are exhausted. */
  | { readonly kind: 'spent'; readonly waitMilliseconds: number }
  /** Too few holders answered to tell. */
  | { readonly kind: 'unknown' }

export class GrantSearch {
  readonly #parts: number
  readonly #queue: LimitHolder[]
  /** Holders that were asked and have not answered, each with its state. */
  readonly #awaited = new Map<string, HolderState>()
  readonly #waits: number[]
  #isGranted = false

  /** `holders`: all that hold a part, in the order in which they should be asked. */
  constructor(holders: readonly LimitHolder[]) {
    this.#parts = holders.length
    this.#waits = holders.map(each => each.spentMilliseconds).filter(wait => wait > 0)
    const asked = holders.filter(each => each.spentMilliseconds <= 0 && each.state !== 'silent')
    this.#queue = [
      ...asked.filter(({ state }) => state !== 'slow'),
      ...asked.filter(({ state }) => state === 'slow'),
    ]
  }

  /** The holders to ask now: up to the next one from which an answer may be expected. */
  next(): readonly string[] {
    const names: string[] = []
    if (this.#isGranted) return names
    for (;;) {
      const holder = this.#queue.shift()
      if (holder === undefined) return names
      names.push(holder.name)
      this.#awaited.set(holder.name, holder.state)
      if (holder.state !== 'probed') return names
    }
  }

  /** The next holder is to be asked without the answer of this one, which counts if it arrives. */
  expectNone(name: string): void {
    if (this.#awaited.get(name) === 'ready') this.#awaited.set(name, 'slow')
  }

  receive(name: string, answer: HolderAnswer): void {
    this.#awaited.delete(name)
    switch (answer.kind) {
      case 'granted':
        this.#isGranted = true
        return
      case 'spent':
        this.#waits.push(answer.waitMilliseconds)
        return
      case 'declined':
    }
  }

  /** Null while holders remain whose answers could change it. */
  get result(): SearchResult | null {
    if (this.#isGranted) return { kind: 'granted' }
    if (this.#queue.length > 0) return null
    // A holder that is late may have granted the operation: its token would be lost to the customer.
    if ([...this.#awaited.values()].some(state => state !== 'probed')) return null
    if (2 * this.#waits.length > this.#parts) {
      return { kind: 'spent', waitMilliseconds: Math.min(...this.#waits) }
    }
    return this.#awaited.size > 0 ? null : { kind: 'unknown' }
  }
}
