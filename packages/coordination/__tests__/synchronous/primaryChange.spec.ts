import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  backendServerId,
  comparePositions,
  logPosition,
  term,
  type BackendServerId,
  type LogPosition,
  type Term,
} from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import {
  PrimaryChoice,
  type ChangePlan,
  type ChoiceFailure,
  type GroupMember,
  type GroupOrders,
} from '../../src/index.js'
import { member } from './groupMember.js'

const P = backendServerId('p')
const A = backendServerId('a')
const B = backendServerId('b')

/** A group with one synchronous replica; tests control which servers answer and which receive writes. */
class FakeGroup implements GroupOrders {
  readonly received = new Map<BackendServerId, number>()
  readonly pausedFor = new Map<BackendServerId, Term>()
  readonly unreachable = new Set<BackendServerId>()
  readonly notReceiving = new Set<BackendServerId>()
  acknowledged = 0
  steppedDown = false
  readonly #end = new Map<BackendServerId, number>()

  constructor(positions: Readonly<Record<string, number>>) {
    for (const [name, at] of Object.entries(positions)) {
      this.received.set(backendServerId(name), at)
      this.#end.set(backendServerId(name), at)
    }
    this.acknowledged = Math.min(
      this.received.get(P) ?? 0,
      Math.max(...[A, B].map(server => this.received.get(server) ?? 0)),
    )
  }

  /** The old primary accepts one more write and sends it to every replica that receives. */
  write(): void {
    if (this.steppedDown || this.unreachable.has(P)) return
    const next = (this.received.get(P) ?? 0) + 1
    this.received.set(P, next)
    for (const server of [A, B]) {
      if (this.pausedFor.has(server) || this.notReceiving.has(server)) continue
      this.received.set(server, next)
      this.acknowledged = next
    }
  }

  report(server: BackendServerId): Promise<ServerReport | null> {
    this.write()
    return Promise.resolve(this.#describe(server))
  }

  pause(server: BackendServerId, next: Term): Promise<ServerReport | null> {
    this.write()
    if (!this.unreachable.has(server)) this.pausedFor.set(server, next)
    return Promise.resolve(this.#describe(server))
  }

  stepDown(server: BackendServerId): Promise<ServerReport | null> {
    if (!this.unreachable.has(server)) this.steppedDown = true
    for (const each of [A, B]) {
      if (this.pausedFor.has(each) || this.notReceiving.has(each) || this.unreachable.has(each))
        continue
      this.received.set(each, this.received.get(P) ?? 0)
    }
    return Promise.resolve(this.#describe(server))
  }

  waitBeforeRetry(): Promise<void> {
    this.write()
    return Promise.resolve()
  }

  #describe(server: BackendServerId): ServerReport | null {
    if (this.unreachable.has(server)) return null
    return {
      role: server === P && !this.steppedDown ? 'primary' : 'replica',
      term: term(1),
      received: this.at(server),
      pausedFor: this.pausedFor.get(server) ?? term(0),
    }
  }

  at(server: BackendServerId): LogPosition {
    return logPosition(1, this.received.get(server) ?? 0)
  }
}

const planOf = (members: readonly GroupMember[], given: Partial<ChangePlan> = {}): ChangePlan => ({
  members,
  isComplete: true,
  hasUnfinishedOrder: false,
  keepsPrimary: false,
  ...given,
})

/** It has ended and is no longer listed. */
const GONE = { isLeaving: true, isListed: false, isAwaited: false, mayReturn: false }

interface Case {
  readonly name: string
  readonly positions: Readonly<Record<string, number>>
  readonly primary?: Partial<GroupMember>
  readonly members?: readonly GroupMember[]
  readonly plan?: Partial<ChangePlan>
  readonly arrange?: (group: FakeGroup) => void
  readonly chosen: BackendServerId | ChoiceFailure['kind']
}

/**
 * In each case the primary is dead, cut off or leaving, and one host replaces it, while it may still
 * accept writes. Every acknowledged write must be on the new primary; if no server is known to
 * hold all of them, none may be promoted.
 */
const CASES: readonly Case[] = [
  {
    name: 'chooses a replica that holds every write while a live primary goes on acknowledging',
    positions: { p: 100, a: 100, b: 100 },
    members: [member(A), member(B, { distance: 1 })],
    chosen: A,
  },
  {
    name: 'chooses the replica that is ahead when the primary is dead and the other is far behind',
    positions: { p: 100, a: 40, b: 100 },
    arrange: group => group.unreachable.add(P),
    chosen: B,
  },
  {
    name: 'chooses the replica that is only one record ahead when the primary is dead',
    positions: { p: 100, a: 99, b: 100 },
    arrange: group => group.unreachable.add(P),
    chosen: B,
  },
  {
    name: 'chooses the nearer of two replicas with equal logs',
    positions: { p: 100, a: 100, b: 100 },
    members: [member(A, { distance: 2 }), member(B, { distance: 1 })],
    chosen: B,
  },
  {
    name: 'does not choose a leaving replica while one that stays has an equal log',
    positions: { p: 100, a: 100, b: 100 },
    members: [member(A, { isLeaving: true }), member(B)],
    chosen: B,
  },
  {
    name: 'chooses a leaving replica if it alone holds the last writes',
    positions: { p: 100, a: 100, b: 90 },
    members: [member(A, { isLeaving: true }), member(B)],
    arrange: group => {
      group.unreachable.add(P)
      group.notReceiving.add(B)
    },
    chosen: A,
  },
  {
    name: 'detects a candidate that receives nothing and chooses the other replica',
    positions: { p: 100, a: 95, b: 100 },
    arrange: group => group.notReceiving.add(A),
    chosen: B,
  },
  {
    name: 'chooses none when one replica is unreachable and the primary is dead',
    positions: { p: 100, a: 100, b: 100 },
    arrange: group => {
      group.unreachable.add(P).add(B)
    },
    chosen: 'unknownReplica',
  },
  // Guards against the loss of writes that only the silent primary and a replica that ended meanwhile acknowledged.
  {
    name: 'chooses none when the primary is dead and a replica that is gone may hold more',
    positions: { p: 100, a: 90, b: 100 },
    members: [member(A), member(B, GONE)],
    arrange: group => group.unreachable.add(P).add(B),
    chosen: 'unknownReplica',
  },
  {
    name: 'chooses none when the primary is dead and a replica that is gone held more',
    positions: { p: 100, a: 90, b: 100 },
    members: [member(A), member(B, { ...GONE, holdsUpTo: logPosition(1, 91) })],
    arrange: group => group.unreachable.add(P).add(B),
    chosen: 'unknownReplica',
  },
  // Guards against a group that waits for a replica that is gone although another one holds what it acknowledged.
  {
    name: 'does not wait for a replica that is gone and held no more than another one',
    positions: { p: 100, a: 100, b: 100 },
    members: [member(A), member(B, { ...GONE, holdsUpTo: logPosition(1, 100) })],
    arrange: group => group.unreachable.add(P).add(B),
    chosen: A,
  },
  // Guards against a group that stays without a primary since two of its servers were lost for good.
  {
    name: 'chooses the last replica when the primary and the other replica are gone',
    positions: { p: 100, a: 100, b: 100 },
    primary: GONE,
    members: [member(A), member(B, GONE)],
    arrange: group => group.unreachable.add(P).add(B),
    chosen: A,
  },
  // Guards against a crashed primary that stops counting as missing while it may return with its log.
  {
    name: 'chooses none when the dropped primary may return and a replica is gone',
    positions: { p: 100, a: 100, b: 100 },
    primary: { ...GONE, mayReturn: true },
    members: [member(A), member(B, GONE)],
    arrange: group => group.unreachable.add(P).add(B),
    chosen: 'unknownReplica',
  },
  {
    name: 'lets the old primary step down and report its last position when one replica is unreachable',
    positions: { p: 100, a: 90, b: 100 },
    arrange: group => group.unreachable.add(B),
    chosen: A,
  },
  {
    name: 'chooses the stopped primary when one replica is unreachable and the other receives nothing',
    positions: { p: 100, a: 90, b: 100 },
    arrange: group => {
      group.unreachable.add(B)
      group.notReceiving.add(A)
    },
    chosen: P,
  },
  {
    name: 'chooses none when no replica answers',
    positions: { p: 100, a: 100, b: 100 },
    arrange: group => {
      group.unreachable.add(A).add(B)
    },
    chosen: 'noReplica',
  },
  {
    name: 'chooses the stopped primary when a previous coordinator died after pausing both',
    positions: { p: 100, a: 100, b: 98 },
    arrange: group => {
      group.pausedFor.set(A, term(2)).set(B, term(2))
    },
    chosen: P,
  },
]

describe('PrimaryChoice', () => {
  for (const { name, positions, primary, members, plan: given, arrange, chosen } of CASES) {
    it(name, async () => {
      const group = new FakeGroup(positions)
      arrange?.(group)
      const plan = planOf([member(P, primary), ...(members ?? [member(A), member(B)])], given)
      const result = await new PrimaryChoice(plan, group).choose()
      expect(result.isOk() ? result.value.server : result.error.kind).toEqual(chosen)
      if (result.isErr()) return
      group.write()
      const holds = group.at(result.value.server)
      expect(comparePositions(holds, logPosition(1, group.acknowledged)) >= 0).toEqual(true)
    })
  }

  // Guards against replicas that stay behind for hours after a change of primary, which makes reads of
  // the database slow. Two hosts changed the primary one after the other; the second paused the replicas
  // for the term after that of the first one's pause, a later one than that of the next primary, so the
  // promotion did not end the pause.
  it("pauses for the next primary's term even if a replica is already paused for it", async () => {
    const group = new FakeGroup({ p: 100, a: 100, b: 100 })
    group.pausedFor.set(B, term(2))
    const plan = planOf([member(P), member(A), member(B)])
    await new PrimaryChoice(plan, group).choose()
    expect(group.pausedFor.get(B)).toEqual(term(2))
  })
})
