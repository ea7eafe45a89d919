import { describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import {
  SeededRandom,
  VirtualClock,
  addMilliseconds,
  backendServerId,
  customerName,
  type CustomerName,
} from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink } from '@nutmegcourse/protocol'
import { SessionValues } from '@nutmegcourse/state'
import type { HostContext } from '../src/hostContext.js'
import type { PooledLink } from '../src/pooledLink.js'
import { ServerPool } from '../src/serverPool.js'
import { Withdrawal } from '../src/waiting.js'

const ADDRESS: BackendAddress = {
  service: 'db-1',
  server: backendServerId('i-p'),
  host: '127.0.0.1',
  port: 1,
}

const OPENING_MILLISECONDS = 15
const TICK_MILLISECONDS = 25
/** Of this limit one holder keeps 40 connections open. */
const CONNECTION_LIMIT = 73
/** Of this limit one holder keeps 2 connections open. */
const SMALL_CONNECTION_LIMIT = 4

const A = customerName('a')
const B = customerName('b')
const C = customerName('c')

/** A pool on a virtual clock whose connections open after a fixed time. */
class PoolBench {
  readonly clock = new VirtualClock()
  opened = 0
  /** The server accepts no further connection. */
  isFull = false
  readonly pool: ServerPool

  constructor(schedulesSlots: boolean, connectionLimit = CONNECTION_LIMIT) {
    const context = {
      clock: this.clock,
      ownStall: { totalMilliseconds: 0 },
      random: new SeededRandom(1),
      settings: { schedulesSlots, requiresKeys: true },
      log: { write: () => undefined },
      dialer: { open: () => this.#open() },
    } as unknown as HostContext
    this.pool = new ServerPool(context, ADDRESS, connectionLimit, () => ({
      kind: 'holder',
      hosts: 1,
    }))
  }

  /** Advances by one millisecond; promises settle meanwhile. */
  async advance(): Promise<void> {
    const now = this.clock.advance(1)
    mock.timers.tick(1)
    if (now % TICK_MILLISECONDS === 0) this.pool.tick(now, true)
    await new Promise(resolve => setImmediate(resolve))
  }

  async acquire(
    customer: CustomerName,
    timeoutMilliseconds = 800,
    withdrawal?: Withdrawal,
  ): Promise<PooledLink | null> {
    const acquired = await this.pool.acquire(new SessionValues(), {
      priority: 1,
      deadline: addMilliseconds(this.clock.now(), timeoutMilliseconds),
      maximumWaitMilliseconds: timeoutMilliseconds,
      use: { kind: 'customer', customer },
      withdrawal,
    })
    return 'link' in acquired ? acquired.link : null
  }

  /** Acquires a connection and releases it after the given time; whether there was one. */
  async use(customer: CustomerName, holdMilliseconds: number): Promise<boolean> {
    const link = await this.acquire(customer)
    if (link === null) return false
    setTimeout(() => {
      this.pool.release(link)
    }, holdMilliseconds)
    return true
  }

  /** Advances by the given time, within which the promise has to settle. */
  async settle<Value>(promise: Promise<Value>, milliseconds: number): Promise<Value> {
    let isSettled = false
    void promise.then(() => (isSettled = true))
    for (let count = 0; count < milliseconds; count += 1) await this.advance()
    expect(isSettled).toEqual(true)
    return promise
  }

  #open() {
    const link = {
      isOpen: true,
      lastReceivedAt: 0,
      close: () => undefined,
      onClosed: () => undefined,
    }
    const opened = new Promise(resolve => {
      setTimeout(() => {
        if (this.isFull) {
          resolve(err({ kind: 'rejected', refusal: 'tooManyConnections' }))
          return
        }
        this.opened += 1
        resolve(ok(undefined))
      }, OPENING_MILLISECONDS)
    })
    return { link: link as unknown as BackendLink, opened }
  }
}

async function withPool<Result>(
  schedulesSlots: boolean,
  scenario: (bench: PoolBench) => Promise<Result>,
  connectionLimit?: number,
): Promise<Result> {
  mock.timers.enable({ apis: ['setTimeout'] })
  try {
    return await scenario(new PoolBench(schedulesSlots, connectionLimit))
  } finally {
    mock.timers.reset()
  }
}

const CUSTOMERS = 86
const REQUESTS_PER_SECOND = 120
const LOAD_MILLISECONDS = 60_000
const WARM_UP_MILLISECONDS = 10_000
const BURST_AT_MILLISECONDS = 35_000
const BURST_REQUESTS = 30

const named = (rank: number): CustomerName => customerName(`c${String(rank)}`)

/** Picks customers in inverse proportion to a power of their rank: a few are large. */
function customerPicker(exponent: number, random: SeededRandom): () => CustomerName {
  const sizes = Array.from({ length: CUSTOMERS }, (_, index) => (index + 1) ** -exponent)
  const total = sizes.reduce((left, right) => left + right, 0)
  return () => {
    let left = random.next() * total
    return named(sizes.findIndex(size => (left -= size) < 0))
  }
}

/** Most requests are short; some hold their connection for a transaction with pauses. */
function pickHold(random: SeededRandom): number {
  const mean = random.next() < 0.1 ? 150 : 20
  return 1 + Math.round(-Math.log(1 - random.next()) * mean)
}

/** New connections a request after the warm-up; a request without a connection fails the test. */
async function newConnectionsPerRequest(
  schedulesSlots: boolean,
  exponent: number,
  seed: number,
): Promise<number> {
  const random = new SeededRandom(seed)
  const pickCustomer = customerPicker(exponent, random)
  return withPool(schedulesSlots, async bench => {
    let requests = 0
    let refused = 0
    let openedBefore = 0
    const request = async (customer: CustomerName): Promise<void> => {
      requests += 1
      if (!(await bench.use(customer, pickHold(random)))) refused += 1
    }
    while (bench.clock.now() < LOAD_MILLISECONDS) {
      await bench.advance()
      const now = bench.clock.now()
      if (now === WARM_UP_MILLISECONDS) {
        requests = 0
        openedBefore = bench.opened
      }
      if (random.next() < REQUESTS_PER_SECOND / 1000) void request(pickCustomer())
      if (now !== BURST_AT_MILLISECONDS) continue
      for (let count = 0; count < BURST_REQUESTS; count += 1) void request(named(CUSTOMERS - 1))
    }
    expect(refused).toEqual(0)
    return (bench.opened - openedBefore) / requests
  })
}

describe('a request that is withdrawn while it waits for a connection', () => {
  // Guards against an attempt that takes a connection when its statement was answered elsewhere.
  it('leaves the queue at once, and the next one gets the connection', async () => {
    await withPool(
      false,
      async bench => {
        const held = await bench.settle(bench.acquire(A), OPENING_MILLISECONDS + 1)
        await bench.settle(bench.acquire(A), OPENING_MILLISECONDS + 1)
        const withdrawal = new Withdrawal()
        const withdrawn = bench.acquire(A, 800, withdrawal)
        const next = bench.acquire(A)
        expect(bench.pool.waiting).toEqual(2)
        withdrawal.withdraw()
        expect([await withdrawn, bench.pool.waiting]).toEqual([null, 1])
        if (held === null) throw new Error('no connection')
        bench.pool.release(held)
        expect(await next).toEqual(held)
      },
      SMALL_CONNECTION_LIMIT,
    )
  })
})

describe('the connections of a pool with slots scheduled', () => {
  // Burst of a rare customer, and more customers than connections: closing the connection that was unused for longest
  // closes those of customers that ask regularly.
  for (const exponent of [1, 1.2, 1.4]) {
    for (const seed of [11, 12]) {
      const load = `86 customers of sizes 1 / rank^${String(exponent)}, seed ${String(seed)}`
      it(`are opened less often than by last use alone: ${load}`, async () => {
        const byLastUse = await newConnectionsPerRequest(false, exponent, seed)
        const byCost = await newConnectionsPerRequest(true, exponent, seed)
        expect(byCost < byLastUse).toEqual(true)
      })
    }
  }

  // Guards against opening a connection, which occupies a slot, while one of the same customer is about to be free.
  const overlaps: readonly (readonly [string, boolean, number, number])[] = [
    ['is not opened while one is about to be free', true, 10, 1],
    ['is opened while one stays in use for longer than opening takes', true, 400, 2],
    ['is opened at once where slots are not scheduled', false, 10, 2],
  ]
  for (const [name, schedulesSlots, holdMilliseconds, expected] of overlaps) {
    it(`a second one of a customer ${name}`, async () => {
      await withPool(schedulesSlots, async bench => {
        await bench.settle(bench.use(A, holdMilliseconds), 2 * holdMilliseconds + 100)
        const openedBefore = bench.opened
        const both = Promise.all([bench.use(A, holdMilliseconds), bench.use(A, holdMilliseconds)])
        expect(await bench.settle(both, 200)).toEqual([true, true])
        expect(1 + bench.opened - openedBefore).toEqual(expected)
      })
    })
  }

  // Starvation: the connection that was expected to be free is held on.
  it('are opened for a waiter that has waited for long, whatever was expected', async () => {
    await withPool(true, async bench => {
      await bench.settle(bench.use(A, 10), 100)
      const held = await bench.settle(bench.acquire(A), 1)
      const second = await bench.settle(bench.acquire(A), 100)
      expect([held !== null, second !== null]).toEqual([true, true])
    })
  })

  // Hot customer: it must not close the connections of customers that keep to their share, and those go on to be used
  // by their own customer while the hot one waits.
  it('are not closed for a customer over its share while theirs is under its own', async () => {
    await withPool(
      true,
      async bench => {
        bench.pool.relativeShare = customer => (customer === A ? 3 : 0.5)
        for (const customer of [B, C]) await bench.settle(bench.use(customer, 5), 50)
        const refused = bench.acquire(A, 200)
        expect(await bench.settle(bench.use(B, 5), 100)).toEqual(true)
        expect(await bench.settle(refused, 300)).toEqual(null)
        bench.pool.relativeShare = null
        expect(await bench.settle(bench.use(A, 5), 100)).toEqual(true)
      },
      SMALL_CONNECTION_LIMIT,
    )
  })

  // Full server: a starved waiter of another customer, for which none can be opened, must not keep the released
  // connection from the waiter that can use it.
  it('are used by their own customer while none can be opened for another', async () => {
    await withPool(true, async bench => {
      const held = await bench.settle(bench.acquire(A), 100)
      if (held === null) throw new Error('no connection')
      bench.isFull = true
      const starved = bench.acquire(B, 400)
      const own = bench.acquire(A, 400)
      for (let count = 0; count < 120; count += 1) await bench.advance()
      bench.pool.release(held)
      const next = await bench.settle(own, 500)
      expect(next).toEqual(held)
      expect(await starved).toEqual(null)
    })
  })
})
