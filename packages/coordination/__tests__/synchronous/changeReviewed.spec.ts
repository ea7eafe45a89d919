import { describe, it } from 'node:test'
import { expect } from 'earl'
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
  PrimaryChangeRun,
  PrimaryChoice,
  type ChangePlan,
  type ChangePorts,
  type GroupMember,
} from '../../src/index.js'

const P = backendServerId('p')
const A = backendServerId('a')
const B = backendServerId('b')
const C = backendServerId('c')

interface FakeServer {
  role: 'primary' | 'replica'
  offset: number
  pausedFor: Term
  term: Term
  isReachable: boolean
}

/** Servers whose state each test sets; no write is made unless a test makes one. */
class FakeServers implements ChangePorts {
  readonly servers = new Map<BackendServerId, FakeServer>()
  readonly stepDowns: { readonly server: BackendServerId; readonly term: Term }[] = []
  now = 0
  onReport: (server: BackendServerId, role: string) => boolean = () => true
  onPromoted: () => void = () => undefined
  readonly joined: BackendServerId[] = []
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
    if (this.now >= this.#effectAt && this.#promoted !== null) this.#takeEffect(this.#promoted)
    return Promise.resolve()
  }

  waitBeforeRound = (): Promise<void> => this.waitBeforeRetry()
  isClaimHeld = (): boolean => true
  renewClaim = (): Promise<boolean> => Promise.resolve(true)
  hasLedSince = (): boolean => false
  record = (): void => undefined

  async promote(id: BackendServerId): Promise<'accepted'> {
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
    return {
      role: server.role,
      term: server.term,
      received: logPosition(server.term, server.offset),
      pausedFor: server.pausedFor,
    }
  }
}

const member = (server: BackendServerId, given: Partial<GroupMember> = {}): GroupMember => ({
  server,
  isLeaving: false,
  isListed: true,
  startedAtUnixMilliseconds: null,
  hasJoined: false,
  mayHoldWrites: true,
  holdsUpTo: null,
  mayReturn: true,
  hasRestarted: false,
  isAwaited: true,
  distance: 0,
  ...given,
})

const DROPPED = { isListed: false, isAwaited: false, isLeaving: true }

const planOf = (members: readonly GroupMember[], hasUnfinishedOrder = false): ChangePlan => ({
  members,
  isComplete: true,
  hasUnfinishedOrder,
  keepsPrimary: hasUnfinishedOrder,
})

const clockOf = (group: FakeServers) => ({ now: () => milliseconds(group.now) })

describe('A change of primary, as reviewed', () => {
  // Guards against a dead primary that stops counting as missing once it is dropped from the list: the writes that it
  // and an unreachable replica hold are then lost.
  it('chooses none when the dropped primary and a replica are unreachable', async () => {
    const plan = planOf([member(P, DROPPED), member(A), member(B)])
    const group = new FakeServers(plan, { p: null, a: 90, b: null })
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual('unknownReplica')
  })

  // Guards against the loss of the end of a stopped primary's log that only a replica without an entry in the store
  // acknowledged.
  it('counts the log of the stopped primary when a dropped replica gives no answer', async () => {
    const plan = planOf([member(P), member(A), member(B), member(C, DROPPED)])
    const group = new FakeServers(plan, { p: 100, a: 90, b: 95, c: null })
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(P)
  })

  // Guards against the replica with the shortest log, which is promoted when every server of the group has restarted: the
  // logs of the others, among them that of the newest term, were not looked at.
  it('chooses the furthest log when all servers have restarted', async () => {
    const restarted = { hasRestarted: true }
    const plan = planOf([member(P, restarted), member(A, restarted), member(B, restarted)])
    const group = new FakeServers(plan, { p: 100, a: 90, b: 40 })
    group.at(B).pausedFor = term(0)
    group.at(A).pausedFor = term(2)
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(P)
  })

  // Guards against the same for a server that restarted and has records of a term of which the others know nothing.
  it('counts the log of a restarted server that has records of a newer term', async () => {
    const gone = member(P, { mayHoldWrites: false })
    const plan = planOf([gone, member(A), member(B, { hasRestarted: true })])
    const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
    group.at(B).term = term(2)
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(B)
  })

  // Guards against a group without a primary that waits for a dead one, since a server that has just joined has no log.
  it('does not take a server that has just joined for one that lost its log', async () => {
    const plan = planOf([member(P), member(A), member(C, { hasJoined: true })])
    const group = new FakeServers(plan, { p: null, a: 100, c: 0 })
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(A)
  })

  // Guards against a full primary that is taken for one without its log: it is stopped, and its last position is
  // ignored from then on.
  it('does not take an unanswered second report for a lost log', async () => {
    const plan = planOf([member(P), member(A), member(B)])
    const group = new FakeServers(plan, { p: 100, a: 101, b: 100 })
    let asked = 0
    // The first report is from before the write that the replica has; the second one is not answered.
    group.onReport = server => {
      if (server !== P) return true
      asked += 1
      if (asked > 1) group.at(P).offset = 101
      return asked !== 2
    }
    const withoutLog = new Set<BackendServerId>()
    await new PrimaryChoice(plan, group, withoutLog).choose()
    expect([...withoutLog]).toEqual([])
  })

  // Guards against a late order to step down that stops the server promoted meanwhile: with the term after next it is
  // newer than the term that this server leads.
  it('orders to step down for the next term while an earlier order may take effect', async () => {
    const plan = planOf([member(P, { isLeaving: true }), member(A), member(B)], true)
    const group = new FakeServers(plan, { p: 100, a: 100, b: 100 })
    await new PrimaryChoice(plan, group).choose()
    expect(group.stepDowns).toEqual([{ server: P, term: term(2) }])
  })

  // Guards against a replica that restarts while the promotion is awaited and acknowledges for an unseen primary.
  it('repeats pauses beyond the next term while the promotion is awaited', async () => {
    const plan = planOf([member(P), member(A), member(B)], true)
    const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
    let pausedAgain = false
    group.onPromoted = () => (group.at(B).pausedFor = term(0))
    group.onReport = (server, role) => {
      if (server === A && role === 'replica')
        pausedAgain ||= group.now > 0 && group.at(B).pausedFor > 0
      return true
    }
    let isOrdered = false
    const promoted = group.onPromoted
    group.onPromoted = () => {
      promoted()
      pausedAgain = false
      isOrdered = true
    }
    await new PrimaryChangeRun(group, clockOf(group)).run()
    expect({ isOrdered, pausedAgain }).toEqual({ isOrdered: true, pausedAgain: true })
  })

  // Guards against the loss of writes that a replica acknowledged which joined, unpaused, during a slow choice.
  const whileChosen: readonly (readonly [string, (group: FakeServers) => void])[] = [
    [
      'joins',
      group => {
        group.join(C, 'replica')
      },
    ],
    [
      'starts again',
      group => {
        group.restart(B)
      },
    ],
  ]
  for (const [name, change] of whileChosen) {
    it(`asks the group again when a server ${name} before the order to promote`, async () => {
      const plan = planOf([member(P), member(A), member(B)])
      const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
      let isChanged = false
      group.onReport = server => {
        if (server === A && !isChanged && group.at(B).pausedFor !== 0) {
          isChanged = true
          change(group)
        }
        return true
      }
      const receiving: BackendServerId[][] = []
      group.onPromoted = () => receiving.push(group.receiving())
      await new PrimaryChangeRun(group, clockOf(group)).run()
      expect({ isChanged, receiving: receiving[0] }).toEqual({ isChanged: true, receiving: [A] })
    })
  }

  // Guards against the loss of writes that a recovered primary commits while the order to promote is unanswered.
  const untilAnswered: readonly (readonly [string, (group: FakeServers) => void])[] = [
    ['the primary', group => (group.at(P).isReachable = true)],
    [
      'the primary under another id',
      group => {
        group.join(C, 'primary')
      },
    ],
    [
      'a replica',
      group => {
        group.join(C, 'replica')
      },
    ],
  ]
  for (const [name, comeBack] of untilAnswered) {
    it(`lets ${name} acknowledge nothing that joins while the order to promote has no answer`, async () => {
      const plan = planOf([member(P), member(A), member(B)])
      const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
      group.whileOrdered = async () => {
        comeBack(group)
        for (let wait = 0; wait < 10; wait += 1) await group.waitBeforeRetry()
        group.whileOrdered = null
      }
      const receiving: BackendServerId[][] = []
      group.onPromoted = () => receiving.push(group.receiving())
      await new PrimaryChangeRun(group, clockOf(group)).run()
      expect(receiving).toEqual([[A]])
    })
  }

  // Guards against replicas that stay paused because they were busy when the primary was kept: no write would be
  // acknowledged any more.
  it('does not end a change while a replica that gave no answer is paused beyond the term', async () => {
    const plan = planOf([member(P), member(A), member(B)], true)
    const group = new FakeServers(plan, { p: 100, a: 100, b: 100 })
    let busyReports = 0
    let isOrdered = false
    group.onPromoted = () => (isOrdered = true)
    group.onReport = server => !isOrdered || server === P || ++busyReports > 2
    const end = await new PrimaryChangeRun(group, clockOf(group)).run()
    const paused = [A, B].filter(server => group.at(server).pausedFor !== 0)
    expect({ end: end.kind, paused }).toEqual({ end: 'done', paused: [] })
  })
})
