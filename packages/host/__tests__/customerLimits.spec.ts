import { afterEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { CustomerLimits } from '../src/customerLimits.js'
import {
  CUSTOMER,
  LimitHolders,
  TOLERANCE,
  sendOperations,
  type Served,
} from './support/limitHolders.js'

const LIMIT = { operationsPerSecond: 50, burst: 50 }

const admitted = ({ admissions }: Served): number =>
  admissions.filter(({ kind }) => kind === 'admitted').length

const countOf = ({ events }: LimitHolders, event: string): number =>
  events.filter(each => each === event).length

/** The highest number of operations admitted within any window. */
const mostInWindow = (times: readonly number[]): number =>
  Math.max(
    ...times.map(
      start => times.filter(at => at >= start && at <= start + TOLERANCE.windowMilliseconds).length,
    ),
  )

describe('the limit of a customer', () => {
  afterEach(() => {
    mock.restoreAll()
  })

  it('steady customer asks seldom: under 0.3 calls to holders for an operation', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    const served = await sendOperations(holders, [holders.host('a')], {
      perSecond: 20,
      seconds: 20,
    })
    expect(admitted(served)).toEqual(400)
    expect(holders.calls / 400 < 0.3).toEqual(true)
  })

  // Guards against a host that asks silent holders one after the other, while operations wait.
  it('two of five holders are silent: a customer within its limit is served without delay', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    holders.silent.add('h1').add('h2')
    const served = await sendOperations(holders, [holders.host('a')], {
      perSecond: 10,
      seconds: 20,
    })
    expect(admitted(served)).toEqual(200)
    expect(Math.max(...served.waits) <= 150).toEqual(true)
    expect(served.waits.filter(wait => wait >= 60).length <= 2).toEqual(true)
  })

  const hosts = (holders: LimitHolders, count: number): CustomerLimits[] =>
    Array.from({ length: count }, (_, index) => holders.host(`host-${String(index)}`))

  // Guards against refusals that say nothing about the customer: they make its callers believe that it is over its limit.
  it('two of five holders are silent: a hot customer is refused as over its limit', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    holders.silent.add('h2').add('h4')
    const served = await sendOperations(holders, hosts(holders, 5), { perSecond: 500, seconds: 10 })
    const unknown = countOf(holders, 'limit_unknown')
    const refused = unknown + countOf(holders, 'limit_reached')
    expect(refused > 3000).toEqual(true)
    expect(unknown / refused < 0.01).toEqual(true)
    expect(admitted(served) >= LIMIT.operationsPerSecond * 10 * (3 / 5) * 0.95).toEqual(true)
  })

  it('hot customer: no window holds more than its limit and the tolerance, with holders that restart', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    const served = sendOperations(holders, hosts(holders, 10), { perSecond: 200, seconds: 16 })
    for (const holder of ['h1', 'h2', 'h3', 'h4', 'h5']) {
      setTimeout(() => {
        holders.restart(holder)
      }, 4000)
    }
    const { admittedAt } = await served
    const window = (LIMIT.operationsPerSecond * TOLERANCE.windowMilliseconds) / 1000
    const maximum = (window + LIMIT.burst) * (1 + TOLERANCE.overage) + TOLERANCE.slack
    const most = mostInWindow(admittedAt)
    expect([most <= maximum, most >= window]).toEqual([true, true])
  })

  // Guards against tokens that their holder does not count as handed ahead, while hosts are replaced by a newer version.
  it('is granted operation by operation by holders of an older version', async () => {
    const holders = new LimitHolders(LIMIT)
    holders.areOlder = true
    await holders.pass(5000)
    const served = await sendOperations(holders, [holders.host('a')], { perSecond: 20, seconds: 5 })
    expect([admitted(served), served.waits.includes(0)]).toEqual([100, false])
  })

  // Guards against operations for which two late holders are asked, and which use up a token of each.
  for (const late of [2, 4, 5]) {
    it(`a customer within its limit is served while ${String(late)} holders answer late`, async () => {
      const holders = new LimitHolders(LIMIT)
      await holders.pass(5000)
      for (let each = 1; each <= late; each += 1) {
        holders.lateMilliseconds.set(`h${String(each)}`, 80)
      }
      const served = await sendOperations(holders, hosts(holders, 5), {
        perSecond: 45,
        seconds: 10,
      })
      expect(admitted(served) >= 450 * 0.95).toEqual(true)
      expect(Math.max(...served.waits) <= 500).toEqual(true)
    })
  }

  // Guards against tokens that are granted to operations which have already been refused.
  it('hot customer: is served all parts of its limit while two holders answer late', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    holders.lateMilliseconds.set('h4', 80).set('h5', 80)
    const served = await sendOperations(holders, hosts(holders, 5), { perSecond: 200, seconds: 10 })
    expect(admitted(served) >= LIMIT.operationsPerSecond * 10 * 0.95).toEqual(true)
  })

  it('is not reached when one of its parts is exhausted', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    const first = await sendOperations(holders, [holders.host('a')], { perSecond: 50, seconds: 1 })
    expect([admitted(first), holders.events]).toEqual([50, []])
  })

  for (const [name, lose] of [
    ['are known to be down', (holders: LimitHolders, holder: string) => holders.down.add(holder)],
    ['do not answer', (holders: LimitHolders, holder: string) => holders.silent.add(holder)],
  ] as const) {
    // Nothing may be granted without a part: other hosts may still reach the holders.
    it(`no operation is granted, and none waits long, when all holders ${name}`, async () => {
      const holders = new LimitHolders(LIMIT)
      for (const holder of ['h1', 'h2', 'h3', 'h4', 'h5']) lose(holders, holder)
      const served = await sendOperations(holders, [holders.host('a')], {
        perSecond: 50,
        seconds: 4,
      })
      expect([admitted(served), countOf(holders, 'limit_unknown')]).toEqual([0, 200])
      const delays = served.admissions.map(each =>
        each.kind === 'overLimit' ? each.waitMilliseconds : 0,
      )
      expect(new Set(delays)).toEqual(new Set([500]))
      expect(Math.max(...served.waits) <= 500).toEqual(true)
    })
  }

  it('of 0 grants nothing, asks nobody and gives a bounded retry delay', async () => {
    const holders = new LimitHolders({ operationsPerSecond: 0, burst: 100 })
    const admission = await holders.host('a').admit(CUSTOMER)
    expect(admission).toEqual({ kind: 'overLimit', waitMilliseconds: 5000 })
    expect([holders.calls, holders.events]).toEqual([0, ['limit_reached']])
  })

  it('with a burst of 0 grants its rate', async () => {
    const holders = new LimitHolders({ operationsPerSecond: 10, burst: 0 })
    await holders.pass(5000)
    const served = await sendOperations(holders, [holders.host('a')], {
      perSecond: 10,
      seconds: 10,
    })
    expect(admitted(served)).toEqual(100)
  })

  // Guards against tokens of the higher limit that remain in use.
  it('that is lowered holds a second later', async () => {
    const holders = new LimitHolders({ operationsPerSecond: 200, burst: 200 })
    const host = holders.host('a')
    await sendOperations(holders, [host], { perSecond: 100, seconds: 5 })
    holders.limit = { operationsPerSecond: 1, burst: 1 }
    await sendOperations(holders, [host], { perSecond: 100, seconds: 1 })
    const served = await sendOperations(holders, [host], { perSecond: 100, seconds: 5 })
    expect(admitted(served) <= (5 + 1) * 1.1 + 20).toEqual(true)
  })

  it('that is raised from 0 grants operations at once', async () => {
    const holders = new LimitHolders(LIMIT)
    const host = holders.host('a')
    await sendOperations(holders, [host], { perSecond: 500, seconds: 1 })
    holders.limit = { operationsPerSecond: 0, burst: 0 }
    await sendOperations(holders, [host], { perSecond: 50, seconds: 2 })
    holders.limit = LIMIT
    const served = await sendOperations(holders, [host], { perSecond: 1, seconds: 1 })
    expect(admitted(served)).toEqual(1)
  })

  // Guards against a host that believes for as long as a holder said under the old limit that its part is exhausted.
  it('that is raised grants operations soon after the last holder learns of it', async () => {
    const low = { operationsPerSecond: 0.1, burst: 0 }
    const holders = new LimitHolders(low)
    const host = holders.host('a')
    await sendOperations(holders, [host], { perSecond: 50, seconds: 1 })
    holders.olderLimit = low
    holders.limit = LIMIT
    await sendOperations(holders, [host], { perSecond: 50, seconds: 1 })
    holders.olderLimit = null
    // The parts are empty when they are first asked under the new limit.
    await sendOperations(holders, [host], { perSecond: 10, seconds: 1 })
    const served = await sendOperations(holders, [host], { perSecond: 10, seconds: 2 })
    expect(admitted(served)).toEqual(20)
  })

  it('is still kept for a customer that vanished and came back', async () => {
    const holders = new LimitHolders(LIMIT)
    await holders.pass(5000)
    const host = holders.host('a')
    const before = await sendOperations(holders, [host], { perSecond: 500, seconds: 1 })
    holders.limit = null
    await holders.pass(500)
    holders.limit = LIMIT
    const after = await sendOperations(holders, [host], { perSecond: 500, seconds: 1 })
    const maximum = (5 * 50 + LIMIT.burst) * (1 + TOLERANCE.overage) + TOLERANCE.slack
    expect(admitted(before) + admitted(after) <= maximum).toEqual(true)
  })
})
