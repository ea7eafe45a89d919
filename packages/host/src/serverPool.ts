/**
 * This host's connections to one backend server, and who waits for one.
 *
 * @internal
 */
import { addMilliseconds, drawnApart, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink, LinkFailure } from '@nutmegcourse/protocol'
import {
  ConnectionValues,
  ServiceEstimate,
  SessionValues,
  WaitingLine,
  connectionsToOpen,
  forecastWait,
  poolLimits,
  type PoolLimits,
  type Waiter,
} from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { OVERDUE, within } from './waiting.js'

/** One connection, and what is known of it. */
export interface PooledLink {
  readonly link: BackendLink
  readonly values: ConnectionValues
  idleSince: Milliseconds
  /** Since when work holds it. */
  takenAt: Milliseconds
}

export type AcquireFailure = 'unreachable' | 'full' | 'overdue' | 'withdrawn'

export type Acquired =
  | { readonly link: PooledLink }
  | { readonly failure: AcquireFailure }
  /** The line is so long that it was not joined. */
  | { readonly failure: 'overloaded'; readonly waitMilliseconds: number }

/** Under which terms work waits for a connection. */
export interface AcquireTerms {
  readonly priority: number
  readonly deadline: Milliseconds
  /** Work that would have to wait longer, by all that is known, is told so at once. */
  readonly patienceMilliseconds: number
}

interface LinkWaiter extends Waiter {
  readonly session: SessionValues
  settle(acquired: Acquired): void
}

/** A server that takes a connection does so within tens of milliseconds, past the link too. */
const OPEN_LIMIT_MILLISECONDS = 1000

/** After a refusal for want of connections; others give theirs back within about this time. */
const FULL_PAUSE_MILLISECONDS = 60

/** For so long after such a refusal this host asks for no more than one at a time. */
const FULL_CAUTION_MILLISECONDS = 1000

/** The wait that is forecast, and told, where no connection has come for longer; hosts give theirs back sooner. */
const LONGEST_DENIAL_MILLISECONDS = 1000

/** After a refused connection. A server that starts again is found within this time. */
const REFUSED_PAUSE_MILLISECONDS = 80

/** A connection beyond this host's share goes back when nothing has needed it for so long. */
const SURPLUS_IDLE_MILLISECONDS = 250

/** Connections that are kept although nothing needs them, so that the first request needs no handshake. */
const WARM_CONNECTIONS = 1

/** The priorities of requests begin at 0. */
const HIGHEST_PRIORITY = -1

const NO_SESSION = new SessionValues()

const NOT_TAKEN = milliseconds(Number.NEGATIVE_INFINITY)

export class ServerPool {
  readonly #context: HostContext
  readonly #address: BackendAddress
  readonly #idle: PooledLink[] = []
  readonly #all = new Set<PooledLink>()
  readonly #line = new WaitingLine<LinkWaiter>()
  /** How long work holds a connection, the pauses of transactions included. */
  readonly #holds = new ServiceEstimate()
  #connectionLimit: number
  /** Hosts that share the server's connections. */
  readonly #holders: () => number
  #opening = 0
  #mayOpenAt = milliseconds(0)
  #isClosed = false
  #fullAt = milliseconds(Number.NEGATIVE_INFINITY)
  /** Since when it has been full while this host holds no connection to it. */
  #deniedSince: Milliseconds | null = null
  #owesSince = Number.NEGATIVE_INFINITY
  /** Refused connections in a row. */
  refusals = 0

  constructor(
    context: HostContext,
    address: BackendAddress,
    connectionLimit: number,
    holders: () => number,
  ) {
    this.#holders = holders
    this.#context = context
    this.#address = address
    this.#connectionLimit = connectionLimit
  }

  set connectionLimit(limit: number) {
    this.#connectionLimit = limit
  }

  get waiting(): number {
    return this.#line.size
  }

  get busy(): number {
    return this.#all.size - this.#idle.length
  }

  get size(): number {
    return this.#all.size + this.#opening
  }

  /** When bytes last came on any connection. */
  get lastHeardAt(): number {
    let last = Number.NEGATIVE_INFINITY
    for (const { link } of this.#all) last = Math.max(last, link.lastHeardAt)
    return last
  }

  /**
   * Since when work has run or waited here without a pause. Not when the last of it came: under load
   * that is always a moment ago, and the silence of a dead server would never seem to begin.
   */
  get owesSince(): number {
    return this.#owesSince
  }

  /** A connection whose values fit the session best, or a place in the line for one. */
  acquire(session: SessionValues, terms: AcquireTerms): Promise<Acquired> {
    if (this.#isClosed) return Promise.resolve({ failure: 'withdrawn' })
    if (this.busy === 0 && this.waiting === 0) this.#owesSince = this.#context.clock.now()
    const idle = this.#takeIdle(session)
    if (idle !== null) return Promise.resolve({ link: this.#taken(idle) })
    const waitMilliseconds = this.#forecastWait(terms)
    if (waitMilliseconds > terms.patienceMilliseconds) {
      return Promise.resolve({ failure: 'overloaded', waitMilliseconds })
    }
    return this.#wait(session, terms)
  }

  /** How long work that comes now would wait for a connection. */
  #forecastWait(terms: AcquireTerms): number {
    return Math.max(
      this.#deniedMilliseconds,
      forecastWait({
        ahead: this.#line.aheadOf(terms),
        connections: this.busy + (this.#wasFull() ? 0 : this.#opening),
        holdMilliseconds: this.#holds.at(this.#context.clock.now()),
      }),
    )
  }

  /**
   * For how long the full server has given this host no connection at all. No line moves here then, and it
   * may well last as long again: work that joined it waited to the end of its time, 0.9 s, in vain.
   */
  get #deniedMilliseconds(): number {
    if (this.#deniedSince === null || !this.#wasFull()) return 0
    const denied = this.#context.clock.now() - this.#deniedSince
    return Math.min(denied, LONGEST_DENIAL_MILLISECONDS)
  }

  /** A connection for the host's own questions and orders: before all requests, and however long the line is. */
  acquireFirst(deadline: Milliseconds): Promise<Acquired> {
    return this.acquire(NO_SESSION, {
      priority: HIGHEST_PRIORITY,
      deadline,
      patienceMilliseconds: Number.POSITIVE_INFINITY,
    })
  }

  #wait(session: SessionValues, { priority, deadline }: AcquireTerms): Promise<Acquired> {
    return new Promise(resolve => {
      const waiter: LinkWaiter = {
        priority,
        deadline,
        session,
        settle: acquired => {
          clearTimeout(timer)
          resolve(acquired)
        },
      }
      const timer = setTimeout(
        () => {
          this.#line.leave(waiter)
          resolve({ failure: 'overdue' })
        },
        Math.max(0, deadline - this.#context.clock.now()),
      )
      this.#line.join(waiter)
      this.#openMore()
    })
  }

  /** An idle connection, or null; nothing waits for it. */
  takeIdleNow(): PooledLink | null {
    const idle = this.#idle.pop()
    return idle === undefined ? null : this.#taken(idle)
  }

  /** The connection is outside any transaction and owes no answer. */
  release(pooled: PooledLink): void {
    if (!pooled.link.isOpen || this.#isClosed) {
      this.discard(pooled)
      return
    }
    this.#given(pooled)
    const waiter = this.#line.next()
    if (waiter !== null) {
      waiter.settle({ link: this.#taken(pooled) })
      return
    }
    pooled.idleSince = this.#context.clock.now()
    this.#idle.push(pooled)
  }

  #taken(pooled: PooledLink): PooledLink {
    pooled.takenAt = this.#context.clock.now()
    return pooled
  }

  /** Work gives it back, or a connection that was just made has not held any. */
  #given({ takenAt }: PooledLink): void {
    const now = this.#context.clock.now()
    if (Number.isFinite(takenAt)) this.#holds.record(now - takenAt, now)
  }

  /** The connection owes an answer or is in an unknown state: nobody may use it again. */
  discard(pooled: PooledLink): void {
    const index = this.#idle.indexOf(pooled)
    if (index >= 0) this.#idle.splice(index, 1)
    else if (this.#all.has(pooled)) this.#given(pooled)
    this.#all.delete(pooled)
    pooled.link.close()
    if (!this.#isClosed) this.#openMore()
  }

  /** Sends those who wait elsewhere. */
  withdrawWaiting(failure: AcquireFailure): void {
    for (const waiter of this.#line.takeAll()) waiter.settle({ failure })
  }

  tick(now: Milliseconds, keepWarm: boolean): void {
    this.#closeSurplus(now, keepWarm)
    this.#openMore(keepWarm ? WARM_CONNECTIONS : 0)
  }

  /** Takes no more work; connections in use end with their work. */
  close(): void {
    this.#isClosed = true
    this.withdrawWaiting('withdrawn')
    for (const pooled of [...this.#idle]) this.discard(pooled)
  }

  /** A server that was full is asked for one connection at a time: many hosts want the few it has. */
  #wasFull(): boolean {
    return this.#context.clock.now() < addMilliseconds(this.#fullAt, FULL_CAUTION_MILLISECONDS)
  }

  #limits(): PoolLimits {
    return poolLimits(this.#connectionLimit, this.#holders())
  }

  #takeIdle(session: SessionValues): PooledLink | null {
    let best = -1
    let least = Number.POSITIVE_INFINITY
    for (let index = this.#idle.length - 1; index >= 0; index -= 1) {
      const distance = this.#idle[index]?.values.distance(session) ?? least
      if (distance >= least) continue
      least = distance
      best = index
    }
    const [pooled] = best < 0 ? [] : this.#idle.splice(best, 1)
    return pooled ?? null
  }

  #openMore(warm = 0): void {
    if (this.#isClosed || this.#context.clock.now() < this.#mayOpenAt) return
    const state = {
      size: this.size,
      opening: this.#opening,
      idle: this.#idle.length,
      waiting: this.#line.size,
    }
    const limits = this.#wasFull() ? { share: 1, burst: this.#all.size + 1 } : this.#limits()
    const missing = connectionsToOpen(state, limits, warm)
    for (let opened = 0; opened < missing; opened += 1) void this.#open()
  }

  async #open(): Promise<void> {
    this.#opening += 1
    const { clock } = this.#context
    const { link, opened } = this.#context.dialer.open(this.#address)
    const limit = addMilliseconds(clock.now(), OPEN_LIMIT_MILLISECONDS)
    const result = await within(opened, limit, clock)
    this.#opening -= 1
    if (result === OVERDUE) {
      link.close()
      this.#failedToOpen({ kind: 'connectionLost' })
      return
    }
    if (result.isErr()) {
      this.#failedToOpen(result.error)
      return
    }
    this.refusals = 0
    this.#deniedSince = null
    const pooled = {
      link,
      values: new ConnectionValues(),
      idleSince: clock.now(),
      takenAt: NOT_TAKEN,
    }
    this.#all.add(pooled)
    link.onClosed(() => {
      this.discard(pooled)
    })
    this.release(pooled)
  }

  #failedToOpen(failure: LinkFailure): void {
    const { log, clock, random } = this.#context
    const isFull = failure.kind === 'rejected' && failure.refusal === 'tooManyConnections'
    if (failure.kind === 'connectionRefused') this.refusals += 1
    if (isFull) this.#noteFull(clock.now())
    const span = isFull ? FULL_PAUSE_MILLISECONDS : REFUSED_PAUSE_MILLISECONDS
    this.#mayOpenAt = addMilliseconds(clock.now(), drawnApart(span, random))
    log.write('connection_not_opened', {
      server: this.#address.server,
      service: this.#address.service,
      ...failure,
      waiting: this.#line.size,
      held: this.#all.size,
    })
    if (isFull && this.#all.size > 0) return
    this.withdrawWaiting(isFull ? 'full' : 'unreachable')
  }

  #noteFull(now: Milliseconds): void {
    if (!this.#wasFull()) this.#deniedSince = null
    if (this.#all.size === 0) this.#deniedSince ??= now
    this.#fullAt = now
  }

  #closeSurplus(now: Milliseconds, keepWarm: boolean): void {
    const { share } = this.#limits()
    const keep = keepWarm ? share : 0
    const [oldest] = this.#idle
    if (oldest === undefined || this.#all.size <= keep) return
    if (now >= addMilliseconds(oldest.idleSince, SURPLUS_IDLE_MILLISECONDS)) this.discard(oldest)
  }
}
