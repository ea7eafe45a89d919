import { createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { freePorts } from '@nutmegcourse/stand-ins'
import { addMilliseconds, SystemClock } from '@nutmegcourse/shared'
import { JsonRpcConnection, openJsonRpc } from '@nutmegcourse/transport'
import type { HostContext } from '../src/hostContext.js'
import { RelayPeer } from '../src/relayPeer.js'
import { RelayServer, type RelayServices } from '../src/relayServer.js'
import { RELAY_METHODS } from '../src/relayMessages.js'
import type { StatementRunner } from '../src/statementRunner.js'

const LIMIT_MILLISECONDS = 1000
/** By JSON-RPC 2.0. */
const INVALID_PARAMS = -32602

const ANSWER = {
  kind: 'answered',
  answer: { kind: 'rows', rows: ['a b'], signature: '1.1.s' },
  position: { term: 1, offset: 2 },
  own: null,
  transaction: null,
}
const rows = (fields: object) => ({ ...ANSWER, answer: { ...ANSWER.answer, ...fields } })

const BROKEN_ANSWERS: readonly (readonly [string, unknown])[] = [
  ['of no kind', { ...ANSWER, kind: undefined }],
  ['of an unknown kind', { ...ANSWER, kind: 'redirected' }],
  ['a list', [ANSWER]],
  ['a number', 7],
  ['null', null],
  ['without an answer', { ...ANSWER, answer: undefined }],
  ['with a row that is a number', rows({ rows: ['a', 7] })],
  ['with a row that is null', rows({ rows: [null] })],
  ['with a text for rows', rows({ rows: 'ab' })],
  ['without rows', rows({ rows: undefined })],
  ['without a signature', rows({ signature: undefined })],
  ['with a signature that is no text', rows({ signature: 7 })],
  [
    'with an unknown refusal',
    { ...ANSWER, answer: { kind: 'refused', refusal: 'toString', detail: '' } },
  ],
  [
    'with a refusal without a detail',
    { ...ANSWER, answer: { kind: 'refused', refusal: 'notRun' } },
  ],
  ['with a position that is a text', { ...ANSWER, position: '1.2' }],
  ['without a position', { ...ANSWER, position: undefined }],
  ['with half a position', { ...ANSWER, own: { term: 1 } }],
  ['with a transaction that is a text', { ...ANSWER, transaction: '1' }],
  ['with a reason that is no text', { ...ANSWER, reason: {} }],
]

const contextWith = (lines: string[]): HostContext =>
  ({
    clock: new SystemClock(),
    log: { write: (event: string) => lines.push(event) },
  }) as unknown as HostContext

// Guards against an answer of another host whose fields are used unchecked: its caller's session failed far from here,
// without an answer, or the caller got what is no row.
describe('an answer of another host', () => {
  const outcomeOf = async (answer: unknown): Promise<readonly [string, number, string[]]> => {
    const lines: string[] = []
    const context = contextWith(lines)
    let connections = 0
    const server = createServer(socket => {
      connections += 1
      new JsonRpcConnection(socket, { [RELAY_METHODS.single]: () => answer })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const peer = new RelayPeer(context, 'host-2', { host: '127.0.0.1', port })
    const deadline = addMilliseconds(context.clock.now(), LIMIT_MILLISECONDS)
    try {
      const { kind } = await peer.call(RELAY_METHODS.single, () => ({}), deadline)
      await peer.call(RELAY_METHODS.single, () => ({}), deadline)
      return [kind, connections, lines.slice(0, 1)]
    } finally {
      peer.close()
      server.close()
    }
  }

  it('is taken if it is whole', async () => {
    expect(await outcomeOf(ANSWER)).toEqual(['answered', 1, []])
    expect(await outcomeOf({ kind: 'declined' })).toEqual(['notSent', 1, []])
  })

  for (const [what, answer] of BROKEN_ANSWERS) {
    it(`counts as lost, on a connection that is given up, if it is ${what}`, async () => {
      expect(await outcomeOf(answer)).toEqual(['lost', 2, ['relay_malformed']])
    })
  }
})

const ROUTE = {
  name: 'r',
  database: 'd',
  service: 's',
  guarantee: { kind: 'bounded', maximumAgeMilliseconds: 100 },
  statementTimeoutMilliseconds: 800,
  latencyTargetMilliseconds: 100,
  priority: 0,
  isPublic: false,
}
const REQUEST = {
  route: { number: 1, route: ROUTE },
  customer: null,
  id: '5c0e',
  text: 'READ 1a4',
  body: { kind: 'read' },
  isWrite: false,
  values: [['colour', 'blue']],
  prepared: null,
  own: null,
  isFinal: true,
  remaining: 500,
}
const EXECUTE = { kind: 'execute', name: 'n', argument: '1' }

const BROKEN_REQUESTS: readonly (readonly [string, unknown])[] = [
  ['null', null],
  ['a list', [REQUEST]],
  ['without a route', { ...REQUEST, route: undefined }],
  [
    'with a route without a service',
    { ...REQUEST, route: { number: 1, route: { ...ROUTE, service: 7 } } },
  ],
  [
    'with a timeout that is a text',
    { ...REQUEST, route: { number: 1, route: { ...ROUTE, statementTimeoutMilliseconds: '1' } } },
  ],
  ['with a customer that is a number', { ...REQUEST, customer: 7 }],
  ['with an id that is a number', { ...REQUEST, id: 7 }],
  ['without a text', { ...REQUEST, text: undefined }],
  ['with the body of a statement that hosts do not relay', { ...REQUEST, body: { kind: 'reset' } }],
  ['with an argument that is a list', { ...REQUEST, body: { ...EXECUTE, argument: ['1'] } }],
  ['with a value that is a number', { ...REQUEST, values: [['colour', 7]] }],
  ['with values that are no pairs', { ...REQUEST, values: ['ab'] }],
  ['without values', { ...REQUEST, values: undefined }],
  [
    'with a shape that is a number',
    { ...REQUEST, body: EXECUTE, prepared: { effect: 'read', shape: 7 } },
  ],
  ['with a position that is a text', { ...REQUEST, own: '1.2' }],
  ['without a time limit', { ...REQUEST, remaining: undefined }],
  ['with a time limit that is a text', { ...REQUEST, remaining: '5' }],
]

// Guards against a request of another host whose fields are used unchecked: a statement failed half way, or waited
// without a limit.
describe('a request of another host', () => {
  const ask = async (
    method: string,
    params: unknown,
  ): Promise<readonly [unknown, number, string[]]> => {
    const lines: string[] = []
    let uses = 0
    const used = (): never => {
      uses += 1
      throw new Error('used')
    }
    const runner = { single: used, begin: used, continue: used } as unknown as StatementRunner
    const services = {
      serve: () => ({ name: 's' }),
      changeFeed: { answer: used },
      limits: { answer: used },
      orderServer: used,
      receivedOf: used,
    } as unknown as RelayServices
    const server = new RelayServer(contextWith(lines), runner, services)
    const [port = 0] = await freePorts(1)
    server.listen('127.0.0.1', port)
    const connection = (
      await openJsonRpc('127.0.0.1', port, {}, LIMIT_MILLISECONDS)
    )._unsafeUnwrap()
    try {
      const answer = await connection.request<unknown>(method, params, LIMIT_MILLISECONDS)
      return [answer.unwrapOr('failed'), uses, lines]
    } finally {
      connection.close()
      server.close()
    }
  }

  const DECLINED = { kind: 'declined' }

  it('is carried out if it is whole', async () => {
    expect((await ask(RELAY_METHODS.single, REQUEST))[1]).toEqual(1)
  })

  for (const [what, request] of BROKEN_REQUESTS) {
    it(`is declined and not run if it is ${what}`, async () => {
      const expected = [DECLINED, 0, ['relay_malformed']] as const
      expect(await ask(RELAY_METHODS.single, request)).toEqual(expected as never)
      const begun = await ask(RELAY_METHODS.begin, { request, readOnly: true })
      expect(begun).toEqual(expected as never)
      const continued = await ask(RELAY_METHODS.continue, { request, transaction: 1 })
      expect(continued).toEqual(expected as never)
    })
  }

  const others: readonly (readonly [string, unknown, object])[] = [
    ['news', { after: 1, wait: null, isAwaited: true }, DECLINED],
    ['news', { after: 1, wait: 1e12, isAwaited: true }, DECLINED],
    ['news', { after: '1', wait: 1, isAwaited: true }, DECLINED],
    ['grant', { customer: 7 }, DECLINED],
    ['grant', { customer: 'c', count: -1 }, DECLINED],
    [
      'order',
      { service: 's', server: 'i-1', order: { kind: 'promote', term: 1 } },
      { report: null },
    ],
    [
      'order',
      { service: 's', server: 'i-1', order: { kind: 'pause', term: '1' } },
      { report: null },
    ],
    ['received', {}, { furthest: null }],
  ]
  for (const [method, request, refusal] of others) {
    it(`is declined if it cannot be read: ${method} ${JSON.stringify(request)}`, async () => {
      expect(await ask(method, request)).toEqual([refusal, 0, ['relay_malformed']])
    })
  }

  // Guards against an end that names no transaction and is taken as one without a trace.
  const ends: readonly (readonly [string, unknown, string])[] = [
    ['without a transaction', {}, 'missing'],
    ['of a text', { transaction: '1' }, '"1"'],
    ['of a negative number', { transaction: -1 }, '-1'],
    ['of null', { transaction: null }, 'null'],
    ['that is null', null, 'null'],
    ['that is a list', [1], '[1]'],
  ]
  for (const [what, params, value] of ends) {
    it(`is answered with invalid params if it is an end ${what}`, async () => {
      const lines: string[] = []
      const server = new RelayServer(
        contextWith(lines),
        {} as unknown as StatementRunner,
        {} as unknown as RelayServices,
      )
      const [port = 0] = await freePorts(1)
      server.listen('127.0.0.1', port)
      const opened = await openJsonRpc('127.0.0.1', port, {}, LIMIT_MILLISECONDS)
      const connection = opened._unsafeUnwrap()
      try {
        const answer = await connection.request(RELAY_METHODS.end, params, LIMIT_MILLISECONDS)
        const detail = `end: transaction: ${value}: is no transaction's number`
        const expected = { kind: 'remote', code: INVALID_PARAMS, detail } as const
        expect(answer._unsafeUnwrapErr()).toEqual(expected)
        expect(lines).toEqual(['relay_malformed'])
        const ping = await connection.request(RELAY_METHODS.ping, {}, LIMIT_MILLISECONDS)
        expect(ping.unwrapOr(false)).toEqual(true)
      } finally {
        connection.close()
        server.close()
      }
    })
  }
})
