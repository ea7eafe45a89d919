/** What agents exchange about entry hosts. */
import type { AvailabilityZoneId, EntryHostId, Incarnation, RegionId } from '@nutmegcourse/shared'

/** `failed`: no agent that was asked reaches it. `left`: a planned stop. A newer incarnation ends either. */
export type MemberStatus = 'alive' | 'failed' | 'left'

export interface Member {
  readonly entryHost: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  /** Where its agent listens, by its own settings. The address in the host list takes precedence. */
  readonly address: string
  readonly port: number
  /** Grows with each restart of the host and each time it refutes a false report about itself. */
  readonly incarnation: Incarnation
  readonly status: MemberStatus
}
