import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom, milliseconds } from '@nutmegcourse/shared'
import { AHEAD_MILLISECONDS, GrantReserve } from '../../src/index.js'

const ROUND_TRIP_MILLISECONDS = 50
const SECONDS = 120

interface Usage {
  readonly operations: number
  /** Requests to holders: for one operation, or for tokens ahead. */
  readonly calls: number
  readonly handedAhead: number
  readonly usedAhead: number
}

/** One host whose requests for tokens are always granted in full. `rate` gives the operations a second at a time. */
function useReserve(rate: (second: number) => number, seed: number): Usage {
  const reserve = new GrantReserve()
  const random = new SeededRandom(seed)
  const usage = { operations: 0, calls: 0, handedAhead: 0, usedAhead: 0 }
  let request: { readonly count: number; readonly sentAt: number } | null = null
  for (let at = 0; at < SECONDS * 1000; at += 1) {
    const now = milliseconds(at)
    if (request !== null && at >= request.sentAt + ROUND_TRIP_MILLISECONDS) {
      reserve.receive(request.count, milliseconds(request.sentAt), now)
      request = null
    }
    if (random.next() >= rate(Math.floor(at / 1000)) / 1000) continue
    usage.operations += 1
    if (reserve.take(now)) usage.usedAhead += 1
    else usage.calls += 1
    reserve.recordUse(now)
    const count = reserve.request(now)
    if (count === 0) continue
    usage.calls += 1
    usage.handedAhead += count
    request = { count, sentAt: at }
  }
  return usage
}

describe('tokens handed ahead', () => {
  it('steady customer asks seldom', () => {
    const { operations, calls } = useReserve(() => 20, 1)
    expect(calls / operations < 0.3).toEqual(true)
  })

  const losses: readonly (readonly [string, (second: number) => number])[] = [
    ['steady customer', () => 20],
    ['customer near the least steady use', () => 6],
    ['customer of few operations', () => 1],
    ['callers that leave the host every ten seconds', second => (second % 20 < 10 ? 20 : 0)],
    ['use that halves and doubles', second => (second % 10 < 5 ? 40 : 20)],
  ]
  for (const [name, rate] of losses) {
    // A token that expires unused is an operation that the customer was entitled to and that no host ran.
    it(`${name} loses few of them`, () => {
      const { operations, handedAhead, usedAhead } = useReserve(rate, 2)
      expect((handedAhead - usedAhead) / operations < 0.05).toEqual(true)
    })
  }

  it('are not requested by a host that uses the customer seldom', () => {
    expect(useReserve(() => 0.1, 3).handedAhead).toEqual(0)
  })

  // Guards against tokens that are used in a window in which the holder no longer counts them.
  it('expire a second after they were requested, however late the answer arrives', () => {
    const reserve = new GrantReserve()
    reserve.receive(2, milliseconds(0), milliseconds(400))
    expect(reserve.take(milliseconds(AHEAD_MILLISECONDS - 1))).toEqual(true)
    expect(reserve.take(milliseconds(AHEAD_MILLISECONDS))).toEqual(false)
  })

  // Guards against a call for each operation while the parts have nothing to hand ahead.
  it('are not requested again at once after a request gained none', () => {
    const reserve = new GrantReserve()
    let requests = 0
    for (let at = 0; at < 5000; at += 10) {
      const now = milliseconds(at)
      reserve.recordUse(now)
      if (reserve.request(now) === 0) continue
      requests += 1
      reserve.receive(0, now, now)
    }
    expect(requests > 0 && requests <= 20).toEqual(true)
  })

  it('leave nothing to remember once the customer is no longer used', () => {
    const reserve = new GrantReserve()
    reserve.recordUse(milliseconds(0))
    reserve.receive(3, milliseconds(0), milliseconds(10))
    expect(reserve.isIdle(milliseconds(100))).toEqual(false)
    expect(reserve.isIdle(milliseconds(2000))).toEqual(true)
  })
})
