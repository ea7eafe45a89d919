/**
 * Pool of this host's connections to one backend server, with a priority queue of the requests that wait for one.
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
  WaitQueue,
  connectionsToOpen,
  forecastWait,
  poolLimits,
  type PoolLimits,
} from '@nutmegcourse/state'
import { ConnectionOpener, type ConnectionReceiver, type OpenFailure } from './connectionOpener.js'
import type { HostContext } from './hostContext.js'
import {
  customerOf,
  canUse,
  type AcquireFailure,
  type AcquireOptions,
  type Acquired,
  type ConnectionUse,
  type LinkWaiter,
  type PooledLink,
} from './pooledLink.js'

/** A connection beyond this host's share is closed after being idle for this long. */
const SURPLUS_IDLE_MILLISECONDS = 250

/** Connections that are kept open without demand, so that the first request needs no handshake. */
const WARM_CONNECTIONS = 1

/**
 * How long a waiter may be overtaken by others that can use the released connection of their customer. A few handshakes
 * long, so that connections are seldom replaced and no customer starves behind another.
 */
const STARVATION_MILLISECONDS = 50

/** Ahead of all requests, whose priorities start at 0. */
const HIGHEST_PRIORITY = -1

const HOST_USE: ConnectionUse = { kind: 'own' }

const NO_SESSION = new SessionValues()

const NEVER_TAKEN = milliseconds(Number.NEGATIVE_INFINITY)

export class ServerPool implements ConnectionReceiver {
  readonly #context: HostContext
  readonly #idle = new IdleConnections<PooledLink>()
  readonly #all = new Set<PooledLink>()
  readonly #queue = new WaitQueue<LinkWaiter>()
  /** How long requests hold a connection, including idle time within transactions. */
  readonly #holdTimes = new ServiceEstimate()
  #connectionLimit: number
  /** Returns the number of hosts that share the server's connections. */
  readonly #holdingHosts: () => number
  #isClosed = false
  #busySince = Number.NEGATIVE_INFINITY
  readonly #opener: ConnectionOpener

  constructor(
    context: HostContext,
    address: BackendAddress,
    connectionLimit: number,
    holdingHosts: () => number,
  ) {
    this.#holdingHosts = holdingHosts
    this.#context = context
    this.#connectionLimit = connectionLimit
    this.#opener = new ConnectionOpener(context, address, this)
  }

  /** Number of consecutive refused connections and liveness probes; a successful one resets it. */
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
    return this.#queue.size
  }

  get busy(): number {
    return this.#all.size - this.#idle.size
  }

  get size(): number {
    return this.#all.size + this.#opener.openingCount
  }

  /** Expected time to open a connection for the customer's request; 0 if one is idle. */
  openingMilliseconds(customer: CustomerName | null): number {
    return this.#idle.has(customer) ? 0 : this.#opener.usualMilliseconds
  }

  /** When bytes were last received on any connection. */
  get lastHeardAt(): number {
    let last = Number.NEGATIVE_INFINITY
    for (const { link } of this.#all) last = Math.max(last, link.lastReceivedAt)
    return last
  }

  /**
   * Since when requests have run or waited without interruption. The arrival of the latest request would not do: under
   * load it is always recent, and a dead server's silence would never be noticed.
   */
  get busySince(): number {
    return this.#busySince
  }

  /** Acquires the idle connection whose values are closest to the session's, or waits for one. */
  acquire(session: SessionValues, terms: AcquireOptions): Promise<Acquired> {
    if (this.#isClosed) return Promise.resolve({ failure: 'withdrawn' })
    if (this.busy === 0 && this.waiting === 0) this.#busySince = this.#context.clock.now()
    const idle = this.#takeIdle(session, terms.use)
    if (idle !== null) return Promise.resolve({ link: this.#markTaken(idle, terms.use) })
    const waitMilliseconds = this.#forecastWait(terms)
    if (waitMilliseconds > terms.maximumWaitMilliseconds) {
      return Promise.resolve({ failure: 'overloaded', waitMilliseconds })
    }
    return this.#wait(session, terms)
  }

  /** How long a request that arrives now would wait for a connection. */
  #forecastWait(terms: AcquireOptions): number {
    if (this.#opensAtOnce(terms.use)) return 0
    return Math.max(
      this.#opener.deniedMilliseconds,
      forecastWait({
        ahead: this.#queue.countAhead(terms),
        connections: this.busy + (this.#opener.wasFull ? 0 : this.#opener.openingCount),
        holdMilliseconds: this.#holdTimes.at(this.#context.clock.now()),
      }),
    )
  }

  /** Whether a connection can be opened for a customer's request at once, without queueing. */
  #opensAtOnce(use: ConnectionUse): boolean {
    if (customerOf(use) === null || this.#opener.wasFull) return false
    return this.size < this.#limits().burst || this.#idle.size > 0
  }

  /** Acquires a connection for the host's own commands, ahead of all requests and however long the queue is. */
  acquireFirst(deadline: Milliseconds): Promise<Acquired> {
    return this.acquire(NO_SESSION, {
      priority: HIGHEST_PRIORITY,
      deadline,
      maximumWaitMilliseconds: Number.POSITIVE_INFINITY,
      use: HOST_USE,
    })
  }

  #wait(session: SessionValues, { priority, deadline, use }: AcquireOptions): Promise<Acquired> {
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
          this.#queue.remove(waiter)
          resolve({ failure: 'overdue' })
        },
        Math.max(0, deadline - this.#context.clock.now()),
      )
      this.#queue.enqueue(waiter)
      this.#openMore()
    })
  }

  /** Takes an idle connection without waiting; null if there is none. */
  takeIdleNow(): PooledLink | null {
    const idle = this.#idle.takeAny()
    return idle === null ? null : this.#markTaken(idle, HOST_USE)
  }

  /** Returns a connection that is outside any transaction and has no pending answer. */
  release(pooled: PooledLink): void {
    if (!pooled.link.isOpen || this.#isClosed) {
      this.discard(pooled)
      return
    }
    this.#recordHold(pooled)
    const waiter = this.#nextFor(pooled)
    if (waiter !== null) {
      waiter.settle({ link: this.#markTaken(pooled, waiter.use) })
      return
    }
    pooled.idleSince = this.#context.clock.now()
    this.#idle.add(pooled)
    if (this.#queue.size > 0) this.#openMore()
  }

  /** The waiter that gets a released connection; null if none can use it or a starved waiter needs its place. */
  #nextFor(pooled: PooledLink): LinkWaiter | null {
    const { first } = this.#queue
    if (first !== null && !canUse(pooled, first) && this.#isStarved(first)) return null
    return this.#queue.dequeue(waiter => canUse(pooled, waiter))
  }

  #isStarved({ use, since }: LinkWaiter): boolean {
    if (this.#opener.openingByCustomer.has(customerOf(use))) return false
    return this.#context.clock.now() > addMilliseconds(since, STARVATION_MILLISECONDS)
  }

  #markTaken(pooled: PooledLink, use: ConnectionUse): PooledLink {
    pooled.takenAt = this.#context.clock.now()
    pooled.stalledBefore = this.#context.ownStall.totalMilliseconds
    if (use.kind === 'customer') pooled.usedAt = pooled.takenAt
    return pooled
  }

  /**
   * Records how long a request held the connection; a new connection has not been acquired yet and is skipped. While
   * this process stood still, an answer could not be read: that time says nothing about the server.
   */
  #recordHold({ takenAt, stalledBefore }: PooledLink): void {
    if (!Number.isFinite(takenAt)) return
    const now = this.#context.clock.now()
    const stalledMilliseconds = this.#context.ownStall.totalMilliseconds - stalledBefore
    this.#holdTimes.record(Math.max(0, now - takenAt - stalledMilliseconds), now)
  }

  /** Closes a connection that has a pending answer or is in an unknown state, so that it is not used again. */
  discard(pooled: PooledLink): void {
    this.#closeLink(pooled)
    if (!this.#isClosed) this.#openMore()
  }

  #closeLink(pooled: PooledLink): void {
    if (!this.#idle.remove(pooled) && this.#all.has(pooled)) this.#recordHold(pooled)
    this.#all.delete(pooled)
    pooled.link.close()
  }

  /** Fails all waiting requests, which then look for another server. */
  withdrawWaiting(failure: AcquireFailure): void {
    for (const waiter of this.#queue.takeAll()) waiter.settle({ failure })
  }

  tick(now: Milliseconds, keepWarm: boolean): void {
    this.#closeSurplus(now, keepWarm)
    this.#openMore(keepWarm ? WARM_CONNECTIONS : 0)
  }

  /** Accepts no more requests; connections in use are closed when they are released. */
  close(): void {
    this.#isClosed = true
    this.withdrawWaiting('withdrawn')
    for (const pooled of this.#idle.all()) this.discard(pooled)
  }

  #limits(): PoolLimits {
    const { requiresKeys } = this.#context.settings
    return poolLimits(this.#connectionLimit, this.#holdingHosts(), requiresKeys)
  }

  #takeIdle(session: SessionValues, use: ConnectionUse): PooledLink | null {
    if (use.kind === 'own') return this.#idle.takeAny()
    return this.#idle.take(use.customer, ({ values }) => values.distance(session))
  }

  #openMore(warm = 0): void {
    if (this.#isClosed || !this.#opener.mayOpen) return
    const limits = this.#opener.wasFull ? { share: 1, burst: this.#all.size + 1 } : this.#limits()
    const uncovered = this.#waitersWithoutConnection()
    const opening = this.#opener.openingCount
    const state = { size: this.size, opening, idle: 0, waiting: opening + uncovered.length }
    const room = connectionsToOpen(state, limits, warm)
    for (const [index, waiter] of uncovered.entries()) {
      if (index < room || this.#makeRoom(waiter)) void this.#opener.open(customerOf(waiter.use))
    }
    for (let index = uncovered.length; index < room; index += 1) void this.#opener.open(null)
  }

  /** The waiters that exceed the number of connections being opened for their customer. */
  #waitersWithoutConnection(): LinkWaiter[] {
    const unassigned = new Map(this.#opener.openingByCustomer)
    const uncovered: LinkWaiter[] = []
    for (const waiter of this.#queue.waiting()) {
      const customer = customerOf(waiter.use)
      const left = unassigned.get(customer) ?? 0
      if (left === 0) uncovered.push(waiter)
      else unassigned.set(customer, left - 1)
    }
    return uncovered
  }

  /**
   * Closes an idle connection of another customer to make room for the waiter's. A customer with a connection in use
   * waits for that one first: otherwise each concurrent statement of one customer closed a connection of another, which
   * had to be reopened a moment later.
   */
  #makeRoom(waiter: LinkWaiter): boolean {
    const { use } = waiter
    if (use.kind === 'own' || this.#idle.size === 0) return false
    if (this.#isInUse(use.customer) && !this.#isStarved(waiter)) return false
    const replaced = this.#idle.evictionCandidateFor(use.customer)
    if (replaced === null) return false
    this.#closeLink(replaced)
    return true
  }

  #isInUse(customer: CustomerName | null): boolean {
    for (const pooled of this.#all) {
      if (pooled.customer === customer && !this.#idle.includes(pooled)) return true
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
      takenAt: NEVER_TAKEN,
      stalledBefore: 0,
    }
    this.#all.add(pooled)
    link.onClosed(() => {
      // A connection that the pool closes itself has been removed from #all before.
      if (this.#all.has(pooled)) this.discard(pooled)
    })
    this.release(pooled)
  }

  /** If the server is full but this host holds connections to it, waiters stay queued for these. */
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
