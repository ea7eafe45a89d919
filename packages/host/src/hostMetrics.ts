/** Counters and latency histograms of one entry host, served as text. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks'
import { createServer, type Server } from 'node:http'
import type { HostAddress, SlotStatus, StatementBody } from '@nutmegcourse/protocol'
import type { EventName } from './decisionEvents.js'
import { metricLabels } from './metricLabels.js'
import { slotMetricLines } from './slotMetrics.js'

/** The result of a statement as reported to its caller, in one word. */
export type StatementOutcome = string

/** Answers with the status of slots, where they are scheduled. */
const SLOTS_PATH = '/slots'

const PERCENTILES = [50, 90, 99, 99.9]
const MICROSECONDS_PER_MILLISECOND = 1000

export class HostMetrics {
  readonly #events = new Map<string, number>()
  readonly #statements = new Map<string, number>()
  readonly #latencies = new Map<string, RecordableHistogram>()
  readonly #gauges = new Map<string, () => number>()

  /** Registers a value that is read at each scrape. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /** Counts an event, also when its line was left out of the log; events with a reason are counted by reason. */
  event(event: EventName, reason?: string): void {
    const labels = metricLabels(reason === undefined ? { event } : { event, reason })
    this.#events.set(labels, (this.#events.get(labels) ?? 0) + 1)
  }

  /** Records an answered statement. The labels are its kind and outcome, both of which have few values. */
  statement(
    kind: StatementBody['kind'],
    outcome: StatementOutcome,
    tookMilliseconds: number,
  ): void {
    const key = metricLabels({ statement: kind, outcome })
    this.#statements.set(key, (this.#statements.get(key) ?? 0) + 1)
    let histogram = this.#latencies.get(kind)
    if (histogram === undefined) {
      histogram = createHistogram()
      this.#latencies.set(kind, histogram)
    }
    histogram.record(Math.max(1, Math.round(tookMilliseconds * MICROSECONDS_PER_MILLISECOND)))
  }

  /** `slots`: the status of slots; null where they are not scheduled. */
  text(slots: SlotStatus | null = null): string {
    const lines: string[] = []
    for (const [name, read] of this.#gauges) {
      lines.push(`nutmegcourse_${name} ${String(read())}`)
    }
    for (const [labels, count] of this.#events) {
      lines.push(`nutmegcourse_events_total{${labels}} ${String(count)}`)
    }
    for (const [labels, count] of this.#statements) {
      lines.push(`nutmegcourse_statements_total{${labels}} ${String(count)}`)
    }
    for (const [kind, histogram] of this.#latencies) {
      for (const percentile of PERCENTILES) {
        const value = histogram.percentile(percentile) / MICROSECONDS_PER_MILLISECOND
        const labels = `statement="${kind}",percentile="${String(percentile)}"`
        lines.push(`nutmegcourse_statement_milliseconds{${labels}} ${String(value)}`)
      }
    }
    if (slots !== null) lines.push(...slotMetricLines(slots))
    return `${lines.join('\n')}\n`
  }
}

/** Serves the text at every path; where slots are scheduled, their status as JSON at `/slots`. */
export function serveMetrics(
  address: HostAddress,
  metrics: HostMetrics,
  slotStatus: () => SlotStatus | null,
): Server {
  const server = createServer((incoming, outgoing) => {
    const slots = slotStatus()
    const isStatus = slots !== null && incoming.url?.split('?')[0] === SLOTS_PATH
    const type = isStatus ? 'application/json' : 'text/plain; charset=utf-8'
    const body = isStatus ? JSON.stringify(slots) : metrics.text(slots)
    outgoing.writeHead(200, { 'Content-Type': type }).end(body)
  })
  return server.listen(address.port, address.host)
}
