/**
 * One backend server as this host sees it: its connection pool, latency, log progress and liveness.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { BackendAddress, BackendServerEntry } from '@nutmegcourse/protocol'
import { LatencyEstimate, ReplicaProgress, WriteConfirmation } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { ServerPool } from './serverPool.js'

/** Latency estimates in milliseconds before the first measurement, by distance of the server. */
const INITIAL_LATENCY_IN_ZONE = 8
const INITIAL_LATENCY_IN_REGION = 11
const INITIAL_LATENCY_ACROSS_REGIONS = 50

/** A server that owes an answer and has sent nothing for this long is probed with a new connection. */
const TOUCH_AFTER_MILLISECONDS = 150

/** 0: in this host's availability zone, 1: in its region, 2: in another region, across the paid link. */
export type Distance = 0 | 1 | 2

export class BackendServerState {
  readonly pool: ServerPool
  readonly latency: LatencyEstimate
  readonly progress = new ReplicaProgress()
  readonly writes = new WriteConfirmation()
  readonly distance: Distance
  readonly #context: HostContext
  #entry: BackendServerEntry
  #touchStartedAt: Milliseconds | null = null
  #cancelTouch: (() => void) | null = null
  #touchedAt = Number.NEGATIVE_INFINITY
  #probeSentAt: Milliseconds | null = null

  constructor(
    context: HostContext,
    entry: BackendServerEntry,
    connectionLimit: number,
    holdingHosts: () => number,
  ) {
    this.#context = context
    this.#entry = entry
    this.pool = new ServerPool(context, addressOf(entry), connectionLimit, holdingHosts)
    this.distance = distanceOf(context, entry)
    const floors = [
      INITIAL_LATENCY_IN_ZONE,
      INITIAL_LATENCY_IN_REGION,
      INITIAL_LATENCY_ACROSS_REGIONS,
    ] as const
    this.latency = new LatencyEstimate(floors[this.distance])
  }

  get entry(): BackendServerEntry {
    return this.#entry
  }

  set entry(entry: BackendServerEntry) {
    this.#entry = entry
  }

  get address(): BackendAddress {
    return addressOf(this.#entry)
  }

  /** Expected duration of a statement, including the opening of a connection if its customer has none idle. */
  expectedMilliseconds(customer: CustomerName | null, now: Milliseconds): number {
    const usual = this.latency.at(now)
    return customer === null ? usual : usual + this.pool.openingMilliseconds(customer)
  }

  /** Whether a write that is sent now is likely to be confirmed. */
  mayWrite(now: Milliseconds): boolean {
    return this.writes.mayWrite(this.latency.at(now), now)
  }

  /** When anything was last received from it, or a liveness probe succeeded. */
  get lastHeardAt(): number {
    return Math.max(this.pool.lastHeardAt, this.#touchedAt)
  }

  /** Whether a probe or a request is pending on it. */
  get owesAnswer(): boolean {
    const isAsked = this.#probeSentAt !== null || this.#touchStartedAt !== null
    return isAsked || this.pool.busy > 0 || this.pool.waiting > 0
  }

  /** How long a probe has been pending without anything being received; 0 if none is pending. */
  silentMilliseconds(now: Milliseconds): number {
    const probedAt = Math.min(this.#touchStartedAt ?? now, this.#probeSentAt ?? now)
    return Math.max(0, now - Math.max(probedAt, this.lastHeardAt))
  }

  /** Records that a query was sent which a server answers at once, whatever its load. */
  probeSent(now: Milliseconds): void {
    this.#probeSentAt ??= now
  }

  probeAnswered(): void {
    this.#probeSentAt = null
  }

  /**
   * Probes a server that owes an answer and has sent nothing for a while. The probe is a new connection, since open
   * ones may be broken while the server is well, and the server's operating system answers it independently of its
   * load.
   */
  probeIfSilent(now: Milliseconds): void {
    if (this.#touchStartedAt !== null) {
      if (this.lastHeardAt > this.#touchStartedAt) this.#endTouch()
      return
    }
    const quietSince = Math.max(this.lastHeardAt, this.pool.busySince)
    if (this.owesAnswer && now - quietSince > TOUCH_AFTER_MILLISECONDS) this.#touch(now)
  }

  /** Probes the server because another host finds it silent, unless something was received from it recently. */
  probeLiveness(now: Milliseconds): void {
    const isQuiet = now - this.lastHeardAt > TOUCH_AFTER_MILLISECONDS
    if (this.#touchStartedAt === null && isQuiet) this.#touch(now)
  }

  /** Discards pending probes: after a stall of this process they tell nothing about the server. */
  discardProbes(): void {
    this.#probeSentAt = null
    this.#endTouch()
  }

  close(): void {
    this.discardProbes()
    this.pool.close()
  }

  #endTouch(): void {
    this.#cancelTouch?.()
    this.#cancelTouch = null
    this.#touchStartedAt = null
  }

  #touch(now: Milliseconds): void {
    const touch = this.#context.dialer.probe(this.address)
    const cancel = (): void => {
      touch.cancel()
    }
    this.#touchStartedAt = now
    this.#cancelTouch = cancel
    void touch.answered.then(result => {
      if (this.#cancelTouch !== cancel) return
      this.#cancelTouch = null
      this.#touchStartedAt = null
      if (result.isOk()) {
        this.#touchedAt = this.#context.clock.now()
        this.pool.refusals = 0
      } else this.pool.refusals += 1
    })
  }
}

const addressOf = (entry: BackendServerEntry): BackendAddress => ({
  service: entry.service,
  server: entry.server,
  host: entry.host,
  port: entry.port,
})

function distanceOf(context: HostContext, entry: BackendServerEntry): Distance {
  const { zone, region, regions } = context.settings
  if (entry.zone === zone) return 0
  return regions.get(entry.zone) === region ? 1 : 2
}
