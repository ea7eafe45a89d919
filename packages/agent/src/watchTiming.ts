/**
 * How often this host's watches query the servers. Each query costs bandwidth and processor time, and a host
 * may watch many databases, in a large fleet or after many hosts have failed. A longer interval does not
 * delay the detection of a primary whose process dies, as that closes its connections; it does delay the
 * detection of a primary that stalls or is cut off by a network partition.
 */
import type { AgentSettings } from '@nutmegcourse/settings'

/**
 * A query and its answer take about 240 bytes, as measured by `npm run bench -- fleet`. In a large fleet
 * the links to other agents use most of a host's share of control traffic, so the limit is lower.
 */
const MAX_QUERIES_PER_SECOND = { small: 60, large: 30 }
const LARGE_FLEET_HOSTS = 100
/** Two consecutive queries must be unanswered before a primary counts as silent. */
const INTERVALS_PER_DETECTION = 2.5
const MILLISECONDS_PER_SECOND = 1000

export interface WatchTiming {
  readonly watchIntervalMilliseconds: number
  readonly detectionMilliseconds: number
}

/** The interval grows by doubling, so that adding or removing a database rarely changes the timing. */
export function watchTiming(
  settings: Pick<AgentSettings, 'watchIntervalMilliseconds' | 'detectionMilliseconds'>,
  watchedServers: number,
  fleetHosts: number,
): WatchTiming {
  const limit = MAX_QUERIES_PER_SECOND[fleetHosts > LARGE_FLEET_HOSTS ? 'large' : 'small']
  let interval = settings.watchIntervalMilliseconds
  while ((watchedServers * MILLISECONDS_PER_SECOND) / interval > limit) interval *= 2
  return {
    watchIntervalMilliseconds: interval,
    detectionMilliseconds: Math.max(
      settings.detectionMilliseconds,
      interval * INTERVALS_PER_DETECTION,
    ),
  }
}
