/**
 * What one backend server recently made of the statements sent to it.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { SlidingTotals } from '../slots/slidingTotals.js'

/** Long enough for ten statements of a server that gets five a second, short enough to notice a failure in it. */
const WINDOW_MILLISECONDS = 2000

const MAXIMUM_LATENCIES = 15

/** Failures closer together than this may have one cause, such as a reset of all connections at once. */
const ONE_CAUSE_MILLISECONDS = 50

/** What counts for the server or against it. `busy` is apart: load causes it too. `hanging` is not an end yet. */
type Outcome = 'answered' | 'failed' | 'busy' | 'hanging'

/** Failures without an answer between them. */
export interface FailureRun {
  /** When the first of them was noticed. */
  readonly startedAt: Milliseconds
  readonly failed: number
  readonly busy: number
  /** Number of points in time at which they were noticed. */
  readonly moments: number
}

export interface RecentLatency {
  readonly sentAt: Milliseconds
  readonly latency: number
}

/** Sums over the window. */
export interface OutcomeTotals {
  readonly statements: number
  readonly failed: number
  readonly busy: number
  /** Statements that were open for long while the server answered nothing; how they ended is counted as well. */
  readonly hanging: number
  /** Number of points in time at which failures were noticed. */
  readonly failureMoments: number
  readonly answeredAt: Milliseconds
  /** In the order of the answers. */
  readonly latencies: readonly RecentLatency[]
}

const NEVER = milliseconds(Number.NEGATIVE_INFINITY)

export class RecentOutcomes {
  readonly #totals = new SlidingTotals<Outcome | 'moment'>(WINDOW_MILLISECONDS)
  readonly #latencies: RecentLatency[] = []
  #run: FailureRun | null = null
  #lastMomentAt = NEVER
  #answeredAt = NEVER

  /** Failures since the last answer; null if there are none. */
  get run(): FailureRun | null {
    return this.#run
  }

  /** `latency`: null if it can not be compared with that of other servers. */
  recordAnswer(latency: number | null, now: Milliseconds): void {
    this.#totals.add('answered', 1, now)
    this.#run = null
    this.#answeredAt = now
    if (latency === null) return
    this.#latencies.push({ sentAt: addMilliseconds(now, -latency), latency })
    if (this.#latencies.length > MAXIMUM_LATENCIES) this.#latencies.shift()
  }

  recordFailure(outcome: Exclude<Outcome, 'answered'>, now: Milliseconds): void {
    const isNewMoment = now >= addMilliseconds(this.#lastMomentAt, ONE_CAUSE_MILLISECONDS)
    this.#totals.add(outcome, 1, now)
    if (isNewMoment) {
      this.#totals.add('moment', 1, now)
      this.#lastMomentAt = now
    }
    const run = this.#run ?? { startedAt: now, failed: 0, busy: 0, moments: 0 }
    const isBusy = outcome === 'busy'
    this.#run = {
      startedAt: run.startedAt,
      failed: run.failed + (isBusy ? 0 : 1),
      busy: run.busy + (isBusy ? 1 : 0),
      moments: run.moments + (isNewMoment || run.moments === 0 ? 1 : 0),
    }
  }

  totals(now: Milliseconds): OutcomeTotals {
    this.#totals.advance(now)
    const failed = this.#totals.get('failed')
    const busy = this.#totals.get('busy')
    const oldest = now - WINDOW_MILLISECONDS
    return {
      statements: this.#totals.get('answered') + failed + busy,
      failed,
      busy,
      hanging: this.#totals.get('hanging'),
      failureMoments: this.#totals.get('moment'),
      answeredAt: this.#answeredAt,
      latencies: this.#latencies.filter(({ sentAt }) => sentAt >= oldest),
    }
  }
}

/** Totals of several servers together. */
export function combine(totals: readonly OutcomeTotals[]): OutcomeTotals {
  const sum = (read: (each: OutcomeTotals) => number): number =>
    totals.reduce((before, each) => before + read(each), 0)
  return {
    statements: sum(({ statements }) => statements),
    failed: sum(({ failed }) => failed),
    busy: sum(({ busy }) => busy),
    hanging: sum(({ hanging }) => hanging),
    failureMoments: sum(({ failureMoments }) => failureMoments),
    answeredAt: milliseconds(Math.max(NEVER, ...totals.map(({ answeredAt }) => answeredAt))),
    latencies: totals.flatMap(({ latencies }) => latencies),
  }
}
