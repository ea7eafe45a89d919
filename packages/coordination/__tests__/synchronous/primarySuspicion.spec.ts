import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, milliseconds } from '@nutmegcourse/shared'
import {
  PrimarySuspicion,
  readChangeRecord,
  readHostRecord,
  readRecordName,
  readSuspicionRecord,
  suspicionKey,
  writeRecord,
  type SuspicionAdvice,
} from '../../src/index.js'

const P = backendServerId('p')
const OTHER = backendServerId('other')

interface Case {
  readonly name: string
  /** Milliseconds without an answer. */
  readonly silent?: number
  readonly refusals?: number
  /** Milliseconds since another host reached the primary on behalf of this one. */
  readonly reached?: number
  /** Milliseconds since a replica was seen to receive more of the log. */
  readonly grew?: number
  readonly hosts: number
  readonly rank: number
  readonly denials?: readonly string[]
  readonly votes: readonly (readonly [host: string, primary: typeof P, at: number])[]
  /** The expected advice at each of these times, requested in order. */
  readonly advice: readonly (readonly [at: number, advice: SuspicionAdvice])[]
}

/**
 * Some hosts lose contact with a primary. If it is dead, writes fail until one of them acts, so each
 * millisecond counts; if only those hosts are cut off, acting at once would replace a primary that is
 * healthy for all others.
 */
const CASES: readonly Case[] = [
  {
    name: 'trusts the primary during a short silence',
    silent: 300,
    hosts: 9,
    rank: 0,
    votes: [],
    advice: [[0, 'trust']],
  },
  {
    name: 'votes when no other host shares the suspicion, and acts only later',
    silent: 600,
    hosts: 9,
    rank: 0,
    votes: [],
    advice: [
      [0, 'vote'],
      [2400, 'vote'],
      [2500, 'act'],
    ],
  },
  {
    // Seven of nine hosts and the primary are cut off from the store, two hosts from the primary. The
    // two receive no denial, but see that the replicas still receive writes.
    name: 'does not act while the replicas still receive writes, as the primary serves other hosts',
    silent: 600,
    grew: 300,
    hosts: 9,
    rank: 0,
    votes: [['x', P, 0]],
    advice: [
      [0, 'vote'],
      [3500, 'vote'],
    ],
  },
  {
    name: 'does not act alone while others reach the primary on its behalf',
    silent: 600,
    reached: 200,
    hosts: 9,
    rank: 0,
    votes: [],
    advice: [
      [0, 'vote'],
      [5000, 'vote'],
    ],
  },
  {
    name: 'acts with a quarter of the hosts once the others have had time to deny',
    silent: 600,
    hosts: 9,
    rank: 0,
    votes: [
      ['x', P, 0],
      ['y', P, 0],
    ],
    advice: [
      [0, 'vote'],
      [199, 'vote'],
      [200, 'act'],
    ],
  },
  {
    name: 'acts at once with half of the hosts, regardless of denials',
    silent: 600,
    hosts: 6,
    rank: 0,
    votes: [
      ['x', P, 0],
      ['y', P, 0],
    ],
    denials: ['a', 'b', 'c'],
    advice: [[10, 'act']],
  },
  {
    // A partition separates two of nine hosts from the primary and the others from its replicas. A change
    // would give two hosts a primary and take it from seven.
    name: 'does not act while as many hosts deny as suspect',
    silent: 600,
    hosts: 9,
    rank: 0,
    votes: [['x', P, 0]],
    denials: ['a', 'b'],
    advice: [
      [0, 'vote'],
      [3500, 'vote'],
    ],
  },
  {
    name: 'delays acting by the rank of the host',
    silent: 600,
    hosts: 9,
    rank: 2,
    votes: [
      ['x', P, 0],
      ['y', P, 0],
    ],
    advice: [
      [0, 'vote'],
      [439, 'vote'],
      [440, 'act'],
    ],
  },
  {
    name: 'does not count votes against another server',
    silent: 600,
    hosts: 9,
    rank: 0,
    votes: [
      ['x', OTHER, 0],
      ['y', OTHER, 0],
    ],
    advice: [[10, 'vote']],
  },
  {
    name: 'does not count expired votes',
    silent: 600,
    hosts: 9,
    rank: 0,
    votes: [
      ['x', P, 0],
      ['y', P, 0],
    ],
    advice: [[4100, 'vote']],
  },
  {
    name: 'acts on a primary whose port refused two connections',
    refusals: 2,
    hosts: 2,
    rank: 0,
    votes: [['x', P, 0]],
    advice: [[10, 'act']],
  },
  {
    name: 'acts without votes of others when no other host remains',
    silent: 600,
    hosts: 1,
    rank: 0,
    votes: [],
    advice: [[0, 'act']],
  },
]

describe('PrimarySuspicion', () => {
  for (const {
    name,
    silent,
    refusals,
    reached,
    grew,
    hosts,
    rank,
    votes,
    denials,
    advice,
  } of CASES) {
    it(name, () => {
      const suspicion = new PrimarySuspicion()
      for (const [host, primary, at] of votes) suspicion.recordVote(host, primary, milliseconds(at))
      for (const host of denials ?? []) suspicion.recordDenial(host, P, milliseconds(0))
      const observations = {
        primary: P,
        silentMilliseconds: silent ?? 0,
        refusals: refusals ?? 0,
        logGrewAgo: grew ?? Number.POSITIVE_INFINITY,
        reachedThroughOthersAgo: reached ?? Number.POSITIVE_INFINITY,
      }
      const actual = advice.map(([at]) =>
        suspicion.advise(observations, hosts, rank, milliseconds(at)),
      )
      expect(actual).toEqual(advice.map(([, expected]) => expected))
    })
  }

  it('starts a new suspicion after the primary has answered in between', () => {
    const suspicion = new PrimarySuspicion()
    const silent = {
      primary: P,
      silentMilliseconds: 600,
      refusals: 0,
      logGrewAgo: Number.POSITIVE_INFINITY,
      reachedThroughOthersAgo: Number.POSITIVE_INFINITY,
    }
    suspicion.advise(silent, 9, 0, milliseconds(0))
    suspicion.advise({ ...silent, silentMilliseconds: 0 }, 9, 0, milliseconds(1000))
    expect(suspicion.advise(silent, 9, 0, milliseconds(2000))).toEqual('vote')
  })
})

describe('records in the store', () => {
  const unreadable = ['', 'no json', '[]', '{}', '{"phase":"claimed"}', '{"holder":7}', 'null']
  for (const text of unreadable) {
    it(`returns null for the invalid record ${JSON.stringify(text)}`, () => {
      expect([readChangeRecord(text), readSuspicionRecord(text), readHostRecord(text)]).toEqual([
        null,
        null,
        null,
      ])
    })
  }

  it('reads back the records and names that it wrote', () => {
    const done = { phase: 'done', holder: 'h', primary: P } as const
    expect(readChangeRecord(writeRecord(done))).toEqual(done)
    const denial = { primary: P, reaches: true }
    const missing = { primary: null, reaches: false }
    expect(readSuspicionRecord(writeRecord(missing))).toEqual(missing)
    expect(readSuspicionRecord(writeRecord(denial))).toEqual(denial)
    expect(readRecordName('suspicion/s/h')).toEqual({ kind: 'suspicion', service: 's', host: 'h' })
    expect(readRecordName('elsewhere/s')).toEqual(null)
  })
})

// Guards against a vote on one service that counts as a vote on another, of a host that does not exist.
describe('the key of a vote', () => {
  const names: readonly (readonly [string, string])[] = [
    ['s', 'h'],
    ['s/a', 'h'],
    ['s', 'h/a'],
    ['s/', '/h'],
    ['s%2Fa', 'h%'],
    ['s%252F', 'h%25'],
    ['données', 'h-1'],
  ]
  for (const [service, host] of names) {
    it(`names its service and host: ${service} ${host}`, () => {
      const key = suspicionKey(service, host)
      expect(readRecordName(key)).toEqual({ kind: 'suspicion', service, host })
    })
  }

  it('of three parts is none', () => {
    expect(readRecordName('suspicion/s/a/h')).toEqual(null)
  })
})
