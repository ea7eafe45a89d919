/** Timeouts and limits of the membership state machine. */
import { DEFAULT_NEIGHBOUR_OPTIONS, type NeighbourOptions } from './neighbours.js'

export interface MembershipOptions {
  readonly heartbeatIntervalMilliseconds: number
  /** Heartbeats that may go missing before helpers are asked to probe the host. */
  readonly silentHeartbeats: number
  /** Time for helpers to reach the host, or for a message of the host to arrive, before it is declared failed. */
  readonly indirectProbeMilliseconds: number
  /** Number of hosts that are asked to probe one silent host. */
  readonly helpers: number
  /** A gap between ticks that is longer than this number of heartbeat intervals counts as a stall of this process. */
  readonly stallHeartbeats: number
  /** After its start a host treats listed hosts as alive for this long, even if it knows nothing of them yet. */
  readonly settlingMilliseconds: number
  /** Interval at which one unavailable host is retried, so that the end of a network partition is noticed. */
  readonly retryIntervalMilliseconds: number
  /** An unavailable host that is no longer listed is forgotten after this time. */
  readonly forgetMilliseconds: number
  readonly neighbours: NeighbourOptions
}

export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  heartbeatIntervalMilliseconds: 1000,
  silentHeartbeats: 3,
  indirectProbeMilliseconds: 1500,
  helpers: 3,
  stallHeartbeats: 2,
  settlingMilliseconds: 5000,
  retryIntervalMilliseconds: 5000,
  forgetMilliseconds: 3_600_000,
  neighbours: DEFAULT_NEIGHBOUR_OPTIONS,
}
