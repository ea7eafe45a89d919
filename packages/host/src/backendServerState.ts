/**
 * One backend server as this host uses it: its connections, how fast and how alive it is.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { BackendAddress, BackendServerEntry } from '@nutmegcourse/protocol'
import { LatencyEstimate, ReplicaProgress, WriteConfirmation } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { ServerPool } from './serverPool.js'

/** What the way to a server costs before anything is measured, in milliseconds. */
const LATENCY_IN_ZONE = 8
const LATENCY_IN_REGION = 11
const LATENCY_PAST_THE_LINK = 50

/** After this long without a word from a server that owes one, it is asked whether it lives. */
const TOUCH_AFTER_MILLISECONDS = 150

/** How far away: in this host's zone, in its region, or past the paid link. */
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
    holders: () => number,
  ) {
    this.#context = context
    this.#entry = entry
    this.pool = new ServerPool(context, addressOf(entry), connectionLimit, holders)
    this.distance = distanceOf(context, entry)
    const floors = [LATENCY_IN_ZONE, LATENCY_IN_REGION, LATENCY_PAST_THE_LINK] as const
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

  /** What a statement takes, with the opening of a connection where its customer has none that is idle. */
  expectedMilliseconds(customer: CustomerName | null, now: Milliseconds): number {
    const usual = this.latency.at(now)
    return customer === null ? usual : usual + this.pool.openingMilliseconds(customer)
  }

  /** Whether a write that is sent now is likely to be confirmed. */
  mayWrite(now: Milliseconds): boolean {
    return this.writes.mayWrite(this.latency.at(now), now)
  }

  /** When it last gave a sign of life. */
  get heardAt(): number {
    return Math.max(this.pool.lastHeardAt, this.#touchedAt)
  }

  /** Whether a question or a statement waits for it. */
  get owesAnswer(): boolean {
    const isAsked = this.#probeSentAt !== null || this.#touchStartedAt !== null
    return isAsked || this.pool.busy > 0 || this.pool.waiting > 0
  }

  /** How long it has owed a sign of life; 0 when it owes none. */
  silentFor(now: Milliseconds): number {
    const asked = Math.min(this.#touchStartedAt ?? now, this.#probeSentAt ?? now)
    return Math.max(0, now - Math.max(asked, this.heardAt))
  }

  /** A question that a server answers at once whatever its load was sent, or answered. */
  probeSent(now: Milliseconds): void {
    this.#probeSentAt ??= now
  }

  probeAnswered(): void {
    this.#probeSentAt = null
  }

  /**
   * Asks a server that owes an answer and has been quiet whether it lives: by a new connection,
   * since open ones may have gone silent while the server is well. Its operating system answers,
   * not its queue.
   */
  watchLife(now: Milliseconds): void {
    if (this.#touchStartedAt !== null) {
      if (this.heardAt > this.#touchStartedAt) this.#endTouch()
      return
    }
    const quietSince = Math.max(this.heardAt, this.pool.owesSince)
    if (this.owesAnswer && now - quietSince > TOUCH_AFTER_MILLISECONDS) this.#touch(now)
  }

  /** Another host finds it silent: it is asked, unless it gave a sign of life just now. */
  askForLife(now: Milliseconds): void {
    const isQuiet = now - this.heardAt > TOUCH_AFTER_MILLISECONDS
    if (this.#touchStartedAt === null && isQuiet) this.#touch(now)
  }

  /** Forgets open questions: after a standstill of this host they say nothing of the server. */
  forgetQuestions(): void {
    this.#probeSentAt = null
    this.#endTouch()
  }

  close(): void {
    this.forgetQuestions()
    this.pool.close()
  }

  #endTouch(): void {
    this.#cancelTouch?.()
    this.#cancelTouch = null
    this.#touchStartedAt = null
  }

  #touch(now: Milliseconds): void {
    const touch = this.#context.dialer.touch(this.address)
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
