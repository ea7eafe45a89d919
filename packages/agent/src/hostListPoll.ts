/** Polls the platform's host list, which lags behind changes. If it is unreachable, the last one is used. */
import type { HostListResult, ListedHost } from '@nutmegcourse/protocol'
import type { AvailabilityZoneId } from '@nutmegcourse/shared'
import type { HostListClient } from '@nutmegcourse/transport'

/**
 * A platform that returns the whole list to every poll would, at 7,200 hosts, cost this host one megabyte
 * per second. The poll then slows down, so that repeated lists use at most this bandwidth on average.
 */
const MAX_REPEATED_BYTES_PER_SECOND = 6000
const MILLISECONDS_PER_SECOND = 1000

export interface HostListPollOptions {
  readonly client: HostListClient
  readonly zone: AvailabilityZoneId
  readonly intervalMilliseconds: number
  readonly onChange: (hosts: readonly ListedHost[]) => void
}

export class HostListPoll {
  readonly #options: HostListPollOptions
  #knownVersion: number | null = null
  #timer: NodeJS.Timeout | undefined
  #closed = false

  constructor(options: HostListPollOptions) {
    this.#options = options
  }

  async start(): Promise<void> {
    const { client, zone, intervalMilliseconds } = this.#options
    const receivedBefore = client.traffic.received
    const known = this.#knownVersion === null ? {} : { knownVersion: this.#knownVersion }
    const answer = await client.list({ zone, ...known })
    if (this.#closed) return
    const wasRepeated = answer.isOk() && isRepeated(answer.value, this.#knownVersion)
    if (answer.isOk()) this.#applyResult(answer.value)
    const repeatedBytes = wasRepeated ? client.traffic.received - receivedBefore : 0
    const minimumWait = (repeatedBytes / MAX_REPEATED_BYTES_PER_SECOND) * MILLISECONDS_PER_SECOND
    const wait = Math.max(intervalMilliseconds, minimumWait)
    this.#timer = setTimeout(() => void this.start(), wait)
  }

  close(): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  #applyResult(result: HostListResult): void {
    if (result.unchanged === true || result.version === this.#knownVersion) return
    this.#knownVersion = result.version
    this.#options.onChange(result.hosts)
  }
}

/** The platform sent the whole list although this host already has its version. */
const isRepeated = (result: HostListResult, knownVersion: number | null): boolean =>
  result.unchanged !== true && result.version === knownVersion
