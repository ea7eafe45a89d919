/** Options of a proxy's decision core. All durations are in milliseconds. */
import type { AvailabilityZoneId, RegionId } from '@nutmegcourse/shared'

export interface ProxyOptions {
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  /** Longest a request waits for a usable primary, if its class's latency is shorter. */
  readonly failoverWaitMilliseconds: number
  /** Longest a write waits for its confirmation, if its class's latency is shorter. */
  readonly confirmationFloorMilliseconds: number
  /** Longest a request may run, if ten times its class's latency is shorter. */
  readonly runLimitMilliseconds: number
  /** Most requests of one database that may wait for a bound, a server or a connection. */
  readonly queueLimit: number
  /** Delay before a share of connections grows after the number of entry hosts fell. */
  readonly shareGrowthDelayMilliseconds: number
  /** Least number of entry hosts that a connection limit is divided by. */
  readonly minimumEntryHosts: number
  /** Connections of each backend server reserved for agents' questions and control statements. */
  readonly controlConnectionsReserved: number
  /** How long a leaving primary still takes writes while the move to another one is pending. */
  readonly leavingPrimaryGraceMilliseconds: number
  /** Most sessions per database whose last position is kept. */
  readonly sessionLimit: number
}

export type ProxyPlace = Pick<ProxyOptions, 'zone' | 'region'>

const DEFAULTS: Omit<ProxyOptions, keyof ProxyPlace> = {
  failoverWaitMilliseconds: 3000,
  confirmationFloorMilliseconds: 5000,
  runLimitMilliseconds: 60_000,
  queueLimit: 1000,
  shareGrowthDelayMilliseconds: 30_000,
  minimumEntryHosts: 1,
  controlConnectionsReserved: 3,
  leavingPrimaryGraceMilliseconds: 1500,
  sessionLimit: 100_000,
}

/** Completes the given options with defaults. */
export function proxyOptions(given: ProxyPlace & Partial<ProxyOptions>): ProxyOptions {
  return { ...DEFAULTS, ...given }
}
