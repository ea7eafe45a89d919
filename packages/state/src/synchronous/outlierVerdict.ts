/**
 * Whether a backend server does so much worse than the others of its service that it gets no more work for a while.
 *
 * @internal
 */
import type { FailureRun, OutcomeTotals, RecentLatency } from './recentOutcomes.js'

/** So many failures without an answer between them are no coincidence, whatever was answered before. */
const MINIMUM_RUN = 5

/** Failures at fewer points in time may have one cause that is over, such as a reset of all connections. */
const MINIMUM_FAILURE_MOMENTS = 3

const MINIMUM_STATEMENTS = 10

/** With fewer statements of the others there is nothing to compare with. */
const MINIMUM_OTHER_STATEMENTS = 3

/** Every tenth statement is tried a second time, and what cannot be tried again is lost. */
const MINIMUM_FAILURE_SHARE = 0.1

/** A well server sheds some statements when its load fluctuates. */
const MINIMUM_BUSY_SHARE = 0.3

/** By how many times the server must fail more than the others; else the cause is common to all, as a bad link is. */
const SHARE_FACTOR = 3

const MINIMUM_LATENCIES = 8
const MINIMUM_OTHER_LATENCIES = 5

/** Both must be exceeded. Replicas of several zones and uneven load differ by less. */
const LATENCY_FACTOR = 4
export const LATENCY_EXCESS_MILLISECONDS = 100

export type EjectionReason = 'consecutiveFailures' | 'failureShare' | 'busyShare' | 'latency'

/** The figures that decided, for operators. */
export interface OutlierFigures {
  readonly consecutiveFailures: number
  readonly statements: number
  readonly failureShare: number
  readonly othersFailureShare: number
  /** Medians; null where too few are known. */
  readonly latencyMilliseconds: number | null
  readonly othersLatencyMilliseconds: number | null
}

export interface Verdict extends OutlierFigures {
  readonly reason: EjectionReason
}

/** The server's failures since its last answer and its totals, and the totals of the others. */
export interface Comparison {
  readonly run: FailureRun | null
  readonly own: OutcomeTotals
  readonly others: OutcomeTotals
}

type Share = (totals: OutcomeTotals) => number

/** Why the server is to be left out; null if it is not. */
export function judge(comparison: Comparison): Verdict | null {
  const { run, own, others } = comparison
  if (others.statements < MINIMUM_OTHER_STATEMENTS) return null
  const countsBusy = exceeds(own, others, busyShare)
  const reason = reasonOf(comparison, countsBusy)
  if (reason === null) return null
  const share = countsBusy ? anyFailureShare : failedShare
  const latencies = comparableLatencies(own, others)
  return {
    reason,
    consecutiveFailures: lengthOf(run, countsBusy),
    statements: Math.round(own.statements),
    failureShare: share(own),
    othersFailureShare: share(others),
    latencyMilliseconds: latencies?.own ?? null,
    othersLatencyMilliseconds: latencies?.others ?? null,
  }
}

function reasonOf(comparison: Comparison, countsBusy: boolean): EjectionReason | null {
  const { own, others } = comparison
  if (isLongRun(comparison, countsBusy)) return 'consecutiveFailures'
  if (own.statements >= MINIMUM_STATEMENTS && own.failureMoments >= MINIMUM_FAILURE_MOMENTS) {
    const hasFailed = failedShare(own) >= MINIMUM_FAILURE_SHARE
    if (hasFailed && exceeds(own, others, failedShare)) return 'failureShare'
    if (countsBusy && busyShare(own) >= MINIMUM_BUSY_SHARE) return 'busyShare'
  }
  const latencies = comparableLatencies(own, others)
  return latencies !== null && isSlow(latencies.own, latencies.others) ? 'latency' : null
}

/** Others must have answered meanwhile: when all fall silent at once, the first to be noticed is no worse. */
function isLongRun({ run, own, others }: Comparison, countsBusy: boolean): boolean {
  if (run === null || lengthOf(run, countsBusy) < MINIMUM_RUN) return false
  if (run.moments < MINIMUM_FAILURE_MOMENTS || others.answeredAt < run.startedAt) return false
  return exceeds(own, others, countsBusy ? anyTroubleShare : troubleShare)
}

const lengthOf = (run: FailureRun | null, countsBusy: boolean): number =>
  run === null ? 0 : run.failed + (countsBusy ? run.busy : 0)

/** Whether a latency is that of a server with which something is wrong; `usual`: median of the others. */
export const isSlow = (latency: number, usual: number): boolean =>
  latency >= usual * LATENCY_FACTOR && latency >= usual + LATENCY_EXCESS_MILLISECONDS

/**
 * The medians of the server and of the others; null where too few are known. Slow answers arrive late: when all servers
 * become slow, those of the least slow one come first, and must not be compared with earlier ones of the others.
 */
function comparableLatencies(
  own: OutcomeTotals,
  others: OutcomeTotals,
): { readonly own: number; readonly others: number } | null {
  const recent = own.latencies.slice(-MINIMUM_LATENCIES)
  const [first] = recent
  if (first === undefined || recent.length < MINIMUM_LATENCIES) return null
  const since = others.latencies.filter(({ sentAt }) => sentAt >= first.sentAt)
  if (since.length < MINIMUM_OTHER_LATENCIES) return null
  return { own: median(recent), others: median(since) }
}

/** Null where too few latencies are known. */
export const usualLatency = ({ latencies }: OutcomeTotals): number | null =>
  latencies.length < MINIMUM_OTHER_LATENCIES ? null : median(latencies)

function median(latencies: readonly RecentLatency[]): number {
  const sorted = latencies.map(({ latency }) => latency).sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

const failedShare: Share = ({ failed, statements }) => failed / Math.max(statements, 1)
const busyShare: Share = ({ busy, statements }) => busy / Math.max(statements, 1)
const anyFailureShare: Share = totals => failedShare(totals) + busyShare(totals)
const troubleShare: Share = ({ failed, hanging, statements }) =>
  (failed + hanging) / Math.max(statements, 1)
const anyTroubleShare: Share = totals => troubleShare(totals) + busyShare(totals)

const exceeds = (own: OutcomeTotals, others: OutcomeTotals, share: Share): boolean =>
  share(own) > 0 && share(own) >= share(others) * SHARE_FACTOR
