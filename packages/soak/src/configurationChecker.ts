/**
 * Checks what hosts are seen to know of the published configurations: each version is in force within its bound, a host
 * never goes back to an older one, and a host that serves a route of a version has dropped what the version removed.
 */
import { CONFIGURATION_BOUND_MILLISECONDS } from '@nutmegcourse/platform/standIns'

/** Each version adds one route, which the version this much later removes. */
export const ROUTE_LIFETIME_VERSIONS = 16

export const databaseOfVersion = (version: number): string => `version-${String(version)}`

/** The versions whose routes a version contains. */
export const liveVersions = (version: number): readonly number[] => {
  const first = Math.max(1, version - ROUTE_LIFETIME_VERSIONS + 1)
  return Array.from({ length: version - first + 1 }, (_, index) => first + index)
}

/** How a host answered a caller of a version's database. */
export type DatabaseAnswer =
  | 'served'
  /** The host says that there is no such database. */
  | 'unknown'
  /** The host refuses the caller for another reason. */
  | 'refused'
  /** The connection failed, or no answer came. */
  | 'none'

export interface HostAnswer {
  readonly host: string
  /** A number that grows with each start of the host's process. */
  readonly incarnation: number
  readonly version: number
  readonly sentAt: number
  readonly answer: DatabaseAnswer
}

/** The end of the last time in which a host could not be expected to follow, up to now; infinite while it lasts. */
export type ExcusedUntil = (host: string, since: number) => number

interface HostState {
  readonly incarnation: number
  /** The newest version that it was seen to serve, and when that was known. */
  version: number
  seenAt: number
}

export class ConfigurationChecker {
  readonly #excusedUntil: ExcusedUntil
  readonly #report: (finding: string) => void
  readonly #publishedAt = new Map<number, number>()
  readonly #hosts = new Map<string, HostState>()
  readonly #late = new Set<string>()
  #newest = 0
  /** The longest time from the publication of a version, or the end of what excused a host, until it served the version. */
  longestDelayMilliseconds = 0
  readonly counts = { versions: 0, inForce: 0, late: 0, refused: 0 }

  constructor(excusedUntil: ExcusedUntil, report: (finding: string) => void) {
    this.#excusedUntil = excusedUntil
    this.#report = report
  }

  get newestVersion(): number {
    return this.#newest
  }

  published(version: number, at: number): void {
    this.#newest = version
    this.#publishedAt.set(version, at)
    this.counts.versions += 1
  }

  /** The versions that a host has yet to be seen with; an older one that it served before is asked again. */
  versionsToAsk(host: string): readonly number[] {
    const known = this.#hosts.get(host)?.version ?? 0
    const live = liveVersions(this.#newest)
    const dropped = known - ROUTE_LIFETIME_VERSIONS
    return [...live.filter(version => version >= known), ...(dropped > 0 ? [dropped] : [])]
  }

  record(given: HostAnswer, now: number): void {
    const { host, version, answer } = given
    const known = this.#stateOf(host, given.incarnation)
    switch (answer) {
      case 'served':
        if (version > known.version) this.#advance(host, known, version, now)
        else if (version <= known.version - ROUTE_LIFETIME_VERSIONS)
          this.#report(
            `${host} served ${databaseOfVersion(version)} after it served version ${String(known.version)}, which had removed it`,
          )
        return
      case 'refused':
        this.counts.refused += 1
        if (version > known.version) this.#checkVersion(given, known)
        return
      case 'unknown':
        if (version > known.version) this.#checkVersion(given, known)
        else this.#checkKnown(given, known)
        return
      case 'none':
    }
  }

  #checkKnown({ host, version, sentAt }: HostAnswer, known: HostState): void {
    const isRemoved = version <= this.#newest - ROUTE_LIFETIME_VERSIONS
    if (isRemoved || sentAt <= known.seenAt) return
    this.#report(
      `${host} refused ${databaseOfVersion(version)} as unknown after it served version ${String(known.version)}`,
    )
  }

  #stateOf(host: string, incarnation: number): HostState {
    const known = this.#hosts.get(host)
    if (known?.incarnation === incarnation) return known
    const state = { incarnation, version: 0, seenAt: 0 }
    this.#hosts.set(host, state)
    return state
  }

  #advance(host: string, known: HostState, version: number, now: number): void {
    for (let each = known.version + 1; each <= version; each += 1) {
      const delay = now - this.#dueFrom(host, each)
      if (Number.isFinite(delay))
        this.longestDelayMilliseconds = Math.max(this.longestDelayMilliseconds, Math.round(delay))
    }
    this.counts.inForce += 1
    known.version = version
    known.seenAt = now
  }

  /** Reports a version that is not in force although its time had passed when the host was asked. */
  #checkVersion({ host, version, sentAt, answer }: HostAnswer, known: HostState): void {
    const subject = `${host} ${String(version)}`
    const waited = sentAt - this.#dueFrom(host, version)
    if (waited <= CONFIGURATION_BOUND_MILLISECONDS || this.#late.has(subject)) return
    this.#late.add(subject)
    this.counts.late += 1
    this.#report(
      `version ${String(version)} is not in force at ${host} after ${waited.toFixed(0)} ms (${answer}); it was last seen with ${String(known.version)}`,
    )
  }

  /** From when the bound counts: the publication, or the end of the last fault that excuses the host. */
  #dueFrom(host: string, version: number): number {
    const publishedAt = this.#publishedAt.get(version) ?? 0
    return Math.max(publishedAt, this.#excusedUntil(host, publishedAt))
  }
}
