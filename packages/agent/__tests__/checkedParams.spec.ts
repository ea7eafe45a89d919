import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  SeededRandom,
  SystemClock,
  availabilityZoneId,
  entryHostId,
  incarnation,
  regionId,
} from '@nutmegcourse/shared'
import { listen, openJsonRpc, type JsonRpcConnection } from '@nutmegcourse/transport'
import { EventLog } from '../src/eventLog.js'
import { FleetTask } from '../src/fleetTask.js'
import { ProxyServer } from '../src/proxyServer.js'
import { toolHandlers } from '../src/toolHandlers.js'

const LOOPBACK = '127.0.0.1'
const LIMIT_MILLISECONDS = 1000
/** By JSON-RPC 2.0. */
const INVALID_PARAMS = -32602
const SELF = entryHostId('host-1')

const PLACE = { zone: 'tanger-nord', region: 'tanger' }
const HELLO = { entryHost: 'host-2', ...PLACE, incarnation: 1 }
const OPINION = {
  database: 'd',
  watcher: 'host-2',
  ...PLACE,
  about: 'i-a',
  term: 1,
  suspected: true,
  sequence: 1,
}
const HELD = { database: 'd', attempt: 'a' }
const MEMBER = {
  entryHost: 'host-3',
  ...PLACE,
  address: LOOPBACK,
  port: 1,
  incarnation: 1,
  status: 'alive',
}

interface Received {
  /** What the agent adopted or passed on. */
  readonly taken: string[]
  readonly unreadable: string[]
}

/** An agent's endpoints for other agents, tools and proxies. */
async function withAgent(
  use: (
    connections: { readonly peer: JsonRpcConnection; readonly proxy: JsonRpcConnection },
    received: Received,
  ) => Promise<void>,
): Promise<void> {
  const received: Received = { taken: [], unreadable: [] }
  const unreadable = (method: string, detail: string): void => {
    received.unreadable.push(`${method}: ${detail}`)
  }
  const proxies = new ProxyServer({
    reported: ({ health }) => received.taken.push(health),
    heldWritesChanged: database => {
      if (database !== null) received.taken.push(database)
    },
    unreadable,
  })
  const fleet: FleetTask = new FleetTask({
    self: {
      entryHost: SELF,
      zone: availabilityZoneId(PLACE.zone),
      region: regionId(PLACE.region),
      address: LOOPBACK,
      port: 1,
      incarnation: incarnation(1),
      status: 'alive',
    },
    clock: new SystemClock(),
    random: new SeededRandom(1),
    heartbeatIntervalMilliseconds: 60_000,
    toolHandlers: toolHandlers({
      status: () => ({ groups: [] }) as never,
      usage: () => ({}) as never,
      events: new EventLog(SELF),
      fleet: () => fleet,
      clock: new SystemClock(),
      proxies,
      entryHost: SELF,
      unreadable,
    }),
    listener: {
      itemChanged: item => received.taken.push(item.kind),
      membershipChanged: () => undefined,
      confirmationChanged: () => undefined,
      opinionReceived: ({ watcher }) => received.taken.push(watcher),
      heldWritesReceived: ({ host }) => received.taken.push(host),
      heldWritesLost: () => undefined,
      unreadable,
      repairTargets: () => Promise.resolve(),
    },
  })
  const { server, port } = await listen(LOOPBACK, 0, socket => {
    fleet.network.accept(socket)
  })
  const proxyPort = await proxies.start(LOOPBACK, 0)
  const opened = await Promise.all(
    [port, proxyPort].map(each => openJsonRpc(LOOPBACK, each, {}, LIMIT_MILLISECONDS)),
  )
  const [peer, proxy] = opened.map(each => each._unsafeUnwrap())
  try {
    if (peer !== undefined && proxy !== undefined) await use({ peer, proxy }, received)
  } finally {
    peer?.close()
    proxy?.close()
    fleet.close()
    proxies.close()
    server.close()
  }
}

/** The method, its params, and the field and the value that the answer names. */
const BROKEN: readonly (readonly [string, unknown, string])[] = [
  ['peer.hello', null, 'params: null'],
  ['peer.hello', { ...HELLO, entryHost: 7 }, 'entryHost: 7'],
  ['peer.hello', { ...HELLO, entryHost: '' }, 'entryHost: ""'],
  ['peer.hello', { ...HELLO, incarnation: '1' }, 'incarnation: "1"'],
  ['peer.ping', {}, 'root: missing'],
  ['peer.ping', [1], 'params: [1]'],
  ['peer.news', { items: 'all' }, 'items: "all"'],
  ['peer.compare', { buckets: [1, 'b'] }, 'buckets.1: "b"'],
  ['peer.compare', {}, 'buckets: missing'],
  ['peer.fetch', { keys: [null] }, 'keys.0: null'],
  ['peer.fetch', { keys: 7 }, 'keys: 7'],
  ['peer.probe', { subject: ['host-3'] }, 'subject: ["host-3"]'],
  ['peer.opinion', { ...OPINION, suspected: 'yes' }, 'suspected: "yes"'],
  ['peer.opinion', { ...OPINION, term: -1 }, 'term: -1'],
  ['peer.opinion', { ...OPINION, database: undefined }, 'database: missing'],
  ['peer.writesHeld', HELD, 'host: missing'],
  ['peer.writesHeld', { ...HELD, host: 'host-2', attempt: 1 }, 'attempt: 1'],
  ['agent.explain', {}, 'database: missing'],
  ['agent.events', { database: 7 }, 'database: 7'],
  ['agent.explainRouting', { kind: 'database', name: 'd' }, 'kind: "database"'],
  ['agent.explainRouting', { kind: 'class' }, 'name: missing'],
  ['agent.report', { database: 'd', backendServer: 'i-a', health: 'up' }, 'health: "up"'],
  ['agent.report', null, 'params: null'],
  ['agent.writesHeld', { database: 'd' }, 'attempt: missing'],
]

const WHOLE: readonly (readonly [string, unknown, readonly string[]])[] = [
  ['peer.hello', HELLO, []],
  ['peer.hello', { ...HELLO, release: 2 }, []],
  ['peer.ping', { root: 7 }, []],
  ['peer.news', { items: [] }, []],
  ['peer.compare', { buckets: [] }, []],
  ['peer.fetch', { keys: ['targets'] }, []],
  ['peer.opinion', OPINION, ['host-2']],
  ['peer.writesHeld', { ...HELD, host: 'host-2' }, ['host-2']],
  ['agent.explain', { database: 'd' }, []],
  ['agent.events', { database: 'd' }, []],
  ['agent.explainRouting', { kind: 'session', name: 's' }, []],
  ['agent.report', { database: 'd', backendServer: 'i-a', health: 'reachable' }, ['reachable']],
  ['agent.writesHeld', HELD, ['d']],
]

const PROXY_METHODS = ['agent.report', 'agent.writesHeld']

// Guards against a message with a field that is missing or of another type, which was used unchecked: it failed far from
// where it arrived, or was taken and passed on.
describe('a message to an agent', () => {
  for (const [method, params, field] of BROKEN) {
    it(`is answered with invalid params: ${method} ${JSON.stringify(params)}`, async () => {
      await withAgent(async ({ peer, proxy }, received) => {
        const connection = PROXY_METHODS.includes(method) ? proxy : peer
        const answer = await connection.request(method, params, LIMIT_MILLISECONDS)
        const error = answer._unsafeUnwrapErr()
        expect(error.kind === 'remote' && error.code).toEqual(INVALID_PARAMS)
        expect(error.detail.startsWith(`${method}: ${field}: `)).toEqual(true)
        expect(received).toEqual({ taken: [], unreadable: [error.detail] })
        const [, whole] = WHOLE.find(([name]) => name === method) ?? []
        const later = await connection.request(method, whole ?? { subject: SELF }, 3000)
        expect(later.isOk()).toEqual(true)
      })
    })
  }

  for (const [method, params, taken] of WHOLE) {
    it(`is carried out: ${method} ${JSON.stringify(params)}`, async () => {
      await withAgent(async ({ peer, proxy }, received) => {
        const connection = PROXY_METHODS.includes(method) ? proxy : peer
        const answer = await connection.request(method, params, LIMIT_MILLISECONDS)
        expect(answer.isOk()).toEqual(true)
        expect(received).toEqual({ taken: [...taken], unreadable: [] })
      })
    })
  }
})

const BROKEN_ITEMS: readonly (readonly [string, unknown, string])[] = [
  ['of no kind', {}, 'kind: missing'],
  ['of an unknown kind', { kind: 'place' }, 'kind: "place"'],
  ['null', null, 'params: null'],
  ['a member without a state', { kind: 'member', member: { ...MEMBER, status: 'ill' } }, 'member'],
  ['a group that is a text', { kind: 'group', record: 'x', revision: 1 }, 'record: "x"'],
  ['targets without a version', { kind: 'targets', document: {} }, 'document: {}'],
  ['drains that are a list', { kind: 'drains', drains: [1] }, 'drains: [1]'],
]

// Guards against an item that cannot be read, which was spread to all agents and failed at each of them.
describe('an item of news that cannot be read', () => {
  for (const [what, item, field] of BROKEN_ITEMS) {
    it(`is left out, and the others are adopted: ${what}`, async () => {
      await withAgent(async ({ peer }, received) => {
        await peer.request('peer.hello', HELLO, LIMIT_MILLISECONDS)
        const items = [item, { kind: 'member', member: MEMBER }]
        const answer = await peer.request('peer.news', { items }, LIMIT_MILLISECONDS)
        expect(answer.isOk()).toEqual(true)
        expect(received.taken).toEqual(['member'])
        expect(
          received.unreadable.map(each => each.startsWith(`peer.news: items.0.${field}`)),
        ).toEqual([true])
      })
    })
  }
})
