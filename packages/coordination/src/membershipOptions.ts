/** The membership machine's bounds. */
import { DEFAULT_NEIGHBOUR_OPTIONS, type NeighbourOptions } from './neighbours.js'

export interface MembershipOptions {
  readonly heartbeatIntervalMilliseconds: number
  /** Heartbeats that may go missing before helpers are asked. */
  readonly silentHeartbeats: number
  /** How long helpers have, and the host itself to be heard again. */
  readonly indirectProbeMilliseconds: number
  readonly helpers: number
  /** A gap between ticks of more heartbeats than this means that this process itself stood still. */
  readonly stallHeartbeats: number
  /** How long a host that has just begun takes listed hosts to be alive before it heard of them. */
  readonly settlingMilliseconds: number
  /** One host that is thought to be gone is tried this often, so that a healed cut is noticed. */
  readonly retryIntervalMilliseconds: number
  /** A host that is gone and no longer listed is forgotten after this. */
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
