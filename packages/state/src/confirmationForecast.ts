/**
 * Predicts how long a write that runs now would wait for its confirmation.
 *
 * @internal
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'
import type { PositionTracker } from './positionTracker.js'

/** Reports older than this are not used. */
const STALE_MILLISECONDS = 3000
/** Smaller backlogs are caught up almost at once, and rates measured over them are unreliable. */
const LEAST_BACKLOG_RECORDS = 50
/** Caps the forecast for a replica that makes no progress, which would otherwise be infinite. */
const LONGEST_FORECAST_MILLISECONDS = 60_000

/**
 * Milliseconds until a majority would hold a write that runs now, from each replica's backlog and
 * its rate of progress; null when that is not known. Missing data never causes a refusal: the
 * forecast needs fresh reports of enough replicas and a rate measured over some time.
 */
export function forecastConfirmation(
  tracker: PositionTracker,
  primary: BackendServerId,
  now: Milliseconds,
): number | null {
  const leading = tracker.reportOf(primary)
  if (leading === null || now - tracker.askedAtOf(primary) > STALE_MILLISECONDS) return null
  const replicas = tracker.replicasOf(primary)
  if (replicas === null) return null
  const waits: number[] = []
  for (const { position, askedAt, recordsPerSecond } of replicas) {
    if (position.term !== leading.position.term) return null
    const backlog = leading.position.offset - position.offset
    if (backlog < LEAST_BACKLOG_RECORDS) return 0
    if (now - askedAt > STALE_MILLISECONDS || recordsPerSecond === null) return null
    waits.push((backlog / recordsPerSecond) * 1000)
  }
  waits.sort((left, right) => left - right)
  const wait = waits[tracker.majority - 2] ?? null
  return wait === null ? null : Math.min(wait, LONGEST_FORECAST_MILLISECONDS)
}
