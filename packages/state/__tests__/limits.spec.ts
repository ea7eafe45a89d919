import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { SeededRandom, logPosition, milliseconds } from '@nutmegcourse/shared'
import { CircuitBreaker } from '../src/circuitBreaker.js'
import { EntryHostCount, connectionShare } from '../src/connectionShare.js'
import { ProgressRate } from '../src/progressRate.js'
import { ReplicaShare } from '../src/replicaShare.js'
import { ReplicaWaits } from '../src/replicaWaits.js'
import { RetryBudget } from '../src/retryBudget.js'
import { ServiceEstimate } from '../src/serviceEstimate.js'

const QUESTION_CONNECTIONS = 1
const RESERVED = 3

describe('connectionShare', () => {
  const cases = [
    { limit: 25, hosts: 6, share: 2 },
    { limit: 25, hosts: 9, share: 1 },
    { limit: 35, hosts: 9, share: 2 },
    { limit: 35, hosts: 6, share: 3 },
    { limit: 25, hosts: 40, share: 1 },
  ]
  for (const { limit, hosts, share } of cases) {
    it(`divides ${limit} connections among ${hosts} entry hosts`, () => {
      expect(connectionShare(limit, RESERVED, hosts)).toEqual(share)
    })
  }

  it('never sums past the limit while there is room for two connections a host', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 5, max: 500 }),
        fc.integer({ min: 1, max: 200 }),
        (limit, hosts) => {
          fc.pre(limit - RESERVED >= (hosts + 1) * 2)
          const each = connectionShare(limit, RESERVED, hosts) + QUESTION_CONNECTIONS
          expect(each * (hosts + 1) + RESERVED <= limit).toEqual(true)
        },
      ),
    )
  })
})

const GROWTH_DELAY_MILLISECONDS = 1000
const MAX_NOTICE_DELAY_MILLISECONDS = 400

interface FleetChange {
  readonly joins: boolean
  readonly gap: number
}

/**
 * Simulates joins and leaves of hosts; returns the greatest sum of shares at times when every host
 * knows of all joins.
 */
function greatestSum(
  changes: readonly FleetChange[],
  lags: readonly number[],
  limit: number,
  growthDelay: number,
): number {
  const options = { minimumEntryHosts: 1, shareGrowthDelayMilliseconds: growthDelay }
  const hosts = lags
    .slice(0, 3)
    .map(lag => ({ lag, count: new EntryHostCount(options), until: Infinity }))
  for (const { count } of hosts) count.update(3, milliseconds(0))
  const changeNotices: { at: number; live: number; host: (typeof hosts)[number] }[] = []
  let [time, live, lastJoin, greatest] = [0, 3, -Infinity, 0]
  const runUntil = (until: number): void => {
    for (; time < until; time += 50) {
      for (const each of changeNotices)
        if (each.at === time) each.host.count.update(each.live, milliseconds(time))
      if (time < lastJoin + MAX_NOTICE_DELAY_MILLISECONDS) continue
      const now = milliseconds(time)
      const holding = hosts.filter(host => time < host.until)
      const shares = holding.map(({ count }) =>
        connectionShare(limit, RESERVED, count.divisor(now)),
      )
      greatest = Math.max(
        greatest,
        shares.reduce((sum, share) => sum + share + QUESTION_CONNECTIONS, 0),
      )
    }
  }
  for (const { joins, gap } of changes) {
    runUntil(time + gap)
    const leaver = hosts.find(host => host.until === Infinity)
    if (!joins && (live < 2 || leaver === undefined)) continue
    const draining = hosts.filter(host => host.until !== Infinity && time < host.until)
    // The reserved share covers only one host that is being replaced.
    if (joins && draining.length > 1) continue
    live += joins ? 1 : -1
    if (joins) {
      const joiner = {
        lag: lags[hosts.length % lags.length] ?? 0,
        count: new EntryHostCount(options),
        until: Infinity,
      }
      joiner.count.update(live, milliseconds(time))
      hosts.push(joiner)
      lastJoin = time
    } else if (leaver !== undefined) {
      // It drains: its connections close well after the others may learn that it left.
      leaver.until = time + GROWTH_DELAY_MILLISECONDS - MAX_NOTICE_DELAY_MILLISECONDS
    }
    for (const host of hosts) changeNotices.push({ at: time + host.lag, live, host })
  }
  runUntil(time + 3 * GROWTH_DELAY_MILLISECONDS)
  return greatest
}

describe('EntryHostCount', () => {
  const steps = (most: number) => fc.integer({ min: 0, max: most / 50 }).map(count => count * 50)
  const changes = fc.array(fc.record({ joins: fc.boolean(), gap: steps(1500) }), { maxLength: 8 })
  const lags = fc.array(steps(MAX_NOTICE_DELAY_MILLISECONDS - 50), { minLength: 11, maxLength: 11 })

  /**
   * A host leaves and drains for a while, and the others learn of it at different times. With
   * shares that grow at once, another host opens connections that the leaving host still holds;
   * connections are then refused with 53300, and callers of other hosts wait.
   */
  const fits = (growthDelay: number) =>
    fc.property(changes, lags, (given, hostLags) => {
      expect(greatestSum(given, hostLags, 60, growthDelay) <= 60 - RESERVED).toEqual(true)
    })

  it('keeps the sum of shares under the limit while hosts leave and once joins are known', () => {
    fc.assert(fits(GROWTH_DELAY_MILLISECONDS), { seed: 7, numRuns: 300 })
  })

  it('exceeds the limit without the growth delay', () => {
    expect(fc.check(fits(0), { seed: 7, numRuns: 3000 }).failed).toEqual(true)
  })

  it('shrinks at once and grows after the delay', () => {
    const hostCount = new EntryHostCount({
      minimumEntryHosts: 1,
      shareGrowthDelayMilliseconds: 1000,
    })
    hostCount.update(6, milliseconds(0))
    hostCount.update(9, milliseconds(100))
    expect(hostCount.divisor(milliseconds(100))).toEqual(9)
    hostCount.update(6, milliseconds(5000))
    expect(hostCount.divisor(milliseconds(5999))).toEqual(9)
    expect(hostCount.nextGrowthAt(milliseconds(5999))).toEqual(milliseconds(6000))
    expect(hostCount.divisor(milliseconds(6000))).toEqual(6)
  })
})

describe('ReplicaShare', () => {
  const shares = [0, 0.1, 1 / 3, 0.5, 0.9, 0.99, 1]
  for (const permitted of shares) {
    it(`is never above ${permitted.toFixed(2)} and within 2% of it`, () => {
      const share = new ReplicaShare()
      let replicaReads = 0
      for (let reads = 1; reads <= 1000; reads += 1) {
        if (share.takeTurn(permitted) === 'replica') replicaReads += 1
        expect(replicaReads <= reads * permitted + 1e-6).toEqual(true)
      }
      expect(replicaReads >= 1000 * permitted * 0.98).toEqual(true)
    })
  }

  it('makes up for at most twenty turns, however long no replica qualified', () => {
    const share = new ReplicaShare()
    for (let reads = 0; reads < 500; reads += 1) {
      if (share.takeTurn(0.5) === 'replica') share.refund()
    }
    const turns = Array.from({ length: 200 }, () => share.takeTurn(0.5))
    const replicaReads = turns.filter(turn => turn === 'replica').length
    expect(replicaReads >= 119 && replicaReads <= 120).toEqual(true)
  })

  it('never exceeds the permitted share over all reads, whichever turns replicas could not take', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 1, noNaN: true }),
        fc.array(fc.boolean()),
        (permitted, fits) => {
          const share = new ReplicaShare()
          let replicaReads = 0
          fits.forEach((isFit, index) => {
            if (share.takeTurn(permitted) === 'replica') {
              if (isFit) replicaReads += 1
              else share.refund()
            }
            expect(replicaReads <= (index + 1) * permitted + 1e-6).toEqual(true)
          })
        },
      ),
    )
  })
})

describe('ReplicaWaits', () => {
  it('stops waits after repeated failures, and lets one read try again later', () => {
    const waits = new ReplicaWaits()
    for (let count = 0; count < 3; count += 1) {
      expect(waits.mayStart(milliseconds(0))).toEqual(true)
      waits.recordFailure(milliseconds(0))
    }
    const tries = [500, 1000, 1001].map(time => waits.mayStart(milliseconds(time)))
    expect(tries).toEqual([false, true, false])
    waits.recordSuccess()
    expect(waits.mayStart(milliseconds(1002))).toEqual(true)
  })
})

describe('CircuitBreaker', () => {
  it('opens after three consecutive failures, probes once, and closes with the first success', () => {
    const breaker = new CircuitBreaker(new SeededRandom(1))
    const now = milliseconds(0)
    breaker.recordFailure(now)
    breaker.recordSuccess()
    expect([1, 2, 3].map(() => breaker.recordFailure(now))).toEqual([false, false, true])
    const first = Number(breaker.probeAt)
    expect(first >= 50 && first <= 150).toEqual(true)
    breaker.startProbe()
    expect(breaker.probeAt).toEqual(null)
    expect(breaker.recordFailure(now)).toEqual(false)
    expect(Number(breaker.probeAt) >= 100).toEqual(true)
    breaker.startProbe()
    expect(breaker.recordSuccess()).toEqual(true)
    expect(breaker.isClosed).toEqual(true)
  })
})

describe('RetryBudget', () => {
  it('limits a burst, and is refilled by successes and slowly over time', () => {
    const budget = new RetryBudget()
    const take = (time: number) => budget.take(milliseconds(time))
    expect(Array.from({ length: 11 }, () => take(0)).filter(Boolean).length).toEqual(10)
    for (let count = 0; count < 10; count += 1) budget.recordSuccess()
    expect([take(0), take(0), take(2000), take(2000)]).toEqual([true, false, true, false])
  })
})

describe('ServiceEstimate', () => {
  it('is 0 without samples, and decays after a slow period that ended with the traffic', () => {
    const estimate = new ServiceEstimate()
    expect(estimate.at(milliseconds(0))).toEqual(0)
    estimate.record(400, milliseconds(0))
    expect(estimate.at(milliseconds(4000))).toEqual(400)
    expect(estimate.at(milliseconds(60_000)) < 1).toEqual(true)
  })
})

describe('ProgressRate', () => {
  it('is measured within one term, over a long enough span', () => {
    const rate = new ProgressRate()
    rate.record(logPosition(1, 0), milliseconds(0))
    rate.record(logPosition(1, 50), milliseconds(100))
    expect(rate.recordsPerSecond).toEqual(null)
    rate.record(logPosition(1, 100), milliseconds(500))
    expect(rate.recordsPerSecond).toEqual(200)
    rate.record(logPosition(2, 101), milliseconds(900))
    expect(rate.recordsPerSecond).toEqual(null)
  })
})
