import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { customerName, milliseconds, type CustomerName } from '@nutmegcourse/shared'
import { ConnectionRetention, type ClosingTerms, type RetainedConnection } from '../../src/index.js'

const A = customerName('a')
const B = customerName('b')
const C = customerName('c')

const OPENING_MILLISECONDS = 15

const terms = (given: Partial<ClosingTerms> = {}): ClosingTerms => ({
  now: milliseconds(10_000),
  openingMilliseconds: OPENING_MILLISECONDS,
  held: () => 1,
  requester: null,
  relativeShare: null,
  ...given,
})

const connection = (customer: CustomerName | null, usedAt = 0): RetainedConnection => ({
  customer,
  usedAt: milliseconds(usedAt),
})

/** Records requests at a steady interval until 10 s, each finding the same number of connections in use. */
function requestSteadily(
  retention: ConnectionRetention,
  customer: CustomerName,
  intervalMilliseconds: number,
  inUse = 0,
): void {
  for (let at = 0; at <= 10_000; at += intervalMilliseconds) {
    retention.recordRequest(customer, inUse, milliseconds(at))
  }
}

describe('ConnectionRetention', () => {
  const choices: readonly (readonly [
    string,
    readonly (readonly [CustomerName | null, number])[],
    Partial<ClosingTerms>,
    CustomerName | null,
  ])[] = [
    [
      'nobody’s connection',
      [
        [A, 0],
        [null, 9],
        [B, 0],
      ],
      {},
      null,
    ],
    [
      'that of the customer which asks less often, though used last',
      [
        [A, 1],
        [B, 9],
      ],
      {},
      B,
    ],
    [
      'that of a customer which never asked',
      [
        [A, 1],
        [B, 2],
        [C, 9],
      ],
      {},
      C,
    ],
    [
      'one of many that are seldom in use at once',
      [
        [A, 9],
        [B, 1],
      ],
      { held: each => (each === A ? 8 : 1) },
      A,
    ],
  ]
  for (const [name, idle, given, closed] of choices) {
    it(`closes ${name}`, () => {
      const retention = new ConnectionRetention()
      requestSteadily(retention, A, 100)
      requestSteadily(retention, B, 1000)
      const connections = idle.map(([customer, usedAt]) => connection(customer, usedAt))
      const best = retention.cheapest(connections, terms(given))
      expect(best?.customer).toEqual(closed)
    })
  }

  it('keeps as many connections of a customer as it has in use at once', () => {
    const retention = new ConnectionRetention()
    requestSteadily(retention, A, 100, 3)
    requestSteadily(retention, B, 100, 0)
    const best = retention.cheapest([connection(A), connection(B)], terms({ held: () => 3 }))
    expect(best?.customer).toEqual(B)
  })

  // Burst of a rare customer: its many recent requests must not outweigh for long those of customers that ask regularly.
  it('forgets a burst while regular requests go on', () => {
    const retention = new ConnectionRetention()
    for (let count = 0; count < 30; count += 1) retention.recordRequest(C, 0, milliseconds(0))
    for (let at = 0; at <= 60_000; at += 1000) retention.recordRequest(A, 0, milliseconds(at))
    const best = retention.cheapest(
      [connection(A), connection(C)],
      terms({ now: milliseconds(60_000) }),
    )
    expect(best?.customer).toEqual(C)
  })

  it('closes the least recently used of connections that cost the same', () => {
    const retention = new ConnectionRetention()
    requestSteadily(retention, A, 100)
    const best = retention.cheapest([connection(A, 7), connection(A, 3), connection(A, 5)], terms())
    expect(best?.usedAt).toEqual(milliseconds(3))
  })

  it('costs the rate of requests times the time to open a connection', () => {
    const retention = new ConnectionRetention()
    for (let at = 0; at <= 200_000; at += 100) retention.recordRequest(A, 0, milliseconds(at))
    const cost = retention.closingCost(A, 1, OPENING_MILLISECONDS, milliseconds(200_000))
    expect(Math.abs(cost - OPENING_MILLISECONDS / 100) < 0.01).toEqual(true)
  })

  // A customer at many times its usual load must not take the connections of those that keep to their share.
  it('never proposes a connection of a customer under its share to one over its own', () => {
    const share = fc.double({ min: 0, max: 4, noNaN: true })
    const idle = fc.array(fc.nat({ max: 5 }), { minLength: 1, maxLength: 12 })
    fc.assert(
      fc.property(fc.array(share, { minLength: 7, maxLength: 7 }), idle, (shares, owners) => {
        const retention = new ConnectionRetention()
        const customers = shares.map((_, index) => customerName(String(index)))
        for (const [index, each] of customers.entries()) {
          requestSteadily(retention, each, 500 * (index + 1))
        }
        const relativeShare = (customer: CustomerName): number => shares[Number(customer)] ?? 0
        const requester = customers[6] ?? null
        const connections = owners.map(owner => connection(customers[owner] ?? null))
        const best = retention.cheapest(connections, terms({ requester, relativeShare }))
        if (best?.customer == null || requester === null) return
        expect(relativeShare(requester) > 1 && relativeShare(best.customer) < 1).toEqual(false)
      }),
    )
  })

  // A customer that is gone uses nothing and is under its share forever; its connections must not stay open for it.
  it('lets a customer over its share take the place of one that no longer asks', () => {
    const retention = new ConnectionRetention()
    retention.recordRequest(B, 0, milliseconds(0))
    const now = milliseconds(300_000)
    const given = { now, requester: A, relativeShare: (each: CustomerName) => (each === A ? 3 : 0) }
    expect(retention.cheapest([connection(B)], terms(given))?.customer).toEqual(B)
  })

  it('remembers at most 10,000 customers, and none that is idle', () => {
    const retention = new ConnectionRetention()
    for (let index = 0; index < 12_000; index += 1) {
      retention.recordRequest(customerName(`c${String(index)}`), 0, milliseconds(index))
    }
    expect(retention.size).toEqual(10_000)
    expect(retention.closingCost(customerName('c0'), 1, 1, milliseconds(12_000))).toEqual(0)
    retention.recordRequest(A, 0, milliseconds(500_000))
    expect(retention.size).toEqual(1)
  })
})
