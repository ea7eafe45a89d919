/**
 * Writes one structured line for each decision, within a budget: an event writes a limited number of lines a second,
 * and a further line reports how many were left out.
 */
/** Limit of lines of one event. At 15 microseconds a line, all events together take about 1% of a core. */
const LINES_PER_SECOND = 15

/**
 * Limit for refused statements and sessions, which operators need in order to answer callers' complaints: a host that
 * still answers any statements refuses fewer than this.
 */
const REFUSALS_PER_SECOND = 100

/** Limit for answers to orders: a zone that fails makes one host change the primaries of several services at once. */
const ORDER_ANSWERS_PER_SECOND = 60

const SECOND_MILLISECONDS = 1000

/** Decisions that rest on the configuration; their lines say which one, and how old the host's knowledge is. */
const CONFIGURED_DECISIONS: ReadonlySet<EventName> = new Set<EventName>([
  'session_refused',
  'statement_refused',
  'try_failed',
])

const OTHER_LIMITS: ReadonlyMap<EventName, number> = new Map<EventName, number>([
  ['statement_refused', REFUSALS_PER_SECOND],
  ['session_refused', REFUSALS_PER_SECOND],
  ['order_answered', ORDER_ANSWERS_PER_SECOND],
])

const WARNINGS: ReadonlySet<EventName> = new Set<EventName>(['acknowledged_writes_missing'])

import type { EventName } from './decisionEvents.js'
import type { HostMetrics } from './hostMetrics.js'

/** Receives the lines. */
export interface LineSink {
  info(event: EventName, fields: LogFields): void
  /** For events that an operator has to look into. Without it they are written like all others. */
  warn?(event: EventName, fields: LogFields): void
}

export type LogFields = Readonly<Record<string, unknown>>

interface LineBudget {
  second: number
  written: number
  leftOut: number
}

export class DecisionLog {
  readonly #log: LineSink
  readonly #metrics: HostMetrics
  readonly #budgets = new Map<EventName, LineBudget>()
  #describeConfiguration: () => object = () => ({})

  constructor(log: LineSink, metrics: HostMetrics) {
    this.#log = log
    this.#metrics = metrics
  }

  /** Sets what the lines of decisions say of the configuration that they rest on. */
  describeDecisions(describe: () => object): void {
    this.#describeConfiguration = describe
  }

  write(event: EventName, fields: LogFields = {}): void {
    const { reason } = fields
    this.#metrics.event(event, typeof reason === 'string' ? reason : undefined)
    const budget = this.#budgetOf(event)
    const second = Math.floor(performance.now() / SECOND_MILLISECONDS)
    if (budget.second !== second) {
      if (budget.leftOut > 0) this.#log.info('lines_left_out', { of: event, lines: budget.leftOut })
      budget.second = second
      budget.written = 0
      budget.leftOut = 0
    }
    const limit = OTHER_LIMITS.get(event) ?? LINES_PER_SECOND
    if (budget.written >= limit) {
      budget.leftOut += 1
      return
    }
    budget.written += 1
    this.#writeLine(event, fields)
  }

  #writeLine(event: EventName, given: LogFields): void {
    const isConfigured = CONFIGURED_DECISIONS.has(event)
    const fields = isConfigured ? { ...given, ...this.#describeConfiguration() } : given
    if (WARNINGS.has(event) && this.#log.warn !== undefined) this.#log.warn(event, fields)
    else this.#log.info(event, fields)
  }

  #budgetOf(event: EventName): LineBudget {
    const known = this.#budgets.get(event)
    if (known !== undefined) return known
    const budget = { second: 0, written: 0, leftOut: 0 }
    this.#budgets.set(event, budget)
    return budget
  }
}
