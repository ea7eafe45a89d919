import { deflateRawSync } from 'node:zlib'
import { createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemClock, backendServerId, customerName } from '@nutmegcourse/shared'
import { JsonRpcConnection } from '@nutmegcourse/transport'
import type { HostContext } from '../src/hostContext.js'
import { ChangeFeedReader } from '../src/changeFeedReader.js'
import { RelayPeer } from '../src/relayPeer.js'

const LIMIT_MILLISECONDS = 500
const CONFIGURATION_MILLISECONDS = 4000

async function withPeer<Value>(
  answer: unknown,
  use: (peer: RelayPeer, context: HostContext) => Promise<Value>,
): Promise<Value> {
  const context = {
    clock: new SystemClock(),
    log: { write: () => undefined },
    settings: { configurationMilliseconds: CONFIGURATION_MILLISECONDS },
  } as unknown as HostContext
  const server = createServer(socket => {
    const handler = () => answer
    new JsonRpcConnection(socket, {
      news: handler,
      grant: handler,
      order: handler,
      received: handler,
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const peer = new RelayPeer(context, 'host-2', { host: '127.0.0.1', port })
  try {
    return await use(peer, context)
  } finally {
    peer.close()
    server.close()
  }
}

const NEWS = {
  kind: 'news',
  isWhole: true,
  changes: [{ kind: 'record', key: 'a', value: 'v', revision: 7, lease: 0 }],
  revision: 7,
  madeAgo: 0,
  knownAgo: 0,
  waited: 0,
}
const deflated = (text: string): string => deflateRawSync(text).toString('base64')

const BROKEN_NEWS: readonly (readonly [string, unknown])[] = [
  ['a number', 7],
  ['without changes', { ...NEWS, changes: undefined }],
  ['with a change that is null', { ...NEWS, changes: [null] }],
  ['with a change without a revision', { ...NEWS, changes: [{ kind: 'record', key: 'a' }] }],
  ['with an empty configuration', { ...NEWS, changes: [{ kind: 'configuration', revision: 7 }] }],
  ['with an age that is a text', { ...NEWS, knownAgo: '0' }],
  [
    'with packed changes that are cut off',
    { ...NEWS, changes: { deflated: deflated('[{}]').slice(0, 4) } },
  ],
  ['with packed changes that are not JSON', { ...NEWS, changes: { deflated: deflated('[{') } }],
  ['with packed changes that are no list', { ...NEWS, changes: { deflated: deflated('7') } }],
]

// Guards against a host that stops following the store since another one sent changes that cannot be read.
describe('changes from another host', () => {
  const readFrom = (answer: unknown): Promise<readonly (number | null)[]> =>
    withPeer(answer, async (peer, context) => {
      const sources = { changeFeedSources: () => [peer], otherSources: () => [peer] }
      const request = { after: 1, wait: 0, isAwaited: false }
      const reader = (): ChangeFeedReader => new ChangeFeedReader(context, sources)
      const watched = await reader().watch(request)
      const elsewhere = await reader().watchElsewhere(request)
      const listed = await reader().list(context.clock.now())
      return [watched, elsewhere, listed].map(each => each?.events.revision ?? null)
    })

  it('are taken if they are whole', async () => {
    expect(await readFrom(NEWS)).toEqual([7, 7, 7])
    const changes = { deflated: deflated(JSON.stringify(NEWS.changes)) }
    expect(await readFrom({ ...NEWS, changes })).toEqual([7, 7, 7])
  })

  for (const [what, answer] of BROKEN_NEWS) {
    it(`are none if their answer is ${what}`, async () => {
      expect(await readFrom(answer)).toEqual([null, null, null])
    })
  }
})

// Guards against an answer of another host that gives a limit, or the progress of a replica, what is no number.
describe('an answer of another host to a question', () => {
  const order = { service: 's', server: backendServerId('i-1'), order: { kind: 'report' } } as const
  const report = { role: 'replica', term: 1, received: { term: 1, offset: 2 }, pausedFor: 0 }
  const cases: readonly (readonly [
    string,
    (peer: RelayPeer) => Promise<unknown>,
    unknown,
    boolean,
  ])[] = [
    ['a grant', askGrant, { kind: 'granted', count: 2 }, true],
    ['a grant of no number', askGrant, { kind: 'granted', count: 'many' }, false],
    ['a wait of no number', askGrant, { kind: 'spent', waitMilliseconds: null }, false],
    ['a report', peer => peer.orderServer(order, LIMIT_MILLISECONDS), { report }, true],
    ['no report', peer => peer.orderServer(order, LIMIT_MILLISECONDS), { report: null }, true],
    [
      'a report without a position',
      peer => peer.orderServer(order, LIMIT_MILLISECONDS),
      { report: { ...report, received: null } },
      false,
    ],
    [
      'a report of no role',
      peer => peer.orderServer(order, LIMIT_MILLISECONDS),
      { report: { ...report, role: 'x' } },
      false,
    ],
    ['a position', askReceived, { furthest: { server: 'i-1', at: { term: 1, offset: 2 } } }, true],
    [
      'a position without a server',
      askReceived,
      { furthest: { at: { term: 1, offset: 2 } } },
      false,
    ],
    ['a position that is a text', askReceived, { furthest: { server: 'i-1', at: '1.2' } }, false],
  ]
  for (const [what, ask, answer, isTaken] of cases) {
    it(`is ${isTaken ? 'taken' : 'none'}: ${what}`, async () => {
      expect((await withPeer(answer, ask)) !== null).toEqual(isTaken)
    })
  }
})

function askGrant(peer: RelayPeer): Promise<unknown> {
  return peer.askGrant({ customer: customerName('a') }, LIMIT_MILLISECONDS)
}

function askReceived(peer: RelayPeer): Promise<unknown> {
  return peer.askReceived({ service: 's' }, LIMIT_MILLISECONDS)
}
