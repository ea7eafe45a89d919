/**
 * How many of a backend server's connections this entry host may open for callers' requests.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { ProxyOptions } from './proxyOptions.js'

/** Each proxy keeps one dedicated connection per backend server for position questions. */
const QUESTION_CONNECTIONS = 1

/**
 * A host that is being replaced drains while its successor starts, so for a while one more host
 * holds connections than any list shows. Without this reserve the successor's first requests are
 * refused.
 */
const HOSTS_BEING_REPLACED = 1

interface RetainedCount {
  readonly count: number
  readonly until: Milliseconds
}

/**
 * The number of entry hosts that a connection limit is divided by. Hosts learn of a change in their
 * number at different times. A host that shrinks its share at once, and grows it only after a delay
 * by which the others have shrunk theirs, never holds connections that another host already counts
 * as its own. The backend server's own limit is the last safeguard.
 */
export class EntryHostCount {
  readonly #minimum: number
  readonly #growthDelay: number
  #newest = 1
  #retained: RetainedCount[] = []

  constructor(options: Pick<ProxyOptions, 'minimumEntryHosts' | 'shareGrowthDelayMilliseconds'>) {
    this.#minimum = options.minimumEntryHosts
    this.#growthDelay = options.shareGrowthDelayMilliseconds
  }

  update(count: number, now: Milliseconds): void {
    const until = addMilliseconds(now, this.#growthDelay)
    if (count < this.#newest) this.#retained.push({ count: this.#newest, until })
    this.#retained = this.#retained.filter(each => each.until > now && each.count > count)
    this.#newest = count
  }

  /** The newest count, or a greater one that was replaced within the growth delay. */
  divisor(now: Milliseconds): number {
    const retained = this.#retained.filter(each => each.until > now).map(each => each.count)
    return Math.max(this.#newest, this.#minimum, ...retained)
  }

  /** When the next delayed growth of the share takes effect; null when there is none. */
  nextGrowthAt(now: Milliseconds): Milliseconds | null {
    const times = this.#retained.map(each => each.until).filter(until => until > now)
    return times.length === 0 ? null : (Math.min(...times) as Milliseconds)
  }
}

/**
 * This host's share of a backend server's connections. The shares of all hosts plus the question
 * and reserved connections sum to at most the limit, as long as the limit has room for one request
 * and one question connection per host. With more hosts than that, each still keeps one, and the
 * backend server refuses the connections that exceed its limit.
 */
export function connectionShare(limit: number, reserved: number, entryHosts: number): number {
  const holders = Math.max(entryHosts, 1) + HOSTS_BEING_REPLACED
  const each = Math.floor(Math.max(limit - reserved, 0) / holders)
  return Math.max(each - QUESTION_CONNECTIONS, 1)
}
