/**
 * This host's connections to one backend server, and who waits for one.
 *
 * @internal
 */
import {
  addMilliseconds,
  drawnApart,
  milliseconds,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink, LinkFailure } from '@nutmegcourse/protocol'
import {
  ConnectionValues,
  IdleConnections,
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
  /** Whose statements it runs; null where customers are not told apart. */
  readonly customer: CustomerName | null
  idleSince: Milliseconds
  /** When a customer's work last took it. */
  usedAt: Milliseconds
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
  readonly use: ConnectionUse
}

/** A customer's work needs a connection of that customer; questions of the host itself go over any. */
export type ConnectionUse =
  { readonly kind: 'customer'; readonly customer: CustomerName | null } | { readonly kind: 'own' }

interface LinkWaiter extends Waiter {
  readonly session: SessionValues
  readonly use: ConnectionUse
  readonly since: Milliseconds
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

/**
 * For so long those who wait may be passed over by work that can use the connection that came free. A few
 * handshakes long: connections change hands seldom, and no customer's work waits behind another's without end.
 */
const PASSED_OVER_MILLISECONDS = 50

/** The priorities of requests begin at 0. */
const HIGHEST_PRIORITY = -1

const OWN_USE: ConnectionUse = { kind: 'own' }

const NO_SESSION = new SessionValues()

const NOT_TAKEN = milliseconds(Number.NEGATIVE_INFINITY)

export class ServerPool {
  readonly #context: HostContext
  readonly #address: BackendAddress
  readonly #idle = new IdleConnections<PooledLink>()
  readonly #all = new Set<PooledLink>()
  readonly #line = new WaitingLine<LinkWaiter>()
  /** How long work holds a connection, the pauses of transactions included. */
  readonly #holds = new ServiceEstimate()
  #connectionLimit: number
  /** Hosts that share the server's connections. */
  readonly #holders: () => number
  /** Connections that are being opened, by customer. */
  readonly #opening = new Map<CustomerName | null, number>()
  readonly #openings = new ServiceEstimate()
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
    return this.#all.size - this.#idle.size
  }

  get size(): number {
    return this.#all.size + this.#openingCount
  }

  get #openingCount(): number {
    let count = 0
    for (const each of this.#opening.values()) count += each
    return count
  }

  /** What a customer's work would wait for a new connection; 0 where one is idle. */
  openingMilliseconds(customer: CustomerName | null): number {
    return this.#idle.has(customer) ? 0 : this.#openings.at(this.#context.clock.now())
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
    const idle = this.#takeIdle(session, terms.use)
    if (idle !== null) return Promise.resolve({ link: this.#taken(idle, terms.use) })
    const waitMilliseconds = this.#forecastWait(terms)
    if (waitMilliseconds > terms.patienceMilliseconds) {
      return Promise.resolve({ failure: 'overloaded', waitMilliseconds })
    }
    return this.#wait(session, terms)
  }

  /** How long work that comes now would wait for a connection. */
  #forecastWait(terms: AcquireTerms): number {
    if (this.#opensAtOnce(terms.use)) return 0
    return Math.max(
      this.#deniedMilliseconds,
      forecastWait({
        ahead: this.#line.aheadOf(terms),
        connections: this.busy + (this.#wasFull() ? 0 : this.#openingCount),
        holdMilliseconds: this.#holds.at(this.#context.clock.now()),
      }),
    )
  }

  /** Whether a customer's work gets a connection of its own, opened for it, and waits for nobody. */
  #opensAtOnce(use: ConnectionUse): boolean {
    if (customerOf(use) === null || this.#wasFull()) return false
    return this.size < this.#limits().burst || this.#idle.size > 0
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
      use: OWN_USE,
    })
  }

  #wait(session: SessionValues, { priority, deadline, use }: AcquireTerms): Promise<Acquired> {
    return new Promise(resolve => {
      const waiter: LinkWaiter = {
        priority,
        deadline,
        session,
        use,
        since: this.#context.clock.now(),
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
    const idle = this.#idle.takeAny()
    return idle === null ? null : this.#taken(idle, OWN_USE)
  }

  /** The connection is outside any transaction and owes no answer. */
  release(pooled: PooledLink): void {
    if (!pooled.link.isOpen || this.#isClosed) {
      this.discard(pooled)
      return
    }
    this.#given(pooled)
    const waiter = this.#nextFor(pooled)
    if (waiter !== null) {
      waiter.settle({ link: this.#taken(pooled, waiter.use) })
      return
    }
    pooled.idleSince = this.#context.clock.now()
    this.#idle.add(pooled)
    if (this.#line.size > 0) this.#openMore()
  }

  /** Who gets a connection that came free; nobody if it has to make room for another customer's. */
  #nextFor(pooled: PooledLink): LinkWaiter | null {
    const { first } = this.#line
    if (first !== null && !isFor(pooled, first) && this.#isPassedOver(first)) return null
    return this.#line.next(waiter => isFor(pooled, waiter))
  }

  #isPassedOver({ use, since }: LinkWaiter): boolean {
    if (this.#opening.has(customerOf(use))) return false
    return this.#context.clock.now() > addMilliseconds(since, PASSED_OVER_MILLISECONDS)
  }

  #taken(pooled: PooledLink, use: ConnectionUse): PooledLink {
    pooled.takenAt = this.#context.clock.now()
    if (use.kind === 'customer') pooled.usedAt = pooled.takenAt
    return pooled
  }

  /** Work gives it back, or a connection that was just made has not held any. */
  #given({ takenAt }: PooledLink): void {
    const now = this.#context.clock.now()
    if (Number.isFinite(takenAt)) this.#holds.record(now - takenAt, now)
  }

  /** The connection owes an answer or is in an unknown state: nobody may use it again. */
  discard(pooled: PooledLink): void {
    this.#drop(pooled)
    if (!this.#isClosed) this.#openMore()
  }

  #drop(pooled: PooledLink): void {
    if (!this.#idle.remove(pooled) && this.#all.has(pooled)) this.#given(pooled)
    this.#all.delete(pooled)
    pooled.link.close()
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
    for (const pooled of this.#idle.all()) this.discard(pooled)
  }

  /** A server that was full is asked for one connection at a time: many hosts want the few it has. */
  #wasFull(): boolean {
    return this.#context.clock.now() < addMilliseconds(this.#fullAt, FULL_CAUTION_MILLISECONDS)
  }

  #limits(): PoolLimits {
    const { requiresKeys } = this.#context.settings
    return poolLimits(this.#connectionLimit, this.#holders(), requiresKeys)
  }

  #takeIdle(session: SessionValues, use: ConnectionUse): PooledLink | null {
    if (use.kind === 'own') return this.#idle.takeAny()
    return this.#idle.take(use.customer, ({ values }) => values.distance(session))
  }

  #openMore(warm = 0): void {
    if (this.#isClosed || this.#context.clock.now() < this.#mayOpenAt) return
    const limits = this.#wasFull() ? { share: 1, burst: this.#all.size + 1 } : this.#limits()
    const missing = this.#missing()
    const opening = this.#openingCount
    const state = { size: this.size, opening, idle: 0, waiting: opening + missing.length }
    const room = connectionsToOpen(state, limits, warm)
    for (const [index, waiter] of missing.entries()) {
      if (index < room || this.#makeRoom(waiter)) void this.#open(customerOf(waiter.use))
    }
    for (let index = missing.length; index < room; index += 1) void this.#open(null)
  }

  /** For whom a connection has to be opened: those who wait beyond what is being opened for their customers. */
  #missing(): LinkWaiter[] {
    const coming = new Map(this.#opening)
    const missing: LinkWaiter[] = []
    for (const waiter of this.#line.waiting()) {
      const customer = customerOf(waiter.use)
      const left = coming.get(customer) ?? 0
      if (left === 0) missing.push(waiter)
      else coming.set(customer, left - 1)
    }
    return missing
  }

  /**
   * Closes an idle connection that another customer holds. A customer with a connection in use waits for that one
   * first: each statement that came beside another of its customer took a connection from a third, which had to open
   * its own anew a moment later.
   */
  #makeRoom(waiter: LinkWaiter): boolean {
    const { use } = waiter
    if (use.kind === 'own' || this.#idle.size === 0) return false
    if (this.#isInUse(use.customer) && !this.#isPassedOver(waiter)) return false
    const replaced = this.#idle.toReplaceFor(use.customer)
    if (replaced === null) return false
    this.#drop(replaced)
    return true
  }

  #isInUse(customer: CustomerName | null): boolean {
    for (const pooled of this.#all) {
      if (pooled.customer === customer && !this.#idle.holds(pooled)) return true
    }
    return false
  }

  #noteOpening(customer: CustomerName | null, change: 1 | -1): void {
    const count = (this.#opening.get(customer) ?? 0) + change
    if (count === 0) this.#opening.delete(customer)
    else this.#opening.set(customer, count)
  }

  async #open(customer: CustomerName | null): Promise<void> {
    this.#noteOpening(customer, 1)
    const { clock } = this.#context
    const askedAt = clock.now()
    const { link, opened } = this.#context.dialer.open(this.#address, customer)
    const limit = addMilliseconds(askedAt, OPEN_LIMIT_MILLISECONDS)
    const result = await within(opened, limit, clock)
    this.#noteOpening(customer, -1)
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
    this.#openings.record(clock.now() - askedAt, clock.now())
    const pooled = {
      link,
      values: new ConnectionValues(),
      customer,
      idleSince: clock.now(),
      usedAt: clock.now(),
      takenAt: NOT_TAKEN,
    }
    this.#all.add(pooled)
    link.onClosed(() => {
      // One that this pool closes itself is no longer among its connections.
      if (this.#all.has(pooled)) this.discard(pooled)
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
    const { oldest } = this.#idle
    if (oldest === null || this.#all.size <= keep) return
    if (now >= addMilliseconds(oldest.idleSince, SURPLUS_IDLE_MILLISECONDS)) this.discard(oldest)
  }
}

/** Whose connection is opened for a use; one for the host's own questions is in nobody's name. */
const customerOf = (use: ConnectionUse): CustomerName | null =>
  use.kind === 'own' ? null : use.customer

const isFor = ({ customer }: PooledLink, { use }: LinkWaiter): boolean =>
  use.kind === 'own' || use.customer === customer
