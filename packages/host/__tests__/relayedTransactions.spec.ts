import { describe, it } from 'node:test'
import { expect } from 'earl'
import { freePorts } from '@nutmegcourse/stand-ins'
import { SystemClock, addMilliseconds, customerName, type CustomerName } from '@nutmegcourse/shared'
import type { CallerAnswer, Route } from '@nutmegcourse/protocol'
import { SessionValues } from '@nutmegcourse/state'
import type { HostContext } from '../src/hostContext.js'
import { RelayPeer } from '../src/relayPeer.js'
import { RelayServer, type RelayServices } from '../src/relayServer.js'
import { RelayingRunner } from '../src/relayingRunner.js'
import type { StatementRunner } from '../src/statementRunner.js'
import {
  StatementTiming,
  type RunningTransaction,
  type StatementRequest,
} from '../src/statements.js'

const A = customerName('a')
const B = customerName('b')

const CONTEXT = {
  clock: new SystemClock(),
  log: { write: () => undefined },
  settings: { schedulesSlots: false },
} as unknown as HostContext

const SERVICE = { name: 'db-1', isOwned: false, dispatchedPart: null }

const ROUTE: Route = {
  name: 'r',
  database: 'd',
  service: SERVICE.name,
  guarantee: { kind: 'latest' },
  statementTimeoutMilliseconds: 800,
  latencyTargetMilliseconds: 100,
  priority: 0,
  isPublic: false,
}

const requestOf = (customer: CustomerName, timeoutMilliseconds = 800): StatementRequest =>
  ({
    service: SERVICE,
    route: ROUTE,
    customer,
    session: { values: new SessionValues(), ownPosition: null },
    statement: { id: 's-1', text: 'write 1', body: { kind: 'write' } },
    isWrite: true,
    arrivedAt: CONTEXT.clock.now(),
    deadline: addMilliseconds(CONTEXT.clock.now(), timeoutMilliseconds),
    timing: new StatementTiming(),
  }) as unknown as StatementRequest

/** The other host: records whose statements ran in whose transaction, and whose transactions were ended. */
function serveAt(
  port: number,
  ran: (readonly [string, string])[],
  ended: string[],
  slow: 'none' | 'begin' | 'continue' = 'none',
  isAnswered = Promise.resolve(),
  answer: CallerAnswer = { kind: 'acknowledged' },
): RelayServer {
  const step = async (kind: 'begin' | 'continue', transaction: { customer: string }) => {
    if (kind === slow) await isAnswered
    return { result: { answer, position: null }, transaction }
  }
  const runner = {
    begin: (request: StatementRequest) => step('begin', { customer: String(request.customer) }),
    continue: (request: StatementRequest, transaction: { customer: string }) => {
      ran.push([String(request.customer), transaction.customer])
      return step('continue', transaction)
    },
    endTransaction: ({ customer }: { customer: string }) => ended.push(customer),
  }
  const services = { serve: () => SERVICE, idleTransactionMilliseconds: 3000 }
  const server = new RelayServer(
    CONTEXT,
    runner as unknown as StatementRunner,
    services as unknown as RelayServices,
  )
  server.listen('127.0.0.1', port)
  return server
}

describe('a relayed transaction whose connection was lost', () => {
  // Guards against a statement, or an end, that reaches the transaction of another customer: the other host numbers
  // the transactions of each connection from 1.
  const nexts: readonly (readonly [
    string,
    (runner: RelayingRunner, of: RunningTransaction) => unknown,
  ])[] = [
    ['its next statement', (runner, of) => runner.continue(requestOf(A), of)],
    [
      'its end',
      (runner, of) => {
        runner.endTransaction(of, 'open')
      },
    ],
  ]
  for (const [what, next] of nexts) {
    it(`is over: ${what} does not reach another one`, async () => {
      const [port = 0] = await freePorts(1)
      const ran: (readonly [string, string])[] = []
      const ended: string[] = []
      const servers = [serveAt(port, [], [])]
      const peer = new RelayPeer(CONTEXT, 'host-2', { host: '127.0.0.1', port })
      const local = {} as unknown as StatementRunner
      const runner = new RelayingRunner(CONTEXT, local, { peersFor: () => [peer] })
      try {
        const lost = await runner.begin(requestOf(A), false)
        servers[0]?.close()
        await new Promise(resolve => setTimeout(resolve, 50))
        servers.push(serveAt(port, ran, ended))
        const open = await runner.begin(requestOf(B), false)
        if (lost.transaction === null || open.transaction === null) throw new Error('none begun')
        await next(runner, lost.transaction)
        await runner.continue(requestOf(B), open.transaction)
        expect([ran, ended]).toEqual([[['b', 'b']], []])
      } finally {
        peer.close()
        for (const server of servers) server.close()
      }
    })
  }
})

describe('a relayed transaction that is given up while a statement runs in it', () => {
  const REQUEST_MILLISECONDS = 50
  // Guards against a transaction that keeps its connection until it has been idle for too long: its end arrives while
  // the statement runs, and nothing ends it afterwards.
  const statements: readonly (readonly [string, boolean])[] = [
    ['its first statement', true],
    ['a later statement', false],
  ]
  for (const [what, isFirst] of statements) {
    it(`ends when ${what} has been answered`, async () => {
      const [port = 0] = await freePorts(1)
      const ended: string[] = []
      let answer = (): void => undefined
      const isAnswered = new Promise<void>(resolve => (answer = resolve))
      const server = serveAt(port, [], ended, isFirst ? 'begin' : 'continue', isAnswered)
      const peer = new RelayPeer(CONTEXT, 'host-2', { host: '127.0.0.1', port })
      const local = {} as unknown as StatementRunner
      const runner = new RelayingRunner(CONTEXT, local, { peersFor: () => [peer] })
      try {
        const begun = await runner.begin(requestOf(A, isFirst ? REQUEST_MILLISECONDS : 800), false)
        const { result } =
          begun.transaction === null
            ? begun
            : await runner.continue(requestOf(A, REQUEST_MILLISECONDS), begun.transaction)
        expect(result.answer.kind === 'refused' && result.answer.refusal).toEqual('aborted')
        await new Promise(resolve => setTimeout(resolve, 50))
        expect(ended).toEqual([])
        answer()
        await new Promise(resolve => setTimeout(resolve, 50))
        expect(ended).toEqual(['a'])
      } finally {
        peer.close()
        server.close()
      }
    })
  }

  // Guards against a host that knows the transaction by another number than the one that ended it.
  it('ends alone, whatever else was begun over the connection', async () => {
    const [port = 0] = await freePorts(1)
    const ended: string[] = []
    const server = serveAt(port, [], ended)
    const peer = new RelayPeer(CONTEXT, 'host-2', { host: '127.0.0.1', port })
    const local = {} as unknown as StatementRunner
    const runner = new RelayingRunner(CONTEXT, local, { peersFor: () => [peer] })
    try {
      const first = await runner.begin(requestOf(A), false)
      const second = await runner.begin(requestOf(B), false)
      if (first.transaction === null || second.transaction === null) throw new Error('none begun')
      runner.endTransaction(second.transaction, 'open')
      await new Promise(resolve => setTimeout(resolve, 50))
      expect(ended).toEqual(['b'])
      runner.endTransaction(first.transaction, 'open')
      await new Promise(resolve => setTimeout(resolve, 50))
      expect(ended).toEqual(['b', 'a'])
    } finally {
      peer.close()
      server.close()
    }
  })
})

describe('a relayed transaction whose first answer is too long for the connection', () => {
  const TOO_LONG: CallerAnswer = { kind: 'rows', rows: ['x'.repeat(5_000_000)], signature: '1.1.s' }
  // Guards against a transaction that keeps its connection until it has been idle for too long: the host that began it
  // gets no notice of its end, as the answer without which it goes on had not been sent.
  for (const hosts of [1, 2]) {
    it(`is ended at once at each of ${String(hosts)} hosts, before it runs here`, async () => {
      const ports = await freePorts(hosts)
      const ended = ports.map((): string[] => [])
      const servers = ports.map((port, index) =>
        serveAt(port, [], ended[index] ?? [], 'none', Promise.resolve(), TOO_LONG),
      )
      const peers = ports.map(
        (port, index) =>
          new RelayPeer(CONTEXT, `host-${String(index + 2)}`, { host: '127.0.0.1', port }),
      )
      const result = { answer: { kind: 'acknowledged' }, position: null }
      const local = { begin: () => Promise.resolve({ result, transaction: null }) }
      const runner = new RelayingRunner(CONTEXT, local as unknown as StatementRunner, {
        peersFor: () => peers,
      })
      const service = { ...SERVICE, standIn: () => undefined }
      const request = { ...requestOf(A), service } as unknown as StatementRequest
      try {
        expect((await runner.begin(request, true)).result.answer.kind).toEqual('acknowledged')
        await new Promise(resolve => setTimeout(resolve, 50))
        expect(ended).toEqual(ports.map(() => ['a']))
      } finally {
        for (const peer of peers) peer.close()
        for (const server of servers) server.close()
      }
    })
  }
})
