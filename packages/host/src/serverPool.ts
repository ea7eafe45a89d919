/**
 * This host's connections to one backend server, and who waits for one.
 *
 * @internal
 */
import {
  addMilliseconds,
  milliseconds,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink } from '@nutmegcourse/protocol'
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
} from '@nutmegcourse/state'
import { ConnectionOpener, type ConnectionHolder, type OpenFailure } from './connectionOpener.js'
import type { HostContext } from './hostContext.js'
import {
  customerOf,
  isFor,
  type AcquireFailure,
  type AcquireTerms,
  type Acquired,
  type ConnectionUse,
  type LinkWaiter,
  type PooledLink,
} from './pooledLink.js'

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

export class ServerPool implements ConnectionHolder {
  readonly #context: HostContext
  readonly #idle = new IdleConnections<PooledLink>()
  readonly #all = new Set<PooledLink>()
  readonly #line = new WaitingLine<LinkWaiter>()
  /** How long work holds a connection, the pauses of transactions included. */
  readonly #holds = new ServiceEstimate()
  #connectionLimit: number
  /** Hosts that share the server's connections. */
  readonly #holders: () => number
  #isClosed = false
  #owesSince = Number.NEGATIVE_INFINITY
  readonly #opener: ConnectionOpener

  constructor(
    context: HostContext,
    address: BackendAddress,
    connectionLimit: number,
    holders: () => number,
  ) {
    this.#holders = holders
    this.#context = context
    this.#connectionLimit = connectionLimit
    this.#opener = new ConnectionOpener(context, address, this)
  }

  /** Refused connections in a row, and signs of a port that refuses; a sign of life ends them. */
  get refusals(): number {
    return this.#opener.refusals
  }

  set refusals(count: number) {
    this.#opener.refusals = count
  }

  get held(): number {
    return this.#all.size
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
    return this.#all.size + this.#opener.count
  }

  /** What a customer's work would wait for a new connection; 0 where one is idle. */
  openingMilliseconds(customer: CustomerName | null): number {
    return this.#idle.has(customer) ? 0 : this.#opener.usualMilliseconds
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
      this.#opener.deniedMilliseconds,
      forecastWait({
        ahead: this.#line.aheadOf(terms),
        connections: this.busy + (this.#opener.wasFull ? 0 : this.#opener.count),
        holdMilliseconds: this.#holds.at(this.#context.clock.now()),
      }),
    )
  }

  /** Whether a customer's work gets a connection of its own, opened for it, and waits for nobody. */
  #opensAtOnce(use: ConnectionUse): boolean {
    if (customerOf(use) === null || this.#opener.wasFull) return false
    return this.size < this.#limits().burst || this.#idle.size > 0
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
    if (this.#opener.byCustomer.has(customerOf(use))) return false
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

  #limits(): PoolLimits {
    const { requiresKeys } = this.#context.settings
    return poolLimits(this.#connectionLimit, this.#holders(), requiresKeys)
  }

  #takeIdle(session: SessionValues, use: ConnectionUse): PooledLink | null {
    if (use.kind === 'own') return this.#idle.takeAny()
    return this.#idle.take(use.customer, ({ values }) => values.distance(session))
  }

  #openMore(warm = 0): void {
    if (this.#isClosed || !this.#opener.mayOpen) return
    const limits = this.#opener.wasFull ? { share: 1, burst: this.#all.size + 1 } : this.#limits()
    const missing = this.#missing()
    const opening = this.#opener.count
    const state = { size: this.size, opening, idle: 0, waiting: opening + missing.length }
    const room = connectionsToOpen(state, limits, warm)
    for (const [index, waiter] of missing.entries()) {
      if (index < room || this.#makeRoom(waiter)) void this.#opener.open(customerOf(waiter.use))
    }
    for (let index = missing.length; index < room; index += 1) void this.#opener.open(null)
  }

  /** For whom a connection has to be opened: those who wait beyond what is being opened for their customers. */
  #missing(): LinkWaiter[] {
    const coming = new Map(this.#opener.byCustomer)
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

  opened(link: BackendLink, customer: CustomerName | null): void {
    const now = this.#context.clock.now()
    const pooled = {
      link,
      values: new ConnectionValues(),
      customer,
      idleSince: now,
      usedAt: now,
      takenAt: NOT_TAKEN,
    }
    this.#all.add(pooled)
    link.onClosed(() => {
      // One that this pool closes itself is no longer among its connections.
      if (this.#all.has(pooled)) this.discard(pooled)
    })
    this.release(pooled)
  }

  /** Where this host has connections to a full server, those who wait get them by and by. */
  failedToOpen(failure: OpenFailure): void {
    if (failure === 'unreachable' || this.#all.size === 0) this.withdrawWaiting(failure)
  }

  #closeSurplus(now: Milliseconds, keepWarm: boolean): void {
    const { share } = this.#limits()
    const keep = keepWarm ? share : 0
    const { oldest } = this.#idle
    if (oldest === null || this.#all.size <= keep) return
    if (now >= addMilliseconds(oldest.idleSince, SURPLUS_IDLE_MILLISECONDS)) this.discard(oldest)
  }
}
