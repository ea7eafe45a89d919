/**
 * A group of backend servers with synchronous replication, for tests: terms, log positions, bounded
 * reads, pause, step-down and promotion, connection limits, and the ways in which servers fail. It
 * also judges: what runs where, and whether a promoted server holds every acknowledged write.
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
  /** The term in which it last led or was told of a leader. */
  term: number
  /** 0 when it receives. */
  pausedFor: number
  /** It receives nothing though nobody paused it. */
  isDeaf: boolean
  /** Refuses connections. */
  isDown: boolean
  /** Answers nothing and keeps connections open. */
  isSilent: boolean
  connections: number
}

export interface MemoryGroupOptions {
  readonly service: string
  readonly servers: readonly BackendServerId[]
  readonly connectionLimit?: number
  /** From an accepted promotion until it takes effect. */
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
  /** Every statement that ran, as `server:id`. */
  readonly ran: string[] = []
  /** In whose name each of them ran: the customer that its connection was opened for. */
  readonly ranFor: { readonly id: string; readonly customer: CustomerName | null }[] = []
  /** Broken promises of the platform's contract, as sentences. */
  readonly violations: string[] = []
  /** Writes that stand twice in one log. */
  readonly doubled: string[] = []
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
        isDeaf: false,
        isDown: false,
        isSilent: false,
        connections: 0,
      })
    })
  }

  get primary(): MemoryServer {
    const primary = this.leader
    if (primary === null) throw new Error('the group has no primary')
    return primary
  }

  /** Null between a step down and the next promotion. */
  get leader(): MemoryServer | null {
    return [...this.servers.values()].find(server => server.role === 'primary') ?? null
  }

  server(id: BackendServerId): MemoryServer {
    const server = this.servers.get(id)
    if (server === undefined) throw new Error(`no server ${id}`)
    return server
  }

  endOf(server: MemoryServer): LogPosition {
    return server.log.at(-1)?.position ?? logPosition(1, 0)
  }

  /** Writes at a primary; true once one replica has it, false when none receives. */
  commit(server: MemoryServer, ids: readonly string[]): boolean {
    const end = this.endOf(server)
    const position = logPosition(server.term, end.offset + 1)
    const writes = ids.map(id => ({ id, position }))
    server.log.push(...writes)
    for (const { id } of writes) {
      if (this.#positions.has(id) && this.#isTwice(server, id)) this.doubled.push(id)
      this.#positions.set(id, position)
    }
    let isHeld = false
    for (const other of this.servers.values()) {
      if (other === server || other.isDown || other.isSilent) continue
      if (other.pausedFor !== 0 || other.isDeaf) continue
      this.#receive(other, server, writes.length)
      isHeld = true
    }
    if (isHeld) this.acknowledged.push(...writes)
    return isHeld
  }

  /** Where a write stands in the log; null when none ran under the id. */
  positionOf(id: string): LogPosition | null {
    return this.#positions.get(id) ?? null
  }

  /** The server stops at once; its log stays. */
  crash(server: MemoryServer): void {
    server.isDown = true
  }

  /** It is back with its log; as a replica, with the leader's, if another server leads by now. */
  comeBack(server: MemoryServer): void {
    if (server.isDown) server.pausedFor = 0
    server.isDown = false
    if (server.role === 'primary') return
    const { leader } = this
    if (leader === null) return
    server.log = [...leader.log]
    server.term = leader.term
  }

  /** Usually the other lacks just the last writes; else it takes the whole log over. */
  #receive(other: MemoryServer, from: MemoryServer, count: number): void {
    const before = from.log.length - count
    const isNext = other.log.length === before && other.log.at(-1) === from.log[before - 1]
    if (isNext) other.log.push(...from.log.slice(before))
    else other.log = [...from.log]
    other.term = from.term
  }

  #isTwice(server: MemoryServer, id: string): boolean {
    return server.log.filter(write => write.id === id).length > 1
  }

  pause(server: MemoryServer, forTerm: number): void {
    if (server.role === 'replica' && forTerm > this.#term) server.pausedFor = forTerm
  }

  stepDown(server: MemoryServer, forTerm: number): void {
    if (server.role === 'primary' && server.term < forTerm) server.role = 'replica'
  }

  /** False when the token is older than one seen, or the server does not run. */
  promote(id: BackendServerId, token: number): boolean {
    const server = this.servers.get(id)
    if (token < this.#newestToken) return false
    this.#newestToken = token
    if (server === undefined || server.isDown) return false
    if (server.role === 'primary') return true
    setTimeout(() => {
      this.#takeEffect(server, token)
    }, this.#promotionMilliseconds)
    return true
  }

  #takeEffect(server: MemoryServer, token: number): void {
    if (token < this.#newestToken || server.role === 'primary') return
    this.#term += 1
    this.promotions += 1
    this.#judge(server)
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

  #judge(promoted: MemoryServer): void {
    const held = new Set(promoted.log.map(({ id }) => id))
    for (const { id } of this.acknowledged) {
      if (!held.has(id)) this.violations.push(`acknowledged write ${id} is not in the promoted log`)
    }
  }

  holds(server: MemoryServer, after: LogPosition): boolean {
    return isAtOrPast(logPosition(server.term, this.endOf(server).offset), after)
  }

  termOf(server: MemoryServer): ReturnType<typeof term> {
    return term(server.term)
  }
}
