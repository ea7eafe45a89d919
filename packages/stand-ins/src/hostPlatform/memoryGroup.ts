/**
 * A group of backend servers with synchronous replication in memory, for tests: terms, log positions,
 * bounded reads, pause, step-down, promotion, restart with or without a log, succession of servers,
 * connection limits and server faults. It also records which statement ran where and checks that a
 * promoted server holds every acknowledged write.
 */
import {
  isAtOrPast,
  logPosition,
  term,
  type BackendServerId,
  type CustomerName,
  type LogPosition,
} from '@nutmegcourse/shared'

export interface LoggedWrite {
  readonly id: string
  readonly position: LogPosition
}

export interface MemoryServer {
  readonly id: BackendServerId
  readonly service: string
  role: 'primary' | 'replica'
  log: LoggedWrite[]
  /** The latest term in which it was primary or received the log of a primary. */
  term: number
  /** The term for which replication to this server is paused; 0 when it is not paused. */
  pausedFor: number
  /** Fault: the server receives no replicated writes although it is not paused. */
  isReplicationBlocked: boolean
  /** Fault: the server refuses connections. */
  isDown: boolean
  /** Fault: the server does not answer and keeps connections open. */
  isSilent: boolean
  connections: number
}

export interface MemoryGroupOptions {
  readonly service: string
  readonly servers: readonly BackendServerId[]
  readonly connectionLimit?: number
  /** Delay between accepting a promotion and completing it. */
  readonly promotionMilliseconds?: number
  /** Time after which a replica receives a write; 0 for those not named. */
  readonly replicationMilliseconds?: ReadonlyMap<BackendServerId, number>
}

/** Whether a replica has received the writes of a commit by now, and whether one receives them. */
export interface Commit {
  readonly isAcknowledged: boolean
  readonly acknowledgement: Promise<boolean>
}

export class MemoryGroup {
  readonly service: string
  readonly connectionLimit: number
  readonly servers = new Map<BackendServerId, MemoryServer>()
  readonly #promotionMilliseconds: number
  readonly #replicationMilliseconds: ReadonlyMap<BackendServerId, number>
  readonly #committedAt = new WeakMap<LoggedWrite, number>()
  #term = 1
  #newestToken = 0
  /** Acknowledged writes, in order. */
  readonly acknowledged: LoggedWrite[] = []
  /** Every read and write that ran, also in a transaction rolled back later, as `server:id`. */
  readonly executedStatements: string[] = []
  /** The same reads and writes with the customer for whom their connection was opened. */
  readonly statementCustomers: { readonly id: string; readonly customer: CustomerName | null }[] =
    []
  /** Violations of the platform's contract, one message each. */
  readonly violations: string[] = []
  /** Ids of writes that occur more than once in one log. */
  readonly duplicateWrites: string[] = []
  readonly #positions = new Map<string, LogPosition>()
  promotions = 0

  constructor(options: MemoryGroupOptions) {
    this.service = options.service
    this.connectionLimit = options.connectionLimit ?? 25
    this.#promotionMilliseconds = options.promotionMilliseconds ?? 50
    this.#replicationMilliseconds = options.replicationMilliseconds ?? new Map()
    options.servers.forEach((id, index) => {
      this.#add(id, index === 0 ? 'primary' : 'replica')
    })
  }

  #add(id: BackendServerId, role: MemoryServer['role']): MemoryServer {
    const server: MemoryServer = {
      id,
      service: this.service,
      role,
      log: [],
      term: 1,
      pausedFor: 0,
      isReplicationBlocked: false,
      isDown: false,
      isSilent: false,
      connections: 0,
    }
    this.servers.set(id, server)
    return server
  }

  get primary(): MemoryServer {
    const primary = this.currentPrimary
    if (primary === null) throw new Error('the group has no primary')
    return primary
  }

  /** Null between a step-down and the next promotion. */
  get currentPrimary(): MemoryServer | null {
    return [...this.servers.values()].find(server => server.role === 'primary') ?? null
  }

  server(id: BackendServerId): MemoryServer {
    const server = this.servers.get(id)
    if (server === undefined) throw new Error(`no server ${id}`)
    return server
  }

  lastPosition(server: MemoryServer): LogPosition {
    return server.log.at(-1)?.position ?? logPosition(1, 0)
  }

  /** Appends writes at a primary; false when no replica has received them at once. */
  commit(server: MemoryServer, ids: readonly string[]): boolean {
    return this.append(server, ids).isAcknowledged
  }

  /** Appends writes at a primary, which are acknowledged once a replica has received them. */
  append(server: MemoryServer, ids: readonly string[]): Commit {
    const end = this.lastPosition(server)
    const position = logPosition(server.term, end.offset + 1)
    const writes = ids.map(id => ({ id, position }))
    server.log.push(...writes)
    for (const write of writes) {
      if (this.#positions.has(write.id) && this.#isDuplicate(server, write.id)) {
        this.duplicateWrites.push(write.id)
      }
      this.#positions.set(write.id, position)
      this.#committedAt.set(write, performance.now())
    }
    const others = [...this.servers.values()].filter(other => other !== server)
    for (const other of others) if (this.#delayOf(other) === 0) this.#receiveFrom(server, other)
    const isAcknowledged = this.#acknowledge(server, others, writes)
    if (isAcknowledged) return { isAcknowledged, acknowledgement: Promise.resolve(true) }
    return { isAcknowledged, acknowledgement: this.#awaitReceipt(server, others, writes) }
  }

  async #awaitReceipt(
    server: MemoryServer,
    others: readonly MemoryServer[],
    writes: readonly LoggedWrite[],
  ): Promise<boolean> {
    const later = others.filter(other => this.#delayOf(other) > 0)
    const receipts = later
      .map(other => ({ other, delay: this.#delayOf(other) }))
      .sort((left, right) => left.delay - right.delay)
    const committedAt = performance.now()
    for (const { other, delay } of receipts) {
      const rest = committedAt + delay - performance.now()
      await new Promise(resolve => setTimeout(resolve, Math.ceil(rest) + 1))
      if (server.role !== 'primary' || server.isDown) return false
      this.#receiveFrom(server, other)
      if (this.#acknowledge(server, [other], writes)) return true
    }
    return false
  }

  /** Records the writes as acknowledged if one of the others has received them. */
  #acknowledge(
    server: MemoryServer,
    others: readonly MemoryServer[],
    writes: readonly LoggedWrite[],
  ): boolean {
    const last = writes.at(-1)
    if (last === undefined) return true
    const index = server.log.lastIndexOf(last)
    const isReceived =
      index >= 0 && others.some(other => this.#isReceiving(other) && other.log[index] === last)
    if (isReceived) this.acknowledged.push(...writes)
    return isReceived
  }

  #delayOf(server: MemoryServer): number {
    return this.#replicationMilliseconds.get(server.id) ?? 0
  }

  /** A replica takes what the primary has sent it by now, unless it is paused or cut off. */
  receive(server: MemoryServer): void {
    const { currentPrimary: primary } = this
    if (primary !== null && primary !== server) this.#receiveFrom(primary, server)
  }

  #isReceiving(server: MemoryServer): boolean {
    const isReachable = !server.isDown && !server.isSilent && !server.isReplicationBlocked
    return isReachable && server.pausedFor === 0
  }

  #receiveFrom(primary: MemoryServer, replica: MemoryServer): void {
    if (primary.isDown || primary.isSilent || !this.#isReceiving(replica)) return
    const isPrefix = isPrefixOf(replica.log, primary.log)
    // A primary that has restarted without its log is no source for replicas that hold one.
    if (!isPrefix && primary.term <= replica.term) return
    if (!isPrefix) replica.log = commonPrefix(replica.log, primary.log)
    const arrived = this.#arrivedLength(primary.log, this.#delayOf(replica))
    if (arrived > replica.log.length) {
      replica.log.push(...primary.log.slice(replica.log.length, arrived))
    }
    replica.term = Math.max(replica.term, primary.term)
  }

  #arrivedLength(log: readonly LoggedWrite[], delay: number): number {
    if (delay === 0) return log.length
    const latest = performance.now() - delay
    const isUnderWay = (write: LoggedWrite): boolean => (this.#committedAt.get(write) ?? 0) > latest
    return log.findLastIndex(write => !isUnderWay(write)) + 1
  }

  /** The log position of a write; null when no server has logged a write with this id. */
  positionOf(id: string): LogPosition | null {
    return this.#positions.get(id) ?? null
  }

  /** Stops the server immediately; its log is kept. */
  crash(server: MemoryServer): void {
    for (const other of this.servers.values()) this.receive(other)
    server.isDown = true
  }

  /** Restarts a crashed server with its log, which ends its pause; a replica receives again. */
  recover(server: MemoryServer): void {
    if (server.isDown) server.pausedFor = 0
    server.isDown = false
    this.receive(server)
  }

  /** Restarts a server under its id without its log. The group's primary remains it. */
  restartEmpty(server: MemoryServer): void {
    server.log = []
    server.term = 1
    server.isDown = true
    this.recover(server)
  }

  /** Adds a replica with an empty log. */
  addServer(id: BackendServerId): MemoryServer {
    const added = this.#add(id, 'replica')
    this.receive(added)
    return added
  }

  /** Ends a leaving server. Its successor, which may run already, takes over its log, without its pause. */
  replaceServer(old: MemoryServer, successorId: BackendServerId): MemoryServer {
    const successor = this.servers.get(successorId) ?? this.#add(successorId, 'replica')
    old.isDown = true
    this.servers.delete(old.id)
    if (isPrefixOf(successor.log, old.log)) {
      successor.log = [...old.log]
      successor.term = old.term
    }
    this.receive(successor)
    return successor
  }

  /** Ends a server, and its log with it. */
  removeServer(server: MemoryServer): void {
    server.isDown = true
    this.servers.delete(server.id)
  }

  #isDuplicate(server: MemoryServer, id: string): boolean {
    return server.log.filter(write => write.id === id).length > 1
  }

  pause(server: MemoryServer, forTerm: number): void {
    this.receive(server)
    if (server.role === 'replica' && forTerm > this.#term) server.pausedFor = forTerm
  }

  resume(server: MemoryServer): void {
    server.pausedFor = 0
    this.receive(server)
  }

  stepDown(server: MemoryServer, forTerm: number): void {
    if (server.role === 'primary' && server.term < forTerm) server.role = 'replica'
  }

  /**
   * False when a newer token has been used, or the server is unknown or down. An order that is accepted takes effect
   * also if a newer one follows.
   */
  promote(id: BackendServerId, token: number): boolean {
    const server = this.servers.get(id)
    if (token < this.#newestToken) return false
    this.#newestToken = token
    if (server === undefined || server.isDown) return false
    if (server.role === 'primary') return true
    setTimeout(() => {
      this.#completePromotion(server)
    }, this.#promotionMilliseconds)
    return true
  }

  #completePromotion(server: MemoryServer): void {
    if (server.role === 'primary' || !this.servers.has(server.id)) return
    this.receive(server)
    this.#term += 1
    this.promotions += 1
    this.#checkAcknowledgedWrites(server)
    server.term = this.#term
    for (const other of this.servers.values()) {
      other.role = other === server ? 'primary' : 'replica'
      if (other.pausedFor <= this.#term) other.pausedFor = 0
    }
    for (const other of this.servers.values()) if (other !== server) this.#rollBack(other, server)
  }

  /** A replica that is cut off from the new primary is rolled back when it receives from it. */
  #rollBack(replica: MemoryServer, primary: MemoryServer): void {
    if (replica.isDown || replica.isSilent || replica.isReplicationBlocked) return
    replica.log = commonPrefix(replica.log, primary.log)
    this.#receiveFrom(primary, replica)
  }

  #checkAcknowledgedWrites(promoted: MemoryServer): void {
    const promotedIds = new Set(promoted.log.map(({ id }) => id))
    for (const { id } of this.acknowledged) {
      if (!promotedIds.has(id))
        this.violations.push(`acknowledged write ${id} is not in the promoted log`)
    }
  }

  hasReached(server: MemoryServer, after: LogPosition): boolean {
    return isAtOrPast(logPosition(server.term, this.lastPosition(server).offset), after)
  }

  termOf(server: MemoryServer): ReturnType<typeof term> {
    return term(server.term)
  }
}

/** A write that is logged at the same place in two logs has the same writes before it in both. */
function isPrefixOf(log: readonly LoggedWrite[], longer: readonly LoggedWrite[]): boolean {
  return log.length <= longer.length && log.at(-1) === longer[log.length - 1]
}

function commonPrefix(left: readonly LoggedWrite[], right: readonly LoggedWrite[]): LoggedWrite[] {
  const differing = left.findIndex((write, index) => right[index] !== write)
  return differing < 0 ? [...left] : left.slice(0, differing)
}
