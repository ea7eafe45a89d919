/** A group whose servers each test sets, with the ports of a change of its primary. */
import {
  backendServerId,
  logPosition,
  milliseconds,
  term,
  type BackendServerId,
  type Term,
} from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import {
  ReceivedBound,
  type ChangePlan,
  type ChangePorts,
  type GroupMember,
} from '../../src/index.js'
import { member } from './groupMember.js'

export const P = backendServerId('p')
export const A = backendServerId('a')
export const B = backendServerId('b')
export const C = backendServerId('c')

interface FakeServer {
  role: 'primary' | 'replica'
  offset: number
  pausedFor: Term
  term: Term
  isReachable: boolean
}

/** Servers whose state each test sets; no write is made unless a test makes one. */
export class FakeServers implements ChangePorts {
  readonly servers = new Map<BackendServerId, FakeServer>()
  readonly orders: BackendServerId[] = []
  readonly stepDowns: { readonly server: BackendServerId; readonly term: Term }[] = []
  now = 0
  onReport: (server: BackendServerId, role: string) => boolean = () => true
  onPromoted: () => void = () => undefined
  onWait: () => void = () => undefined
  readonly joined: BackendServerId[] = []
  readonly received = new ReceivedBound()
  /** What happens before the order to promote is answered. */
  whileOrdered: (() => Promise<void>) | null = null
  readonly #restarts = new Map<BackendServerId, number>()
  #effectAt = Number.POSITIVE_INFINITY
  #promoted: BackendServerId | null = null

  constructor(
    readonly given: ChangePlan,
    positions: Readonly<Record<string, number | null>>,
  ) {
    for (const [name, offset] of Object.entries(positions)) {
      this.servers.set(backendServerId(name), {
        role: name === 'p' ? 'primary' : 'replica',
        offset: offset ?? 0,
        pausedFor: term(0),
        term: term(1),
        isReachable: offset !== null,
      })
    }
  }

  at(id: BackendServerId): FakeServer {
    const server = this.servers.get(id)
    if (server === undefined) throw new Error('unknown server')
    return server
  }

  plan = (): ChangePlan => ({
    ...this.given,
    members: [...this.given.members, ...this.joined.map(server => member(server))].map(each => ({
      ...each,
      startedAtUnixMilliseconds: this.#restarts.get(each.server) ?? 0,
    })),
  })

  /** Restarts a server with its log, which ends its pause. */
  restart(id: BackendServerId): void {
    this.#restarts.set(id, (this.#restarts.get(id) ?? 0) + 1)
    this.at(id).pausedFor = term(0)
  }

  join(id: BackendServerId, role: FakeServer['role']): void {
    this.joined.push(id)
    const server = { role, offset: 100, pausedFor: term(0), term: term(1), isReachable: true }
    this.servers.set(id, server)
  }

  /** The servers that lead, or receive what a primary writes. */
  receiving(): BackendServerId[] {
    return [...this.servers]
      .filter(([, { isReachable, pausedFor }]) => isReachable && pausedFor === 0)
      .map(([id]) => id)
  }

  async report(id: BackendServerId): Promise<ServerReport | null> {
    await Promise.resolve()
    return this.onReport(id, this.at(id).role) ? this.#describe(id) : null
  }

  pause(id: BackendServerId, until: Term): Promise<ServerReport | null> {
    const server = this.at(id)
    const mayPause = server.isReachable && server.role === 'replica' && until > server.term
    if (mayPause) server.pausedFor = until
    return Promise.resolve(this.#describe(id))
  }

  stepDown(id: BackendServerId, until: Term): Promise<ServerReport | null> {
    const server = this.at(id)
    this.stepDowns.push({ server: id, term: until })
    if (server.isReachable && until > server.term) server.role = 'replica'
    return Promise.resolve(this.#describe(id))
  }

  resume(id: BackendServerId): Promise<ServerReport | null> {
    if (this.at(id).isReachable) this.at(id).pausedFor = term(0)
    return Promise.resolve(this.#describe(id))
  }

  waitBeforeRetry(): Promise<void> {
    this.now += 25
    this.onWait()
    if (this.now >= this.#effectAt && this.#promoted !== null) this.#takeEffect(this.#promoted)
    return Promise.resolve()
  }

  waitBeforeRound = (): Promise<void> => this.waitBeforeRetry()
  isClaimHeld = (): boolean => true
  renewClaim = (): Promise<boolean> => Promise.resolve(true)
  renewToken = (): Promise<boolean> => Promise.resolve(true)
  othersAsked = (): Promise<void> => Promise.resolve()
  hasLedSince = (): boolean => false
  record = (): void => undefined

  async promote(id: BackendServerId): Promise<'accepted'> {
    this.orders.push(id)
    await this.whileOrdered?.()
    if (this.at(id).role !== 'primary') {
      this.#promoted = id
      this.#effectAt = this.now + 1000
    }
    this.onPromoted()
    return 'accepted'
  }

  #takeEffect(id: BackendServerId): void {
    this.#effectAt = Number.POSITIVE_INFINITY
    for (const [each, server] of this.servers) {
      server.term = term(2)
      server.role = each === id ? 'primary' : 'replica'
      if (server.pausedFor <= 2) server.pausedFor = term(0)
    }
  }

  #describe(id: BackendServerId): ServerReport | null {
    const server = this.at(id)
    if (!server.isReachable) return null
    const { role, term: led, offset, pausedFor } = server
    const received = logPosition(led, offset)
    if (role === 'primary') this.received.recordPrimary(id, led)
    else this.received.recordReplica(id, received)
    return { role, term: led, received, pausedFor }
  }
}

export const DROPPED = { isListed: false, isAwaited: false, isLeaving: true }

export const planOf = (
  members: readonly GroupMember[],
  hasUnfinishedOrder = false,
): ChangePlan => ({
  members,
  isComplete: true,
  hasUnfinishedOrder,
  keepsPrimary: hasUnfinishedOrder,
})

export const clockOf = (group: FakeServers) => ({ now: () => milliseconds(group.now) })
