import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, milliseconds } from '@nutmegcourse/shared'
import {
  LatencyEstimate,
  WaitingLine,
  connectionHolders,
  connectionsToOpen,
  poolLimits,
  rankForRead,
  type ReadCandidate,
} from '../../src/index.js'

const candidate = (server: string, given: Partial<ReadCandidate> = {}): ReadCandidate => ({
  server: backendServerId(server),
  isPrimary: false,
  stays: true,
  isBehind: false,
  silentMilliseconds: 0,
  expectedMilliseconds: 30,
  inFlight: 0,
  slots: 3,
  ...given,
})

describe('rankForRead', () => {
  const cases: readonly (readonly [string, readonly ReadCandidate[], string])[] = [
    [
      'the near one before the far one',
      [candidate('far', { expectedMilliseconds: 70 }), candidate('near')],
      'near',
    ],
    [
      'the far one when the near one is full',
      [candidate('far', { expectedMilliseconds: 70 }), candidate('near', { inFlight: 9 })],
      'far',
    ],
    ['a replica before the primary', [candidate('p', { isPrimary: true }), candidate('r')], 'r'],
    [
      'the primary before a slow replica',
      [candidate('p', { isPrimary: true }), candidate('r', { expectedMilliseconds: 150 })],
      'p',
    ],
    [
      'the primary before a replica that is behind',
      [candidate('p', { isPrimary: true }), candidate('r', { isBehind: true })],
      'p',
    ],
    [
      'a server that stays before one that leaves',
      [candidate('leaving', { stays: false }), candidate('far', { expectedMilliseconds: 90 })],
      'far',
    ],
    [
      'a silent server last',
      [candidate('silent', { silentMilliseconds: 400 }), candidate('l', { stays: false })],
      'l',
    ],
  ]
  for (const [name, candidates, first] of cases) {
    it(name, () => {
      expect(rankForRead(candidates)[0]).toEqual(backendServerId(first))
    })
  }
})

describe('poolLimits', () => {
  for (const limit of [23, 34, 100]) {
    for (const hosts of [1, 6, 9, 12, 30]) {
      // All hosts lose power and start again. The server still counts their old connections for
      // seconds; if those fill its limit, no host gets one until then and nobody is served.
      it(`${limit} connections, ${hosts} hosts: what is kept leaves room for as many again`, () => {
        const { share, burst } = poolLimits(limit, hosts)
        expect(share >= 1 && burst >= share).toEqual(true)
        if (hosts <= limit * 0.45) expect(share * hosts * 2 <= limit).toEqual(true)
      })
    }
  }

  // Nine hosts that each borrowed up to 0.4 of a limit of 22 had 2,000 connections a day reset, and the near
  // ones left a far zone one connection each, with half of its callers refused.
  const fleets: readonly (readonly [number, number, number])[] = [
    [22, 9, 3],
    [23, 9, 3],
    [34, 6, 6],
    [41, 65, 6],
    [58, 69, 8],
    [274, 91, 41],
  ]
  for (const [limit, hosts, holders] of fleets) {
    it(`${limit} connections, ${hosts} hosts: ${holders} hold them, together no more than there are`, () => {
      expect(connectionHolders(limit, hosts)).toEqual(holders)
      expect(poolLimits(limit, holders).burst * holders <= limit).toEqual(true)
    })
  }

  it('opens for those who wait, up to the burst, and for warmth up to the share', () => {
    const limits = { share: 2, burst: 5 }
    const state = { size: 2, opening: 0, idle: 0, waiting: 9 }
    expect(connectionsToOpen(state, limits, 1)).toEqual(3)
    expect(connectionsToOpen({ ...state, waiting: 0, size: 0 }, limits, 1)).toEqual(1)
    expect(connectionsToOpen({ ...state, opening: 1, waiting: 1 }, limits, 1)).toEqual(0)
    expect(connectionsToOpen({ ...state, size: 5 }, limits, 1)).toEqual(0)
  })
})

describe('WaitingLine', () => {
  it('serves by priority, then by who has the least time left, then in order', () => {
    const line = new WaitingLine<{
      name: string
      priority: number
      deadline: ReturnType<typeof milliseconds>
    }>()
    const join = (name: string, priority: number, deadline: number) => {
      const waiter = { name, priority, deadline: milliseconds(deadline) }
      line.join(waiter)
      return waiter
    }
    join('late', 1, 900)
    join('soon', 1, 100)
    const gone = join('gone', 0, 50)
    join('urgent', 0, 800)
    join('soon too', 1, 100)
    line.leave(gone)
    expect(line.takeAll().map(({ name }) => name)).toEqual(['urgent', 'soon', 'soon too', 'late'])
    expect(line.size).toEqual(0)
  })
})

describe('LatencyEstimate', () => {
  // One server turns slow. It must lose its work within a few answers, and get some again later:
  // without a try nobody would learn that it is well.
  it('rises fast, falls by and by, and forgets', () => {
    const estimate = new LatencyEstimate(10)
    for (let answers = 0; answers < 4; answers += 1) estimate.record(150, milliseconds(answers))
    const slow = estimate.at(milliseconds(4))
    expect(slow > 100).toEqual(true)
    estimate.record(30, milliseconds(5))
    expect(estimate.at(milliseconds(5)) > 80).toEqual(true)
    expect(estimate.at(milliseconds(10_000)) < 12).toEqual(true)
  })
})
