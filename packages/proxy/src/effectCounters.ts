/**
 * Aggregates the core's counter effects before they go to the metrics: a request increments two or three
 * counters, and passing on each increment separately costs more than routing the request.
 */
import type { Metrics } from '@nutmegcourse/observability'
import type { CounterName } from '@nutmegcourse/shared'

export type CounterTags = Readonly<Record<string, string>>

const FLUSH_MILLISECONDS = 1000

export class EffectCounters {
  readonly #metrics: Pick<Metrics, 'count'>
  /** Keyed by tags object identity: the core reuses one object per class and meaning. */
  readonly #sums = new Map<CounterTags, Map<CounterName, number>>()
  readonly #timer: NodeJS.Timeout

  constructor(metrics: Pick<Metrics, 'count'>) {
    this.#metrics = metrics
    this.#timer = setInterval(() => {
      this.flush()
    }, FLUSH_MILLISECONDS)
    this.#timer.unref()
  }

  count(counter: CounterName, tags: CounterTags): void {
    let sums = this.#sums.get(tags)
    if (sums === undefined) {
      sums = new Map()
      this.#sums.set(tags, sums)
    }
    sums.set(counter, (sums.get(counter) ?? 0) + 1)
  }

  flush(): void {
    for (const [tags, sums] of this.#sums) {
      for (const [counter, amount] of sums) this.#metrics.count(counter, tags, amount)
    }
    this.#sums.clear()
  }

  close(): void {
    clearInterval(this.#timer)
    this.flush()
  }
}
