/**
 * Pool of this host's connections to one backend server, with a priority queue of the requests that wait for one.
 *
 * @internal
 */
import { milliseconds, type CustomerName, type Milliseconds } from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink, LinkFailure } from '@nutmegcourse/protocol'
import {
  ConnectionValues,
  ServiceEstimate,
  SessionValues,
  forecastWait,
  limitsOfPart,
  type ConnectionPart,
  type PoolLimits,
  type RelativeShare,
} from '@nutmegcourse/state'
import { ConnectionOpener, type ConnectionReceiver, type OpenFailure } from './connectionOpener.js'
import type { ConnectionReplacement } from './connectionReplacement.js'
import type { HostContext } from './hostContext.js'
import { LastUseReplacement } from './lastUseReplacement.js'
import { LeastCostReplacement } from './leastCostReplacement.js'
import { LinkQueue } from './linkQueue.js'
import { PoolConnections } from './poolConnections.js'
import { PoolGrowth, STARVATION_MILLISECONDS } from './poolGrowth.js'
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

/** Connections that are kept open without demand, so that the first request needs no handshake. */
const WARM_CONNECTIONS = 1

/** Ahead of all requests, whose priorities start at 0. */
const HIGHEST_PRIORITY = -1

const HOST_USE: ConnectionUse = { kind: 'own' }

const NO_SESSION = new SessionValues()

const NEVER_TAKEN = milliseconds(Number.NEGATIVE_INFINITY)

export class ServerPool implements ConnectionReceiver {
  readonly #context: HostContext
  readonly #address: BackendAddress
  readonly #connections = new PoolConnections()
  readonly #idle = this.#connections.idle
  readonly #replacement: ConnectionReplacement
  readonly #queue: LinkQueue
  /** How long requests hold a connection, including idle time within transactions. */
  readonly #holdTimes = new ServiceEstimate()
  #connectionLimit: number
  /** Returns this host's part of the server's connections. */
  readonly #part: () => ConnectionPart
  #isClosed = false
  #busySince = Number.NEGATIVE_INFINITY
  readonly #opener: ConnectionOpener
  readonly #growth: PoolGrowth

  constructor(
    context: HostContext,
    address: BackendAddress,
    connectionLimit: number,
    part: () => ConnectionPart,
  ) {
    this.#part = part
    this.#context = context
    this.#address = address
    this.#connectionLimit = connectionLimit
    this.#queue = new LinkQueue(context.clock)
    this.#opener = new ConnectionOpener(context, address, this)
    this.#replacement = this.#chooseReplacement()
    this.#growth = new PoolGrowth({
      clock: context.clock,
      connections: this.#connections,
      queue: this.#queue,
      opener: this.#opener,
      replacement: this.#replacement,
      limits: () => this.#limits(),
    })
  }

  #chooseReplacement(): ConnectionReplacement {
    const { settings, clock } = this.#context
    if (!settings.schedulesSlots) return new LastUseReplacement(this.#connections)
    return new LeastCostReplacement(this.#connections, clock, () => ({
      holdMilliseconds: this.#holdTimes.at(clock.now()),
      openingMilliseconds: this.#opener.usualMilliseconds,
      starvationMilliseconds: STARVATION_MILLISECONDS,
    }))
  }

  /** Number of consecutive refused connections and liveness probes; a successful one resets it. */
  get refusals(): number {
    return this.#opener.refusals
  }

  set refusals(count: number) {
    this.#opener.refusals = count
  }

  /** Tells the pool which customers use more of the server than their share; null while that is not known. */
  set relativeShare(relativeShare: RelativeShare | null) {
    this.#replacement.relativeShare = relativeShare
  }

  get held(): number {
    return this.#connections.size
  }

  set connectionLimit(limit: number) {
    this.#connectionLimit = limit
  }

  get waiting(): number {
    return this.#queue.size
  }

  /** Number of customers' requests that get a connection only when a customer's connection in use is returned. */
  get stuck(): number {
    return this.#growth.stuckWaiters
  }

  /** Number of customers' requests that wait without a connection being opened for them. */
  get waitingForUsed(): number {
    let waiting = 0
    for (const { use } of this.#queue.waiting()) if (use.kind === 'customer') waiting += 1
    return Math.max(0, waiting - this.#opener.openingCount)
  }

  get busy(): number {
    return this.#connections.busy
  }

  get size(): number {
    return this.#connections.size + this.#opener.openingCount
  }

  /** Expected time to open a connection for the customer's request; 0 if one is idle. */
  openingMilliseconds(customer: CustomerName | null): number {
    return this.#idle.has(customer) ? 0 : this.#opener.usualMilliseconds
  }

  /** When bytes were last received on any connection. */
  get lastHeardAt(): number {
    return this.#connections.lastHeardAt
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
    if (terms.use.kind === 'customer') this.#replacement.recordRequest(terms.use.customer)
    const idle = this.#takeIdle(session, terms.use)
    if (idle !== null) return Promise.resolve({ link: this.#markTaken(idle, terms.use) })
    const waitMilliseconds = this.#forecastWait(terms)
    if (waitMilliseconds > terms.maximumWaitMilliseconds) {
      return Promise.resolve({ failure: 'overloaded', waitMilliseconds })
    }
    const acquired = this.#queue.wait(session, terms)
    this.#openMore()
    return acquired
  }

  /** How long a request that arrives now would wait for a connection. */
  #forecastWait(terms: AcquireOptions): number {
    if (this.#growth.opensAtOnce(terms.use)) return 0
    return Math.max(
      this.#opener.deniedMilliseconds,
      forecastWait({
        ahead: this.#queue.countAhead(terms),
        connections: this.busy + (this.#opener.wasFull ? 0 : this.#opener.openingCount),
        holdMilliseconds: this.#holdTimes.at(this.#context.clock.now()),
      }),
    )
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
    if (this.#context.settings.schedulesSlots) this.#useIfLeft(pooled)
  }

  /** Its place was kept for a starved waiter: if that does not get it now, a waiter that can use it does. */
  #useIfLeft(pooled: PooledLink): void {
    if (!this.#idle.includes(pooled)) return
    const waiter = this.#queue.dequeue(each => canUse(pooled, each))
    if (waiter === null) return
    this.#idle.remove(pooled)
    waiter.settle({ link: this.#markTaken(pooled, waiter.use) })
  }

  /** The waiter that gets a released connection; null if none can use it or a starved waiter needs its place. */
  #nextFor(pooled: PooledLink): LinkWaiter | null {
    const { first } = this.#queue
    if (first !== null && this.#yieldsPlace(pooled, first)) return null
    return this.#queue.dequeue(waiter => canUse(pooled, waiter))
  }

  #yieldsPlace(pooled: PooledLink, first: LinkWaiter): boolean {
    if (canUse(pooled, first) || !this.#growth.isStarved(first)) return false
    return this.#replacement.mayTakePlace(customerOf(first.use), pooled)
  }

  #markTaken(pooled: PooledLink, use: ConnectionUse): PooledLink {
    pooled.takenAt = this.#context.clock.now()
    pooled.isTakenByHost = use.kind === 'own'
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
    if (this.#connections.remove(pooled)) this.#recordHold(pooled)
    pooled.link.close()
  }

  /** Fails all waiting requests, which then look for another server. */
  withdrawWaiting(failure: AcquireFailure): void {
    this.#queue.withdraw(failure)
  }

  tick(now: Milliseconds, keepWarm: boolean): void {
    this.#growth.closeSurplus(now, keepWarm)
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
    return limitsOfPart(this.#connectionLimit, this.#part(), requiresKeys)
  }

  #takeIdle(session: SessionValues, use: ConnectionUse): PooledLink | null {
    if (use.kind === 'own') return this.#idle.takeAny()
    return this.#idle.take(use.customer, ({ values }) => values.distance(session))
  }

  #openMore(warm = 0): void {
    if (!this.#isClosed) this.#growth.openMore(warm)
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
      isTakenByHost: false,
      stalledBefore: 0,
    }
    this.#connections.add(pooled)
    link.onClosed(failure => {
      this.#logUnfit(failure)
      // A connection that the pool closes itself has been removed from #connections before.
      if (this.#connections.has(pooled)) this.discard(pooled)
    })
    this.release(pooled)
  }

  #logUnfit(failure: LinkFailure): void {
    if (failure.kind !== 'malformedAnswer') return
    const { server, service } = this.#address
    this.#context.log.write('answer_unfit', { server, service, ...failure.unfit })
  }

  /** If the server is full but this host holds connections to it, waiters stay queued for these. */
  failedToOpen(failure: OpenFailure): void {
    if (failure === 'unreachable' || this.#connections.size === 0) this.withdrawWaiting(failure)
  }
}
