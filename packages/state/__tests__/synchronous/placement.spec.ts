import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, milliseconds } from '@nutmegcourse/shared'
import {
  LatencyEstimate,
  WaitQueue,
  connectionHolders,
  connectionsToOpen,
  limitsOfPart,
  poolLimits,
  rankForRead,
  type ConnectionPart,
  type ReadCandidate,
} from '../../src/index.js'

const candidate = (server: string, given: Partial<ReadCandidate> = {}): ReadCandidate => ({
  server: backendServerId(server),
  isPrimary: false,
  stays: true,
  isBehind: false,
  isEjected: false,
  silentMilliseconds: 0,
  expectedMilliseconds: 30,
  inFlight: 0,
  slots: 3,
  ...given,
})

describe('rankForRead', () => {
  const cases: readonly (readonly [string, readonly ReadCandidate[], string])[] = [
    [
      'ranks a near server before a far one',
      [candidate('far', { expectedMilliseconds: 70 }), candidate('near')],
      'near',
    ],
    [
      'ranks a far server first if the near one is full',
      [candidate('far', { expectedMilliseconds: 70 }), candidate('near', { inFlight: 9 })],
      'far',
    ],
    [
      'ranks a replica before the primary',
      [candidate('p', { isPrimary: true }), candidate('r')],
      'r',
    ],
    [
      'ranks the primary before a slow replica',
      [candidate('p', { isPrimary: true }), candidate('r', { expectedMilliseconds: 150 })],
      'p',
    ],
    [
      'ranks the primary before a replica that is behind',
      [candidate('p', { isPrimary: true }), candidate('r', { isBehind: true })],
      'p',
    ],
    [
      'ranks a server that stays before one that is leaving',
      [candidate('leaving', { stays: false }), candidate('far', { expectedMilliseconds: 90 })],
      'far',
    ],
    [
      'ranks a silent server last',
      [candidate('silent', { silentMilliseconds: 400 }), candidate('l', { stays: false })],
      'l',
    ],
    [
      'ranks a server that fails its statements last',
      [candidate('ejected', { isEjected: true }), candidate('l', { stays: false })],
      'l',
    ],
    [
      'uses a server that fails its statements if no other is left',
      [candidate('ejected', { isEjected: true })],
      'ejected',
    ],
  ]
  for (const [name, candidates, first] of cases) {
    it(name, () => {
      expect(rankForRead(candidates)[0]).toEqual(backendServerId(first))
    })
  }
})

describe('limitsOfPart', () => {
  const cases: readonly (readonly [number, ConnectionPart['kind'], number, number])[] = [
    [81, 'dispatcher', 44, 56],
    [81, 'standby', 8, 16],
    [46, 'dispatcher', 25, 32],
    [46, 'standby', 4, 9],
    [4, 'dispatcher', 2, 2],
    [4, 'standby', 1, 1],
  ]
  for (const [limit, kind, share, burst] of cases) {
    it(`gives a ${kind} ${share} of ${limit} connections, and up to ${burst} while work waits`, () => {
      const part = kind === 'holder' ? { kind, hosts: 1 } : { kind }
      expect(limitsOfPart(limit, part, true)).toEqual({ share, burst })
    })
  }

  for (const limit of [25, 46, 81, 108]) {
    it(`leaves connections for the hosts' own commands beside a dispatcher and a far one: ${limit}`, () => {
      const dispatcher = limitsOfPart(limit, { kind: 'dispatcher' }, true)
      const standby = limitsOfPart(limit, { kind: 'standby' }, true)
      expect(dispatcher.burst + standby.burst < limit).toEqual(true)
      expect(dispatcher.share + 4 * standby.share < limit).toEqual(true)
    })
  }

  for (const hosts of [1, 3, 8]) {
    it(`gives one of ${hosts} hosts that use a server alike what it had before`, () => {
      for (const limit of [5, 25, 81, Number.POSITIVE_INFINITY]) {
        for (const isDivided of [false, true]) {
          const part = limitsOfPart(limit, { kind: 'holder', hosts }, isDivided)
          expect(part).toEqual(poolLimits(limit, hosts, isDivided))
        }
      }
    })
  }
})

describe('poolLimits', () => {
  for (const limit of [23, 34, 100]) {
    for (const hosts of [1, 6, 9, 12, 30]) {
      // All hosts lose power and restart. The server still counts their old connections for some seconds; if those
      // fill its limit, no host can connect until then and no caller is served.
      it(`${limit} connections, ${hosts} hosts: the shares leave room for as many connections again`, () => {
        const { share, burst } = poolLimits(limit, hosts)
        expect(share >= 1 && burst >= share).toEqual(true)
        if (hosts <= limit * 0.45) expect(share * hosts * 2 <= limit).toEqual(true)
      })
    }
  }

  // Nine hosts that each borrowed up to 0.4 of a limit of 22 caused 2,000 connection resets a day. The hosts near the
  // server left one connection each to the hosts of a distant zone, where half of the callers were refused.
  const fleets: readonly (readonly [number, number, number])[] = [
    [22, 9, 3],
    [23, 9, 3],
    [34, 6, 6],
    [41, 65, 6],
    [58, 69, 8],
    [274, 91, 41],
  ]
  for (const [limit, hosts, holders] of fleets) {
    it(`${limit} connections, ${hosts} hosts: ${holders} hold connections, together no more than the limit`, () => {
      expect(connectionHolders(limit, hosts)).toEqual(holders)
      expect(poolLimits(limit, holders).burst * holders <= limit).toEqual(true)
    })
  }

  it('opens connections for waiters up to the burst, and to stay warm up to the share', () => {
    const limits = { share: 2, burst: 5 }
    const state = { size: 2, opening: 0, idle: 0, waiting: 9 }
    expect(connectionsToOpen(state, limits, 1)).toEqual(3)
    expect(connectionsToOpen({ ...state, waiting: 0, size: 0 }, limits, 1)).toEqual(1)
    expect(connectionsToOpen({ ...state, opening: 1, waiting: 1 }, limits, 1)).toEqual(0)
    expect(connectionsToOpen({ ...state, size: 5 }, limits, 1)).toEqual(0)
  })
})

describe('WaitQueue', () => {
  it('serves by priority, then by deadline, then by order of arrival', () => {
    const queue = new WaitQueue<{
      name: string
      priority: number
      deadline: ReturnType<typeof milliseconds>
    }>()
    const enqueue = (name: string, priority: number, deadline: number) => {
      const waiter = { name, priority, deadline: milliseconds(deadline) }
      queue.enqueue(waiter)
      return waiter
    }
    enqueue('late', 1, 900)
    enqueue('soon', 1, 100)
    const gone = enqueue('gone', 0, 50)
    enqueue('urgent', 0, 800)
    enqueue('soon too', 1, 100)
    queue.remove(gone)
    expect(queue.takeAll().map(({ name }) => name)).toEqual(['urgent', 'soon', 'soon too', 'late'])
    expect(queue.size).toEqual(0)
  })
})

describe('LatencyEstimate', () => {
  // A server becomes slow. It must lose its work within a few answers, and get some again later: without new requests
  // its recovery would go unnoticed.
  it('rises fast, falls gradually, and decays to its floor', () => {
    const estimate = new LatencyEstimate(10)
    for (let answers = 0; answers < 4; answers += 1) estimate.record(150, milliseconds(answers))
    const slow = estimate.at(milliseconds(4))
    expect(slow > 100).toEqual(true)
    estimate.record(30, milliseconds(5))
    expect(estimate.at(milliseconds(5)) > 80).toEqual(true)
    expect(estimate.at(milliseconds(10_000)) < 12).toEqual(true)
  })
})
