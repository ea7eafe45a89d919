import { describe, it } from 'node:test'
import { expect } from 'earl'
import { logPosition, type BackendServerId } from '@nutmegcourse/shared'
import { PrimaryChangeRun, type GroupMember } from '../../src/index.js'
import { A, B, C, FakeServers, P, clockOf, planOf } from './fakeServers.js'
import { member } from './groupMember.js'

const JUST_GONE = { mayHoldWrites: false, mayReturn: false }
const GONE = { ...JUST_GONE, mayBringLog: false }

/** More waits than the rounds of a claim take, and fewer than a server without a log is waited for. */
const SOME_WAITS = 20

interface ShortLogCase {
  readonly name: string
  /** The group beside the primary, which is gone, and a replica at 90. */
  readonly others: readonly GroupMember[]
  /** Their positions; null for one that does not answer. */
  readonly positions: Readonly<Record<string, number | null>>
  /** What this host has seen of B before. */
  readonly seen?: number
  /** Whether B led the present term. */
  readonly hasLed?: boolean
  /** The server that answers one report and then nothing. */
  readonly answersOnce?: BackendServerId
  /** What happens after some waits. */
  readonly later?: (group: FakeServers) => void
  readonly ordered: readonly BackendServerId[]
}

const comesBack = (group: FakeServers): void => {
  group.at(B).isReachable = true
}

const cases: readonly ShortLogCase[] = [
  // Guards against a choice that forgets what a server answered a round before.
  {
    name: 'waits for a replica that answered once and holds more',
    others: [member(B)],
    positions: { b: 100 },
    answersOnce: B,
    later: comesBack,
    ordered: [B],
  },
  // Guards against a choice that ignores positions known from statements, other hosts or the previous holder.
  {
    name: 'waits for a replica that was seen to hold more',
    others: [member(B)],
    positions: { b: null },
    seen: 100,
    later: group => {
      group.at(B).offset = 100
      comesBack(group)
    },
    ordered: [B],
  },
  // Guards against a leaving server that counts as ended when its entry lapses, and lives.
  {
    name: 'waits for a replica that was seen to hold more and has just lost its entry',
    others: [member(B, JUST_GONE)],
    positions: { b: null },
    seen: 100,
    later: group => {
      group.at(B).offset = 100
      comesBack(group)
    },
    ordered: [B],
  },
  // Guards against a group that waits for a log that does not return.
  {
    name: 'chooses without a replica that held more and is gone',
    others: [member(B, GONE)],
    positions: { b: null },
    seen: 100,
    ordered: [A],
  },
  // Guards against a choice just before a successor takes over the log of a leaving server.
  {
    name: 'waits for a server that takes over the log of one that is gone',
    others: [member(B, GONE), member(C, { hasJoined: true })],
    positions: { b: null, c: 0 },
    seen: 100,
    later: group => (group.at(C).offset = 100),
    ordered: [C],
  },
  // Guards against a group that waits forever for a server that takes over nothing.
  {
    name: 'chooses without a server that has taken over nothing for some time',
    others: [member(B, GONE), member(C, { hasJoined: true })],
    positions: { b: null, c: 0 },
    seen: 100,
    ordered: [A],
  },
  // Guards against a restarted replica whose log counts as begun anew, although only it holds what was seen.
  {
    name: 'chooses a replica that restarted with what was seen',
    others: [member(B, { hasRestarted: true })],
    positions: { b: 100 },
    seen: 100,
    ordered: [B],
  },
  // Guards against the log that a primary began anew after it had lost its own.
  {
    name: 'does not choose a server that led the term and restarted',
    others: [member(B, { hasRestarted: true })],
    positions: { b: 100 },
    hasLed: true,
    ordered: [A],
  },
  // Guards against a wait for what the primary of an older term had, and a promotion has rolled back.
  {
    name: 'does not wait for a position that a newer term does not hold',
    others: [member(B)],
    positions: { b: 89 },
    seen: 100,
    later: () => undefined,
    ordered: [A],
  },
]

describe('A change of primary that knows of a longer log', () => {
  for (const { name, others, positions, seen, hasLed, answersOnce, later, ordered } of cases) {
    it(name, async () => {
      const plan = planOf([member(P, GONE), member(A), ...others])
      const group = new FakeServers(plan, { p: null, a: 90, ...positions })
      const isNewTerm = positions.b === 89
      if (seen !== undefined) {
        group.received.recordReplica(B, logPosition(isNewTerm ? 0 : 1, seen))
      }
      if (hasLed === true) group.received.recordPrimary(B, 1)
      let waits = 0
      group.onWait = () => {
        waits += 1
        if (waits === SOME_WAITS) later?.(group)
      }
      group.onReport = server => {
        if (server === answersOnce && waits < SOME_WAITS) {
          queueMicrotask(() => (group.at(server).isReachable = false))
        }
        return true
      }
      await new PrimaryChangeRun(group, clockOf(group)).run()
      expect(group.orders.slice(0, 1)).toEqual([...ordered])
    })
  }
})
