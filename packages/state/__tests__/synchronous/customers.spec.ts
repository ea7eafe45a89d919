import { describe, it } from 'node:test'
import { expect } from 'earl'
import { customerName, digestOfKey, milliseconds, type CustomerName } from '@nutmegcourse/shared'
import type { Customer } from '@nutmegcourse/protocol'
import {
  CustomerDirectory,
  IdleConnections,
  connectionDivisor,
  poolLimits,
  type IdleConnection,
  type ServerHolders,
} from '../../src/index.js'

const customer = (name: string, ...keys: string[]): Customer => ({
  name: customerName(name),
  keys: keys.map(digestOfKey),
  priority: 0,
  limit: null,
})

describe('CustomerDirectory', () => {
  const cases: readonly (readonly [string, readonly Customer[], string, string | null])[] = [
    ['there are no customers', [], 'k1', null],
    ['a key of the only customer', [customer('a', 'k1')], 'k1', 'a'],
    ['a second key', [customer('a', 'k1', 'k2')], 'k2', 'a'],
    ['a key of no customer', [customer('a', 'k1')], 'k9', null],
    ['an empty key', [customer('a', 'k1')], '', null],
    ['a customer without keys', [customer('a'), customer('b', 'k1')], 'k1', 'b'],
    ['one key of two customers', [customer('a', 'k1'), customer('b', 'k1')], 'k1', 'a'],
    [
      'a customer that was removed and created again',
      [customer('b', 'k2'), customer('a', 'k3')],
      'k3',
      'a',
    ],
  ]
  for (const [name, customers, key, holder] of cases) {
    it(`finds the customer of a key: ${name}`, () => {
      const found = new CustomerDirectory(customers).customerOf(digestOfKey(key))
      expect(found).toEqual(holder === null ? null : customerName(holder))
    })
  }

  it('finds each of 10,000 customers', () => {
    const count = 10_000
    const customers = Array.from({ length: count }, (_, index) =>
      customer(`c${String(index)}`, `k${String(index)}`),
    )
    const directory = new CustomerDirectory(customers)
    for (const index of [0, 1, 4999, count - 1]) {
      const holder = directory.customerOf(digestOfKey(`k${String(index)}`))
      expect(holder).toEqual(customerName(`c${String(index)}`))
    }
  })
})

interface Connection extends IdleConnection {
  readonly name: string
}

function connections(...given: readonly (readonly [string, string | null, number])[]) {
  const idle = new IdleConnections<Connection>()
  for (const [name, owner, usedAt] of given) {
    idle.add({
      name,
      customer: owner === null ? null : customerName(owner),
      idleSince: milliseconds(0),
      usedAt: milliseconds(usedAt),
    })
  }
  return idle
}

const A: CustomerName = customerName('a')

describe('IdleConnections', () => {
  it('gives a customer no connection but its own', () => {
    const idle = connections(['of b', 'b', 1], ['unassigned', null, 2])
    expect(idle.take(A, () => 0)).toEqual(null)
    expect(idle.has(A)).toEqual(false)
    expect(idle.size).toEqual(2)
  })

  it('prefers the connection with the smallest distance, then the most recently returned', () => {
    const idle = connections(['far', 'a', 1], ['first', 'a', 2], ['last', 'a', 3])
    const taken = idle.take(A, ({ name }) => (name === 'far' ? 2 : 1))
    expect(taken?.name).toEqual('last')
  })

  const replacements: readonly (readonly [
    string,
    readonly (readonly [string, string | null, number])[],
    string | null,
  ])[] = [
    ['none if nothing is idle', [], null],
    ['none if only its own are idle', [['own', 'a', 1]], null],
    [
      'first one that is assigned to no customer',
      [
        ['old', 'b', 1],
        ['unassigned', null, 9],
      ],
      'unassigned',
    ],
    [
      'then the least recently used, whatever its position in the list',
      [
        ['busy', 'b', 9],
        ['old', 'c', 2],
        ['newer', 'd', 5],
      ],
      'old',
    ],
  ]
  for (const [name, given, replaced] of replacements) {
    it(`chooses the connection to close: ${name}`, () => {
      expect(connections(...given).evictionCandidateFor(A)?.name ?? null).toEqual(replaced)
    })
  }

  it('gives the host’s own queries any connection, first those assigned to no customer', () => {
    const idle = connections(['unassigned', null, 1], ['of b', 'b', 2])
    expect(idle.takeAny()?.name).toEqual('unassigned')
    expect(idle.takeAny()?.name).toEqual('of b')
    expect(idle.takeAny()).toEqual(null)
  })
})

describe('holdersOfServer', () => {
  const cases: readonly (readonly [string, ServerHolders, number])[] = [
    [
      'divides the connections of a primary evenly',
      { nearServer: 2, farFromServer: 4, isNear: false, isPrimary: true },
      6,
    ],
    [
      'counts a far holder of a replica as 0.2 of a near one',
      { nearServer: 3, farFromServer: 3, isNear: true, isPrimary: false },
      3.6,
    ],
    [
      'gives a far holder of a replica 0.2 of the part of a near one',
      { nearServer: 3, farFromServer: 3, isNear: false, isPrimary: false },
      18,
    ],
    [
      'divides the connections of a replica evenly if no holder is near it',
      { nearServer: 0, farFromServer: 6, isNear: false, isPrimary: false },
      6,
    ],
  ]
  for (const [name, holders, divisor] of cases) {
    it(name, () => {
      expect(Math.abs(connectionDivisor(holders) - divisor) < 1e-9).toEqual(true)
    })
  }

  // Each host computes its own part; if the sum exceeded the limit, the server would reject connections.
  it('gives all holders together no more than the limit', () => {
    for (const limit of [22, 41, 74, 108]) {
      for (const [near, far] of [
        [1, 2],
        [3, 3],
        [4, 2],
        [0, 6],
      ] as const) {
        const burst = (isNear: boolean): number => {
          const holders = { nearServer: near, farFromServer: far, isNear, isPrimary: false }
          return poolLimits(limit, connectionDivisor(holders), true).burst
        }
        expect(near * burst(true) + far * burst(false) <= limit).toEqual(true)
      }
    }
  })
})
