/** The settings of an entry host. */
import type { AvailabilityZoneId, EntryHostId, RegionId } from '@nutmegcourse/shared'

export interface HostAddress {
  readonly host: string
  readonly port: number
}

/** How far a customer may exceed its limit in any span of `windowMilliseconds`. */
export interface LimitTolerance {
  readonly windowMilliseconds: number
  /** As a fraction of the limit. */
  readonly overage: number
  /** As a number of operations. */
  readonly slack: number
}

/** What a host does while it cannot know whether a key was revoked. */
export interface RevocationRule {
  /** Whether it refuses callers that need a key. */
  readonly isStrict: boolean
  /** Age of its newest information from the store beyond which the rule applies. */
  readonly withinMilliseconds: number
}

export interface HostSettings {
  readonly entryHost: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  /** The region of each zone. */
  readonly regions: ReadonlyMap<AvailabilityZoneId, RegionId>
  readonly callers: HostAddress
  readonly readiness: HostAddress
  /** Where it runs statements for other entry hosts; null when the settings leave no port for it. */
  readonly relay: HostAddress | null
  /** Processor capacity that this host may use, in the platform's standard cores; may exceed 1. */
  readonly processorShare: number
  /** Where counters are served; null when the settings leave no port for it. */
  readonly metrics: HostAddress | null
  readonly store: HostAddress & {
    readonly writesPerSecond: number
    readonly readsPerSecond: number
    readonly shortestLeaseMilliseconds: number
  }
  readonly promotion: HostAddress | null
  /** Interval at which a backend server reports to the store. */
  readonly serverHeartbeatMilliseconds: number
  /** New work must no longer reach a server this long after it announced that it is leaving. */
  readonly drainMilliseconds: number
  /** A new configuration must be in force this long after the store accepted it. */
  readonly configurationMilliseconds: number
  /** Whether callers identify themselves by keys, and each customer has connections of its own. */
  readonly requiresKeys: boolean
  /** Whether one dispatcher a region shares out each backend server's slots, by class and customer. */
  readonly schedulesSlots: boolean
  /** How exactly limits of customers must hold; null where no limits are in force. */
  readonly limitTolerance: LimitTolerance | null
  readonly revocation: RevocationRule
  /** Time from the stop signal until the process is killed. */
  readonly graceMilliseconds: number
  /** Whether the whole fleet starts for the first time, when there are no callers yet and no host is listed. */
  readonly isFirstStart: boolean
}
