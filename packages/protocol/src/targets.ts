/** The operators' targets document: classes of work and the service level of each. It names no hosts or weights. */
import type { ClassName, DatabaseId } from '@nutmegcourse/shared'

export interface ClassTargets {
  readonly name: ClassName
  readonly access: 'read' | 'write'
  /** Whether a request of this class may be sent again after a broken connection. */
  readonly idempotent: boolean
  /** Oldest data a read may see, in milliseconds; 0 means everything acknowledged before it arrived. */
  readonly freshnessMilliseconds: number
  /** Time within which a request should be answered. */
  readonly latencyMilliseconds: number
  /** The share of reads, 0 to 1, that may leave the primary. */
  readonly replicaReadShare: number
}

/** Picks a class by user, application name and database when a connection names none. The first match wins. */
export interface ClassDefault {
  readonly user?: string
  readonly applicationName?: string
  readonly database?: DatabaseId
  readonly class: ClassName
}

export interface Targets {
  readonly service: string
  readonly classes: readonly ClassTargets[]
  readonly defaults: readonly ClassDefault[]
}
