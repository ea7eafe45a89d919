/**
 * One backend server as this host sees it: its connection pool, latency, log progress and liveness.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { BackendAddress, BackendServerEntry } from '@nutmegcourse/protocol'
import {
  LatencyEstimate,
  ReplicaProgress,
  SILENCE_LIMIT_MILLISECONDS,
  WriteConfirmation,
  type ConnectionPart,
} from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { ServerPool } from './serverPool.js'
import { SlotGate } from './slotGate.js'

/**
 * Latency in milliseconds that is due to the distance of the server alone. Estimates start there before the first
 * measurement, and return to it without new ones.
 */
const INITIAL_LATENCY_IN_ZONE = 8
const INITIAL_LATENCY_IN_REGION = 11
const INITIAL_LATENCY_ACROSS_REGIONS = 50

/** A server that owes an answer and has sent nothing for this long is probed with a new connection. */
const PROBE_AFTER_MILLISECONDS = 150

/** 0: in this host's availability zone, 1: in its region, 2: in another region, where traffic is billed. */
export type Distance = 0 | 1 | 2

export class BackendServerState {
  readonly pool: ServerPool
  /** Null where slots are not scheduled. */
  readonly gate: SlotGate | null
  readonly latency: LatencyEstimate
  readonly progress: ReplicaProgress
  readonly writes = new WriteConfirmation()
  readonly distance: Distance
  readonly #context: HostContext
  #entry: BackendServerEntry
  #connectionProbeStartedAt: Milliseconds | null = null
  #cancelConnectionProbe: (() => void) | null = null
  #connectionProbeAnsweredAt = Number.NEGATIVE_INFINITY
  #queryProbeSentAt: Milliseconds | null = null

  constructor(
    context: HostContext,
    entry: BackendServerEntry,
    connectionLimit: number,
    part: () => ConnectionPart,
  ) {
    this.#context = context
    this.#entry = entry
    this.pool = new ServerPool(context, addressOf(entry), connectionLimit, part)
    this.gate = context.settings.schedulesSlots
      ? new SlotGate(context, entry.server, entry.slots, () => this.pool.waitingForUsed)
      : null
    this.progress = new ReplicaProgress(context.settings.schedulesSlots)
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
    this.gate?.resize(entry.slots)
  }

  get address(): BackendAddress {
    return addressOf(this.#entry)
  }

  /** Expected duration of a statement. For a customer without an idle connection, includes opening one. */
  expectedMilliseconds(customer: CustomerName | null, now: Milliseconds): number {
    const usual = this.latency.at(now)
    return customer === null ? usual : usual + this.pool.openingMilliseconds(customer)
  }

  /** This host's statements that run or wait there. */
  get load(): number {
    return this.gate?.load ?? this.pool.busy + this.pool.waiting
  }

  /** Fails all requests that wait for a slot or a connection; they then look for another server. */
  withdrawWaiting(): void {
    this.gate?.withdrawWaiting()
    this.pool.withdrawWaiting('withdrawn')
  }

  /** Whether a write may be sent now: writes are likely to be confirmed, or it is time to test whether they are. */
  mayWrite(now: Milliseconds): boolean {
    return this.writes.mayWrite(this.latency.at(now), now)
  }

  /** When anything was last received from it, or a liveness probe succeeded. */
  get lastHeardAt(): number {
    return Math.max(this.pool.lastHeardAt, this.#connectionProbeAnsweredAt)
  }

  /** Whether a probe or a request is pending on it. */
  get owesAnswer(): boolean {
    const isProbed = this.#queryProbeSentAt !== null || this.#connectionProbeStartedAt !== null
    return isProbed || this.pool.busy > 0 || this.pool.waiting > 0
  }

  /** How long a probe has been pending without anything being received; 0 if none is pending. */
  silentMilliseconds(now: Milliseconds): number {
    const probedAt = Math.min(this.#connectionProbeStartedAt ?? now, this.#queryProbeSentAt ?? now)
    return Math.max(0, now - Math.max(probedAt, this.lastHeardAt))
  }

  /** Whether it refuses connections, or has left a probe unanswered for longer than the silence limit. */
  isOutOfReach(now: Milliseconds): boolean {
    return this.pool.refusals > 0 || this.silentMilliseconds(now) > SILENCE_LIMIT_MILLISECONDS
  }

  /** Records that a query was sent which a server answers at once, whatever its load. */
  probeSent(now: Milliseconds): void {
    this.#queryProbeSentAt ??= now
  }

  probeAnswered(): void {
    this.#queryProbeSentAt = null
  }

  /**
   * Probes a server that owes an answer and has sent nothing for a while. The probe is a new connection, since open
   * ones may be broken while the server is well, and the server's operating system answers it independently of its
   * load.
   */
  probeIfSilent(now: Milliseconds): void {
    if (this.#connectionProbeStartedAt !== null) {
      if (this.lastHeardAt > this.#connectionProbeStartedAt) this.#endConnectionProbe()
      return
    }
    const quietSince = Math.max(this.lastHeardAt, this.pool.busySince)
    if (this.owesAnswer && now - quietSince > PROBE_AFTER_MILLISECONDS)
      this.#startConnectionProbe(now)
  }

  /** Probes the server because another host finds it silent, unless something was received from it recently. */
  probeLiveness(now: Milliseconds): void {
    const isQuiet = now - this.lastHeardAt > PROBE_AFTER_MILLISECONDS
    if (this.#connectionProbeStartedAt === null && isQuiet) this.#startConnectionProbe(now)
  }

  /** Discards pending probes: after a stall of this process they tell nothing about the server. */
  discardProbes(): void {
    this.#queryProbeSentAt = null
    this.#endConnectionProbe()
  }

  close(): void {
    this.discardProbes()
    this.gate?.withdrawWaiting()
    this.pool.close()
  }

  #endConnectionProbe(): void {
    this.#cancelConnectionProbe?.()
    this.#cancelConnectionProbe = null
    this.#connectionProbeStartedAt = null
  }

  #startConnectionProbe(now: Milliseconds): void {
    const probe = this.#context.dialer.probe(this.address)
    const cancel = (): void => {
      probe.cancel()
    }
    this.#connectionProbeStartedAt = now
    this.#cancelConnectionProbe = cancel
    void probe.answered.then(result => {
      if (this.#cancelConnectionProbe !== cancel) return
      this.#cancelConnectionProbe = null
      this.#connectionProbeStartedAt = null
      if (result.isOk()) {
        this.#connectionProbeAnsweredAt = this.#context.clock.now()
        this.pool.refusals = 0
      } else this.pool.refusals += 1
    })
  }
}

export const addressOf = (entry: BackendServerEntry): BackendAddress => ({
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
