import { describe, it } from 'node:test'
import type { AddressInfo } from 'node:net'
import { expect } from 'earl'
import { customerName, digestOfKey, milliseconds } from '@nutmegcourse/shared'
import {
  readSlotStatus,
  type Customer,
  type CustomerSlotStatus,
  type SlotStatus,
} from '@nutmegcourse/protocol'
import { freePorts } from '@nutmegcourse/stand-ins'
import { HostMetrics, serveMetrics } from '../src/hostMetrics.js'
import { slotMetricLines } from '../src/slotMetrics.js'
import { slotStatusOf, type SlotStatusSources } from '../src/slotStatus.js'
import { CONFIGURATION, P, withHostFixture } from './support/hostFixture.js'

const NONE_REFUSED = { slots: 0, overdue: 0, limit: 0, limitUnknown: 0 }

const status = (given: Partial<SlotStatus> = {}): SlotStatus => ({
  entryHost: 'host-1',
  servers: [],
  customers: [],
  ...given,
})

const customerStatus = (given: Partial<CustomerSlotStatus>): CustomerSlotStatus => ({
  customer: 'alfa',
  slotShare: 0,
  waiting: 0,
  refusedPerSecond: NONE_REFUSED,
  limitUse: null,
  ...given,
})

describe('slotMetricLines', () => {
  const cases: readonly (readonly [string, SlotStatus, readonly string[]])[] = [
    [
      'a server with its classes',
      status({
        servers: [
          {
            service: 'db-1',
            server: 'i-p',
            isPrimary: true,
            dispatcher: 'host-2',
            slots: 5,
            limit: 6,
            inFlight: 4,
            openConnections: 40,
            classes: [{ priority: 2, waiting: 7, forecastMilliseconds: 120 }],
          },
        ],
      }),
      [
        'nutmegcourse_slots{service="db-1",server="i-p"} 5',
        'nutmegcourse_slot_limit{service="db-1",server="i-p"} 6',
        'nutmegcourse_slots_in_flight{service="db-1",server="i-p"} 4',
        'nutmegcourse_server_connections{service="db-1",server="i-p"} 40',
        'nutmegcourse_slot_waiting{service="db-1",server="i-p",priority="2"} 7',
        'nutmegcourse_slot_forecast_milliseconds{service="db-1",server="i-p",priority="2"} 120',
      ],
    ],
    [
      'a customer under a limit, whose name needs escaping',
      status({
        customers: [
          customerStatus({
            customer: 'a"\\\n',
            slotShare: 0.5,
            waiting: 3,
            refusedPerSecond: { ...NONE_REFUSED, limit: 2 },
            limitUse: { operationsPerSecond: 40, admittedPerSecond: 38 },
          }),
        ],
      }),
      [
        'nutmegcourse_customer_slot_share{customer="a\\"\\\\\\n"} 0.5',
        'nutmegcourse_customer_waiting{customer="a\\"\\\\\\n"} 3',
        'nutmegcourse_customer_refused_per_second{customer="a\\"\\\\\\n",cause="slots"} 0',
        'nutmegcourse_customer_refused_per_second{customer="a\\"\\\\\\n",cause="overdue"} 0',
        'nutmegcourse_customer_refused_per_second{customer="a\\"\\\\\\n",cause="limit"} 2',
        'nutmegcourse_customer_refused_per_second{customer="a\\"\\\\\\n",cause="limitUnknown"} 0',
        'nutmegcourse_customer_limit_per_second{customer="a\\"\\\\\\n"} 40',
        'nutmegcourse_customer_admitted_per_second{customer="a\\"\\\\\\n"} 38',
      ],
    ],
  ]
  for (const [name, given, lines] of cases) {
    it(`writes ${name}`, () => {
      expect(slotMetricLines(given)).toEqual([...lines])
    })
  }
})

describe('serveMetrics', () => {
  const slots = status({ customers: [customerStatus({})] })
  const cases: readonly (readonly [string, SlotStatus | null, boolean, boolean])[] = [
    ['/slots', slots, true, true],
    ['/slots?since=1', slots, true, true],
    ['/metrics', slots, false, true],
    ['/', slots, false, true],
    ['/slots', null, false, false],
    ['/metrics', null, false, false],
  ]
  for (const [path, given, isStatus, hasCustomers] of cases) {
    const scheduled = given === null ? 'not scheduled' : 'scheduled'
    it(`answers ${path} where slots are ${scheduled}`, async () => {
      const metrics = new HostMetrics()
      metrics.gauge('sessions', () => 3)
      const server = serveMetrics({ host: '127.0.0.1', port: 0 }, metrics, () => given)
      await new Promise(resolve => server.once('listening', resolve))
      const { port } = server.address() as AddressInfo
      const response = await fetch(`http://127.0.0.1:${String(port)}${path}`)
      const body = await response.text()
      server.close()
      if (isStatus) expect(JSON.parse(body)).toEqual(given)
      else expect(body.startsWith('nutmegcourse_sessions 3\n')).toEqual(true)
      expect(body.includes('alfa')).toEqual(hasCustomers)
    })
  }
})

/** One server at which customers have used slots for these times. */
function sourcesOf(used: Readonly<Record<string, number>>): SlotStatusSources {
  const none = { perSecond: () => new Map() }
  const gate = {
    usedMilliseconds: new Map(Object.entries(used)),
    waitingByCustomer: new Map(Object.keys(used).map(name => [name, 1])),
    waitingByClass: new Map(),
    refused: none,
    overdue: none,
  }
  const servers = [{ gate, pool: {}, entry: {} }]
  const limits = { admitted: none, reached: none, unknown: none }
  const sources = { entryHost: 'host-1', services: [{ servers }], limits }
  const lookups = { routesOf: () => [], dispatcherOf: () => null, limitOf: () => null }
  return { ...sources, ...lookups } as unknown as SlotStatusSources
}

describe('customers of a status', () => {
  const numbered = Object.fromEntries(
    Array.from({ length: 86 }, (_, index) => [`c-${String(index)}`, index + 1]),
  )
  // Guards against metrics with a label for each of any number of customers.
  it('tells the ten largest apart and sums the rest up', () => {
    const { customers } = slotStatusOf(sourcesOf(numbered), milliseconds(0))
    const names = Array.from({ length: 10 }, (_, index) => `c-${String(85 - index)}`)
    expect(customers.map(({ customer }) => customer)).toEqual([...names, 'others'])
    expect(customers.at(-1)?.waiting).toEqual(76)
    const total = customers.reduce((sum, { slotShare }) => sum + slotShare, 0)
    expect(Math.abs(total - 1) < 1e-9).toEqual(true)
  })

  it('has one line named others if a customer is named so', () => {
    const { customers } = slotStatusOf(sourcesOf({ others: 90, alfa: 10 }), milliseconds(0))
    expect(customers.map(({ customer, slotShare }) => [customer, slotShare])).toEqual([
      ['alfa', 0.1],
      ['others', 0.9],
    ])
  })
})

const LOWEST = { ...CONFIGURATION.routes[0], name: 'r-lowest', database: 'lowest', priority: 4 }
const ROUTES = [...CONFIGURATION.routes, LOWEST] as typeof CONFIGURATION.routes
const CALLERS = 60

const customer = (name: string, limit: Customer['limit']): Customer => ({
  name: customerName(name),
  keys: [digestOfKey(`key-of-${name}`)],
  priority: 0,
  limit,
})

describe('a host whose primary has too much to do', () => {
  const customers = [
    customer('alfa', null),
    customer('bravo', { operationsPerSecond: 0, burst: 0 }),
  ]

  it('shows queue, forecast, shares and refusals, and logs what decided', async () => {
    await withHostFixture(
      1,
      async (fixture, [host]) => {
        if (host === undefined) return
        fixture.configure({ version: 2, routes: ROUTES, customers })
        await fixture.until(() => host.host.find('lowest') !== null, 'the route is known')
        fixture.dialer.hooks.workMilliseconds = 40
        const limited = await fixture.caller(host, 'lowest', 'key-of-bravo')
        await limited.outcomeOf('write 1')
        const callers = await Promise.all(
          Array.from({ length: CALLERS }, () => fixture.caller(host, 'lowest', 'key-of-alfa')),
        )
        const served = callers.map(async caller => {
          for (let times = 0; times < 3; times += 1) await caller.outcomeOf('write 1')
        })
        const refusal = () => host.lines.find(({ event }) => event === 'slot_refused')?.fields
        await fixture.until(() => refusal() !== undefined, 'a statement was refused')
        await fixture.until(
          () => (host.host.slotStatus?.customers[0]?.slotShare ?? 0) > 0,
          'a statement was answered',
        )
        const seen = host.host.slotStatus
        await Promise.all(served)
        expect(readSlotStatus(JSON.parse(JSON.stringify(seen)))).toEqual(seen)
        const primary = seen?.servers.find(({ server }) => server === P)
        const [highest, lowest] = primary?.classes ?? []
        expect([primary?.isPrimary, primary?.slots, highest?.priority, lowest?.priority]).toEqual([
          true,
          3,
          1,
          4,
        ])
        expect((primary?.inFlight ?? 0) > 0 && (lowest?.waiting ?? 0) > 0).toEqual(true)
        expect(highest?.waiting).toEqual(0)
        const [alfa, bravo] = seen?.customers ?? []
        expect([alfa?.customer, alfa?.slotShare, alfa?.limitUse]).toEqual(['alfa', 1, null])
        expect((alfa?.refusedPerSecond.slots ?? 0) > 0).toEqual(true)
        expect([bravo?.customer, bravo?.limitUse?.operationsPerSecond]).toEqual(['bravo', 0])
        expect((bravo?.refusedPerSecond.limit ?? 0) > 0).toEqual(true)
        const { priority, decidedBy } = refusal() ?? {}
        expect([priority, typeof decidedBy]).toEqual([4, 'string'])
        const refused = host.lines.find(({ event }) => event === 'statement_refused')?.fields
        expect([refused?.priority, refused?.customer]).toEqual([4, customerName('alfa')])
        const reached = host.lines.find(({ event }) => event === 'limit_reached')?.fields
        expect([reached?.customer, reached?.priority, reached?.operationsPerSecond]).toEqual([
          customerName('bravo'),
          4,
          0,
        ])
        expect(typeof reached?.request).toEqual('string')
      },
      { customers, schedulesSlots: true, connectionLimit: 40 },
    )
  })

  // Guards against operators that find an empty queue at a host that is not the dispatcher, and look no further.
  it('names the dispatcher at every host, and tells its queue there', async () => {
    await withHostFixture(
      3,
      async (fixture, hosts) => {
        const dispatchers = () =>
          new Set(
            hosts.flatMap(({ host }) => host.slotStatus?.servers.map(each => each.dispatcher)),
          )
        const isAgreed = () => dispatchers().size === 1 && !dispatchers().has(null)
        await fixture.until(isAgreed, 'all hosts name one dispatcher')
        const [name] = dispatchers()
        const other = hosts.find(({ host }) => host.name !== name)
        if (other === undefined) throw new Error('every host is the dispatcher')
        const caller = await fixture.caller(other, 'latest', 'key-of-alfa')
        expect(await caller.outcomeOf('write 1')).toEqual('done')
        for (const { host } of hosts) {
          const shares = host.slotStatus?.customers.map(({ slotShare }) => slotShare)
          expect(shares).toEqual(host.name === name ? [1] : [])
        }
      },
      { customers, schedulesSlots: true, connectionLimit: 40, relayPorts: await freePorts(3) },
    )
  })

  it('shows and logs nothing of this where slots are not scheduled', async () => {
    await withHostFixture(
      1,
      async (fixture, [host]) => {
        if (host === undefined) return
        const caller = await fixture.caller(host, 'latest', 'key-of-bravo')
        await caller.outcomeOf('write 1')
        expect(host.host.slotStatus).toEqual(null)
      },
      { customers },
    )
  })
})
