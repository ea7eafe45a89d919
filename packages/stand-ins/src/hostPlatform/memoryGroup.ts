/**
 * A group of backend servers with synchronous replication in memory, for tests: terms, log positions,
 * bounded reads, pause, step-down, promotion, connection limits and server faults. It also records
 * which statement ran where and checks that a promoted server holds every acknowledged write.
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
}

export class MemoryGroup {
  readonly service: string
  readonly connectionLimit: number
  readonly servers = new Map<BackendServerId, MemoryServer>()
  readonly #promotionMilliseconds: number
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
    options.servers.forEach((id, index) => {
      this.servers.set(id, {
        id,
        service: options.service,
        role: index === 0 ? 'primary' : 'replica',
        log: [],
        term: 1,
        pausedFor: 0,
        isReplicationBlocked: false,
        isDown: false,
        isSilent: false,
        connections: 0,
      })
    })
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

  /** Appends writes at a primary; false when no replica receives them. */
  commit(server: MemoryServer, ids: readonly string[]): boolean {
    const end = this.lastPosition(server)
    const position = logPosition(server.term, end.offset + 1)
    const writes = ids.map(id => ({ id, position }))
    server.log.push(...writes)
    for (const { id } of writes) {
      if (this.#positions.has(id) && this.#isDuplicate(server, id)) this.duplicateWrites.push(id)
      this.#positions.set(id, position)
    }
    let isReplicated = false
    for (const other of this.servers.values()) {
      if (other === server || other.isDown || other.isSilent) continue
      if (other.pausedFor !== 0 || other.isReplicationBlocked) continue
      this.#replicate(other, server, writes.length)
      isReplicated = true
    }
    if (isReplicated) this.acknowledged.push(...writes)
    return isReplicated
  }

  /** The log position of a write; null when no server has logged a write with this id. */
  positionOf(id: string): LogPosition | null {
    return this.#positions.get(id) ?? null
  }

  /** Stops the server immediately; its log is kept. */
  crash(server: MemoryServer): void {
    server.isDown = true
  }

  /** Restarts a crashed server with its log; a replica takes the log of the current primary, if any. */
  recover(server: MemoryServer): void {
    if (server.isDown) server.pausedFor = 0
    server.isDown = false
    if (server.role === 'primary') return
    const { currentPrimary: primary } = this
    if (primary === null) return
    server.log = [...primary.log]
    server.term = primary.term
  }

  /** Appends only the last writes when the rest of the log matches, otherwise copies the whole log. */
  #replicate(other: MemoryServer, from: MemoryServer, count: number): void {
    const before = from.log.length - count
    const isNext = other.log.length === before && other.log.at(-1) === from.log[before - 1]
    if (isNext) other.log.push(...from.log.slice(before))
    else other.log = [...from.log]
    other.term = from.term
  }

  #isDuplicate(server: MemoryServer, id: string): boolean {
    return server.log.filter(write => write.id === id).length > 1
  }

  pause(server: MemoryServer, forTerm: number): void {
    if (server.role === 'replica' && forTerm > this.#term) server.pausedFor = forTerm
  }

  stepDown(server: MemoryServer, forTerm: number): void {
    if (server.role === 'primary' && server.term < forTerm) server.role = 'replica'
  }

  /** False when a newer token has been used, or the server is unknown or down. */
  promote(id: BackendServerId, token: number): boolean {
    const server = this.servers.get(id)
    if (token < this.#newestToken) return false
    this.#newestToken = token
    if (server === undefined || server.isDown) return false
    if (server.role === 'primary') return true
    setTimeout(() => {
      this.#completePromotion(server, token)
    }, this.#promotionMilliseconds)
    return true
  }

  #completePromotion(server: MemoryServer, token: number): void {
    if (token < this.#newestToken || server.role === 'primary') return
    this.#term += 1
    this.promotions += 1
    this.#checkAcknowledgedWrites(server)
    for (const other of this.servers.values()) {
      other.role = 'replica'
      if (other.pausedFor <= this.#term) other.pausedFor = 0
      if (other.isDown || other.isSilent) continue
      other.log = [...server.log]
      other.term = this.#term
    }
    server.role = 'primary'
    server.term = this.#term
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
