import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, milliseconds } from '@nutmegcourse/shared'
import {
  PrimarySuspicion,
  readChangeRecord,
  readHostRecord,
  readRecordName,
  readSuspicionRecord,
  writeRecord,
  type SuspicionAdvice,
} from '../../src/index.js'

const P = backendServerId('p')
const OTHER = backendServerId('other')

interface Case {
  readonly name: string
  readonly silent?: number
  readonly refusals?: number
  readonly reached?: number
  readonly grew?: number
  readonly hosts: number
  readonly rank: number
  readonly denials?: readonly string[]
  readonly votes: readonly (readonly [host: string, primary: typeof P, at: number])[]
  /** The advice at each of these times, asked in order. */
  readonly advice: readonly (readonly [at: number, advice: SuspicionAdvice])[]
}

/**
 * Story: some hosts lose sight of a primary. When it is dead, each millisecond until one of them acts
 * is one without writes; when only those hosts are cut off, acting at once would move a healthy
 * primary away from all the others.
 */
const CASES: readonly Case[] = [
  {
    name: 'a short silence is trusted',
    silent: 300,
    hosts: 9,
    rank: 0,
    votes: [],
    advice: [[0, 'trust']],
  },
  {
    name: 'alone with its view, a host votes and acts only later',
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
    // two hear no denial, but see that the replicas go on receiving.
    name: 'its replicas go on receiving: it serves somebody',
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
    name: 'alone, but others reach the primary for it',
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
    name: 'with a quarter of the hosts it acts once the others could have denied',
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
    name: 'with half of the hosts it acts at once, whoever denies',
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
    // A cut separates two of nine hosts from the primary and the others from its replicas. Moving it
    // would give two hosts a primary and take it from seven.
    name: 'as many deny as suspect: it stays where it is',
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
    name: 'a later rank waits for its turn',
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
    name: 'votes against another server do not count',
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
    name: 'votes lapse',
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
    name: 'a port that refuses twice has no process behind it',
    refusals: 2,
    hosts: 2,
    rank: 0,
    votes: [['x', P, 0]],
    advice: [[10, 'act']],
  },
  {
    name: 'the only host that is left needs nobody',
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
      for (const [host, primary, at] of votes) suspicion.heardVote(host, primary, milliseconds(at))
      for (const host of denials ?? []) suspicion.heardDenial(host, P, milliseconds(0))
      const signs = {
        primary: P,
        silentMilliseconds: silent ?? 0,
        refusals: refusals ?? 0,
        logGrewAgo: grew ?? Number.POSITIVE_INFINITY,
        reachedThroughOthersAgo: reached ?? Number.POSITIVE_INFINITY,
      }
      const given = advice.map(([at]) => suspicion.advise(signs, hosts, rank, milliseconds(at)))
      expect(given).toEqual(advice.map(([, expected]) => expected))
    })
  }

  it('starts anew when the primary answers in between', () => {
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
    it(`reads nothing from ${JSON.stringify(text)}`, () => {
      expect([readChangeRecord(text), readSuspicionRecord(text), readHostRecord(text)]).toEqual([
        null,
        null,
        null,
      ])
    })
  }

  it('reads what it wrote', () => {
    const done = { phase: 'done', holder: 'h', primary: P } as const
    expect(readChangeRecord(writeRecord(done))).toEqual(done)
    const denial = { primary: P, reaches: true }
    expect(readSuspicionRecord(writeRecord(denial))).toEqual(denial)
    expect(readRecordName('suspicion/s/h')).toEqual({ kind: 'suspicion', service: 's', host: 'h' })
    expect(readRecordName('elsewhere/s')).toEqual(null)
  })
})
