/** Requests that were given to a connection and never sent on it. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { attemptId, REASONS, backendServerId, requestId, term } from '@nutmegcourse/shared'
import type { ConnectionId } from '../src/index.js'
import { CoreFixture, groupRecord, pick, reasonsOf } from './coreFixture.js'

const MOVING = groupRecord({ phase: { kind: 'moving', target: backendServerId('b') } })
const R1 = requestId('r1')

/** The connection that the request was last given. */
function connectionOf(fixture: CoreFixture, request: string): ConnectionId {
  const run = pick(fixture.effects, 'run').findLast(each => each.request === requestId(request))
  if (run === undefined) throw new Error(`${request} did not run`)
  return run.connection
}

const notSent = (fixture: CoreFixture, request: string) =>
  fixture.send({ kind: 'requestNotSent', request: requestId(request) })

/** The server closes the request's connection before the request is sent. */
function closeUnsent(fixture: CoreFixture, request: string) {
  const connection = connectionOf(fixture, request)
  return [...fixture.send({ kind: 'connectionClosed', connection }), ...notSent(fixture, request)]
}

describe('a request that was not sent because its connection was closed', () => {
  /** A write is answered with an unknown outcome, or refused, though no byte of it was sent. */
  const cases = [
    { name: 'a write that is not idempotent', workClass: 'assign' },
    { name: 'an idempotent write', workClass: 'upload' },
    { name: 'a read', workClass: 'browse' },
  ]
  for (const { name, workClass } of cases) {
    it(`is given another connection, and counted: ${name}`, () => {
      const fixture = new CoreFixture().start()
      fixture.arrive(workClass)
      const first = connectionOf(fixture, 'r1')
      const effects = closeUnsent(fixture, 'r1')
      const counters = pick(effects, 'count').map(each => each.counter)
      fixture.openAll()
      expect(reasonsOf(effects)).toEqual([])
      expect(counters).toEqual(['retry.not_sent'])
      expect(connectionOf(fixture, 'r1') === first).toEqual(false)
    })
  }

  /** After a stall every idle connection is closed, more of them than a request has retries. */
  it('uses up neither a retry nor the budget for retries', () => {
    const fixture = new CoreFixture().start()
    for (const request of Array.from({ length: 40 }, (_, index) => `r${index + 1}`)) {
      fixture.arrive('assign')
      fixture.openAll()
      for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
      closeUnsent(fixture, request)
      fixture.openAll()
      for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
      fixture.ran(request, [1, 1])
    }
    expect(reasonsOf(fixture.effects)).toEqual([])
  })

  /** Connections that keep closing before they are used must not keep a request for ever. */
  it('is refused as not run when its deadline has passed', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    closeUnsent(fixture, 'r1')
    const reasons = pick(fixture.advance(4000), 'refuse').map(each => each.refusal.reason)
    expect(reasons.map(reason => REASONS[reason].kind)).toEqual(['notRun'])
  })

  /** An earlier attempt was sent and broke: what comes later says nothing about that one. */
  it('stays unknown if an earlier attempt of the write was sent', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('upload')
    const connection = connectionOf(fixture, 'r1')
    fixture.send({ kind: 'connectionClosed', connection })
    fixture.send({ kind: 'requestBroken', request: R1, partlyAnswered: false })
    fixture.openAll()
    closeUnsent(fixture, 'r1')
    expect(reasonsOf(fixture.advance(4000))).toEqual(['connection_lost'])
  })

  /** The caller's answer was sent already; a second one would be taken for that of its next request. */
  it('is ignored if it has ended by then', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    fixture.send({ kind: 'requestAbandoned', request: R1 })
    expect(notSent(fixture, 'r1')).toEqual([])
  })

  /** A stop that did not wait for it would cut its caller. */
  it('holds up a stop until it has run', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    fixture.send({ kind: 'stop' })
    expect(pick(closeUnsent(fixture, 'r1'), 'stopped')).toEqual([])
    fixture.openAll()
    fixture.ran('r1', [1, 2])
    expect(pick(fixture.answer('b', [1, 2]), 'stopped').length).toEqual(1)
  })
})

describe('a request that waits to be sent', () => {
  const stays = (): void => undefined
  const moves = (fixture: CoreFixture): void => {
    fixture.snapshot(MOVING)
  }
  const closes = (fixture: CoreFixture): void => {
    fixture.send({ kind: 'connectionClosed', connection: connectionOf(fixture, 'r1') })
  }
  const isReplaced = (fixture: CoreFixture): void => {
    fixture.snapshot(groupRecord({ term: term(2), primary: backendServerId('b') }))
  }
  const ends = (fixture: CoreFixture): void => {
    fixture.send({ kind: 'requestAbandoned', request: R1 })
  }
  /** A write is sent to a primary that is known by then to take none. */
  const cases = [
    { name: 'a write, if nothing has changed', workClass: 'assign', change: stays, may: true },
    {
      name: 'a write, while the primary is moving',
      workClass: 'assign',
      change: moves,
      may: false,
    },
    {
      name: 'a write, after another server leads',
      workClass: 'assign',
      change: isReplaced,
      may: false,
    },
    { name: 'a write without its connection', workClass: 'assign', change: closes, may: false },
    { name: 'a write that has ended', workClass: 'assign', change: ends, may: false },
    { name: 'a read, while the primary is moving', workClass: 'browse', change: moves, may: true },
  ]
  for (const { name, workClass, change, may } of cases) {
    it(`may${may ? '' : ' not'} be sent: ${name}`, () => {
      const fixture = new CoreFixture().start()
      fixture.arrive(workClass)
      change(fixture)
      expect(fixture.core.mayStillRun(R1, fixture.clock.now())).toEqual(may)
    })
  }

  /** A move must neither lose the write nor cost a connection that is still good. */
  it('is held during a move, and runs on the same connection if the move is called off', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    const connection = connectionOf(fixture, 'r1')
    moves(fixture)
    const held = notSent(fixture, 'r1')
    expect([...pick(held, 'run'), ...pick(held, 'refuse'), ...pick(held, 'close')]).toEqual([])
    const runs = pick(fixture.snapshot(), 'run')
    expect(runs.map(each => [each.request, each.connection])).toEqual([[R1, connection]])
  })
})

/** A move no longer waits for a transaction after this time. */
const IDLE_MILLISECONDS = 300

describe('a statement of a transaction that was not sent', () => {
  function withTransaction(): CoreFixture {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    fixture.ran('r1', [1, 1], { transactionOpen: true })
    const connection = connectionOf(fixture, 'r1')
    fixture.send({ kind: 'transactionContinued', request: requestId('commit'), connection })
    return fixture
  }

  /** A COMMIT that was never sent is answered with an unknown outcome. */
  it('is refused as lost with its transaction, and runs nowhere else', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    fixture.send({ kind: 'connectionClosed', connection })
    const effects = notSent(fixture, 'commit')
    expect(reasonsOf(effects)).toEqual(['transaction_lost'])
    expect(pick(effects, 'run')).toEqual([])
  })

  /** A move waits for open transactions, which can not continue on another server. */
  it('may be sent while the primary is moving', () => {
    const fixture = withTransaction()
    fixture.snapshot(MOVING)
    const may = fixture.core.mayStillRun(requestId('commit'), fixture.clock.now())
    expect(may).toEqual(true)
  })

  /** Guards against a COMMIT that is cut by the fence of a move that no longer waits for it. */
  it('may not be sent once the proxy has reported that it holds its writes', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    fixture.ran('r1', [1, 1], { transactionOpen: true })
    const connection = connectionOf(fixture, 'r1')
    fixture.snapshot({ ...MOVING, attempt: attemptId('first') })
    fixture.advance(IDLE_MILLISECONDS)
    fixture.send({ kind: 'transactionContinued', request: requestId('commit'), connection })
    const may = fixture.core.mayStillRun(requestId('commit'), fixture.clock.now())
    expect(may).toEqual(false)
    expect(reasonsOf(notSent(fixture, 'commit'))).toEqual(['transaction_lost'])
  })

  /** A connection with part of a transaction would give the rest of it to the next caller. */
  it('has its connection closed if that is still open', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    const effects = notSent(fixture, 'commit')
    expect(pick(effects, 'close').map(each => each.connection)).toEqual([connection])
  })
})
