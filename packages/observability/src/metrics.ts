/** Counters, kept in memory for `status` and sent as StatsD if settings name an endpoint. */
import { StatsD } from 'hot-shots'
import type { CounterName } from '@nutmegcourse/shared'

/** The library's own default, passed without an endpoint. Nothing is sent then. */
const DEFAULT_STATSD_PORT = 8125

export interface MetricsEndpoint {
  readonly address: string
  readonly port: number
}

export class Metrics {
  readonly #client: StatsD
  readonly #totals = new Map<string, number>()

  constructor(endpoint: MetricsEndpoint | undefined) {
    this.#client = new StatsD({
      host: endpoint?.address ?? '127.0.0.1',
      port: endpoint?.port ?? DEFAULT_STATSD_PORT,
      prefix: 'nutmegcourse.',
      mock: endpoint === undefined,
      errorHandler: () => undefined,
    })
  }

  count(counter: CounterName, tags: Readonly<Record<string, string>> = {}, amount = 1): void {
    this.#client.increment(counter, amount, { ...tags })
    const key = keyOf(counter, tags)
    this.#totals.set(key, (this.#totals.get(key) ?? 0) + amount)
  }

  /** Totals since the process started, by `name{tag=value,...}`. */
  totals(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#totals)
  }

  close(): void {
    this.#client.close(() => undefined)
  }
}

function keyOf(counter: string, tags: Readonly<Record<string, string>>): string {
  const names = Object.keys(tags).sort()
  if (names.length === 0) return counter
  return `${counter}{${names.map(name => `${name}=${tags[name] ?? ''}`).join(',')}}`
}
