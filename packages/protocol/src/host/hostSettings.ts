/** What an entry host is told by its settings. */
import type { AvailabilityZoneId, EntryHostId, RegionId } from '@nutmegcourse/shared'

export interface HostAddress {
  readonly host: string
  readonly port: number
}

/** In any span of `windowMilliseconds` a customer may exceed its limit by this much. */
export interface LimitTolerance {
  readonly windowMilliseconds: number
  /** A part of the limit. */
  readonly overage: number
  /** Operations. */
  readonly slack: number
}

/** What a host does that cannot have heard whether a key was taken away. */
export interface RevocationRule {
  /** It refuses callers that need a key. */
  readonly isStrict: boolean
  /** After it has known nothing new for so long. */
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
  /** The part of a processor that this host has. */
  readonly processorShare: number
  /** Where counters are served; null when the settings leave no port for it. */
  readonly metrics: HostAddress | null
  readonly store: HostAddress & {
    readonly writesPerSecond: number
    readonly readsPerSecond: number
    readonly shortestLeaseMilliseconds: number
  }
  readonly promotion: HostAddress | null
  /** Time between two words of a backend server to the store. */
  readonly serverHeartbeatMilliseconds: number
  /** New work must have ended this long after a server said that it leaves. */
  readonly drainMilliseconds: number
  /** A new configuration must be in force this long after the store took it. */
  readonly configurationMilliseconds: number
  /** Whether callers identify themselves by keys, and each customer has connections of its own. */
  readonly requiresKeys: boolean
  /** How exactly limits of customers must hold; null where no limits are in force. */
  readonly limitTolerance: LimitTolerance | null
  readonly revocation: RevocationRule
  /** From the signal to stop until the process is killed. */
  readonly graceMilliseconds: number
  /** The whole fleet starts for the first time: no callers come yet, and no host is listed. */
  readonly isFirstStart: boolean
}
