import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, requestId, sessionId } from '@nutmegcourse/shared'
import type { ConnectionId } from '../src/index.js'
import { CoreFixture, classTargets, pick, reasonsOf, serversOf } from './coreFixture.js'

function connectionOf(fixture: CoreFixture, request: string): ConnectionId {
  const run = pick(fixture.effects, 'run').findLast(each => each.request === requestId(request))
  if (run === undefined) throw new Error(`${request} did not run`)
  return run.connection
}

function breakConnection(fixture: CoreFixture, request: string, partlyAnswered = false) {
  const connection = connectionOf(fixture, request)
  return [
    ...fixture.send({ kind: 'connectionClosed', connection }),
    ...fixture.send({ kind: 'requestBroken', request: requestId(request), partlyAnswered }),
  ]
}

/**
 * A connection breaks while a request runs. A retry could run a write twice that is not idempotent,
 * report a write that ran as "not run", or send a second answer after part of the first.
 */
describe('a request whose connection broke', () => {
  const cases = [
    {
      name: 'a read is retried on another server',
      workClass: 'browse',
      partly: false,
      outcome: 'again',
    },
    {
      name: 'a read whose answer was partly sent is not retried',
      workClass: 'browse',
      partly: true,
      outcome: 'connection_lost',
    },
    {
      name: 'an idempotent write is retried',
      workClass: 'upload',
      partly: false,
      outcome: 'again',
    },
    {
      name: 'a write that is not idempotent is not retried',
      workClass: 'assign',
      partly: false,
      outcome: 'connection_lost',
    },
  ] as const
  for (const { name, workClass, partly, outcome } of cases) {
    it(name, () => {
      const fixture = new CoreFixture().start()
      fixture.arrive(workClass)
      const effects = breakConnection(fixture, 'r1', partly)
      fixture.openAll()
      const again = [...effects, ...fixture.effects.slice(-5)]
      const counted = pick(effects, 'count').some(each => each.counter === 'retry.broken')
      expect(reasonsOf(effects)[0] ?? (counted ? 'again' : 'nothing')).toEqual(outcome)
      if (outcome === 'again') expect(serversOf(again, 'run').length > 0).toEqual(true)
    })
  }

  it('is not refused as "not run" after an attempt that may have run', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('upload')
    breakConnection(fixture, 'r1')
    const effects = fixture.advance(4000)
    expect(reasonsOf(effects)).toEqual(['connection_lost'])
  })

  it('is retried only within a budget', () => {
    const fixture = new CoreFixture({ options: { queueLimit: 100 } }).start()
    const reasons: string[] = []
    for (let count = 1; count <= 40; count += 1) {
      const id = `r${count}`
      fixture.arrive('browse')
      for (let attempt = 0; attempt < 3; attempt += 1) {
        fixture.openAll()
        const ran = pick(fixture.effects, 'run').some(each => each.request === requestId(id))
        if (ran) reasons.push(...reasonsOf(breakConnection(fixture, id)))
        for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
      }
    }
    expect(reasons.includes('retry_budget_spent')).toEqual(true)
  })
})

/** Statements of two transactions must never share a connection. */
describe('a transaction', () => {
  function withTransaction(): CoreFixture {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    const opened = fixture.ran('r1', [1, 1], { transactionOpen: true })
    expect(pick(opened, 'acknowledge').length).toEqual(1)
    return fixture
  }

  it('keeps its connection from others until it ends', () => {
    const fixture = withTransaction()
    const held = connectionOf(fixture, 'r1')
    fixture.arrive('assign')
    fixture.openAll()
    expect(connectionOf(fixture, 'r2') === held).toEqual(false)
  })

  it('waits for confirmation at its last statement', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    fixture.send({ kind: 'transactionContinued', request: requestId('commit'), connection })
    expect(pick(fixture.ran('commit', [1, 2]), 'acknowledge')).toEqual([])
    const confirmed = fixture.answer('b', [1, 2])
    expect(pick(confirmed, 'acknowledge').map(each => each.request)).toEqual([requestId('commit')])
  })

  it('has its connection closed when its caller disconnects', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    const effects = fixture.send({ kind: 'requestAbandoned', request: requestId('r1') })
    expect(pick(effects, 'close').map(each => each.connection)).toEqual([connection])
  })

  it('that lost its connection between statements is refused as lost', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    fixture.send({ kind: 'connectionClosed', connection })
    const effects = fixture.send({
      kind: 'transactionContinued',
      request: requestId('next'),
      connection,
    })
    expect(reasonsOf(effects)).toEqual(['transaction_lost'])
  })

  it('that lost its connection at its last statement has an unknown outcome', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    fixture.send({ kind: 'transactionContinued', request: requestId('commit'), connection })
    fixture.send({ kind: 'connectionClosed', connection })
    const effects = fixture.send({
      kind: 'requestBroken',
      request: requestId('commit'),
      partlyAnswered: false,
    })
    expect(reasonsOf(effects)).toEqual(['connection_lost'])
  })

  it('is finished before a stop', () => {
    const fixture = withTransaction()
    const connection = connectionOf(fixture, 'r1')
    expect(pick(fixture.send({ kind: 'stop' }), 'stopped')).toEqual([])
    fixture.send({ kind: 'transactionContinued', request: requestId('commit'), connection })
    fixture.ran('commit', [1, 2])
    expect(pick(fixture.answer('b', [1, 2]), 'stopped').length).toEqual(1)
  })
})

describe('a caller that disconnects', () => {
  it('while its request runs has the backend connection closed and a new one opened', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('browse')
    const connection = connectionOf(fixture, 'r1')
    const effects = fixture.send({ kind: 'requestAbandoned', request: requestId('r1') })
    expect(pick(effects, 'close').map(each => each.connection)).toEqual([connection])
    expect(serversOf(effects, 'open').length).toEqual(1)
  })

  it('while its request is queued has the request removed', () => {
    const fixture = new CoreFixture()
    fixture.snapshot()
    fixture.arrive('assign')
    fixture.send({ kind: 'requestAbandoned', request: requestId('r1') })
    fixture.openAll()
    expect(serversOf(fixture.effects, 'run')).toEqual([])
  })
})

/** A request that can not be served in time is refused at once, with a time to retry after. */
describe('overload', () => {
  const slowWrites = [classTargets('assign', { access: 'write', latencyMilliseconds: 100 })]

  /** A core with one connection to each server and a primary that was slow to run one write. */
  function withSlowPrimary(milliseconds: number): CoreFixture {
    const fixture = new CoreFixture({ classes: slowWrites, entryHostCount: 20 }).start()
    fixture.arrive('assign')
    fixture.advance(milliseconds)
    fixture.ran('r1', [1, 2])
    fixture.answer('b', [1, 2])
    return fixture
  }

  it('refuses a write that is predicted late because of the queue ahead', () => {
    const fixture = withSlowPrimary(60)
    fixture.arrive('assign')
    fixture.arrive('assign')
    const [refusal] = pick(fixture.arrive('assign'), 'refuse')
    expect(refusal?.refusal.reason).toEqual('admission_predicted_late')
    expect(refusal?.refusal.retryAfterMilliseconds).toEqual(20)
  })

  it('admits a write when no other is ahead, whatever the estimate', () => {
    const fixture = withSlowPrimary(180)
    fixture.arrive('assign')
    fixture.advance(10)
    expect(reasonsOf(fixture.arrive('assign'))).toEqual([])
  })

  it('runs the earliest deadline first', () => {
    const classes = [
      classTargets('patient', { access: 'write', latencyMilliseconds: 5000 }),
      classTargets('urgent', { access: 'write', latencyMilliseconds: 50 }),
    ]
    const fixture = new CoreFixture({ classes, entryHostCount: 20 }).start()
    for (const name of ['patient', 'patient', 'urgent']) fixture.arrive(name)
    const next = pick(fixture.ran('r1', [1, 2]), 'run')
    expect(next.map(each => each.request)).toEqual([requestId('r3')])
  })

  it('refuses requests beyond the queue limit', () => {
    const fixture = new CoreFixture({ options: { queueLimit: 2 } })
    fixture.snapshot()
    const reasons = [1, 2, 3].flatMap(() => reasonsOf(fixture.arrive('assign')))
    expect(reasons).toEqual(['queue_full'])
  })

  it('refuses a write whose confirmation is predicted late', () => {
    const fixture = new CoreFixture().start([1, 100])
    for (let step = 1; step <= 4; step += 1) {
      fixture.advance(300)
      fixture.answer('a', [1, 100 + step * 10_000])
      for (const name of ['b', 'c'] as const) fixture.answer(name, [1, 100 + step * 10])
    }
    expect(reasonsOf(fixture.arrive('assign'))).toEqual(['confirmation_predicted_late'])
    // Stale reports cause no refusal.
    fixture.advance(3500)
    expect(serversOf(fixture.arrive('assign'), 'run')).toEqual(['a'])
  })
})

describe('a backend server that fails', () => {
  it('gets no reads after three failures, is reported, and is used again after one answer', () => {
    const fixture = new CoreFixture().start()
    for (let failures = 0; failures < 3; failures += 1) {
      fixture.advance(1000)
      fixture.answer('a', [1, 1])
      fixture.answer('c', [1, 1])
      fixture.send({
        kind: 'positionFailed',
        server: backendServerId('b'),
        askedAt: fixture.clock.now(),
      })
    }
    const health = pick(fixture.effects, 'reportHealth').filter(each => String(each.server) === 'b')
    expect(health.map(each => each.health)).toEqual(['reachable', 'unreachable'])
    const servers = Array.from({ length: 10 }, () => serversOf(fixture.arrive('browse'), 'run')[0])
    expect(servers.includes('b')).toEqual(false)
    fixture.advance(200)
    const effects = fixture.answer('b', [1, 1])
    expect(pick(effects, 'reportHealth').map(each => each.health)).toEqual(['reachable'])
  })

  it('at its connection limit is not retried for a while, and is not reported unreachable', () => {
    const fixture = new CoreFixture()
    fixture.snapshot()
    for (let round = 0; round < 4; round += 1) {
      const opens = fixture.takeAll('open')
      expect(opens.length).toEqual(3)
      for (const { connection } of opens) {
        fixture.send({ kind: 'connectionFailed', connection, failure: 'tooManyConnections' })
      }
      expect(serversOf(fixture.advance(10), 'open')).toEqual([])
      fixture.advance(1500)
    }
    expect(pick(fixture.effects, 'reportHealth')).toEqual([])
  })

  it('that does not respond has its read retried on another server after the class latency', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('browse')
    const [server] = serversOf(fixture.arrive('browse'), 'run')
    expect(server).toEqual('b')
    const connection = connectionOf(fixture, 'r2')
    const effects = fixture.advance(900)
    expect(
      pick(effects, 'close')
        .map(each => each.connection)
        .includes(connection),
    ).toEqual(true)
    const again = fixture.send({
      kind: 'requestBroken',
      request: requestId('r2'),
      partlyAnswered: false,
    })
    expect(reasonsOf(again)).toEqual([])
  })

  /** One connection hangs while its server answers questions: its caller would wait forever. */
  for (const workClass of ['browse', 'assign']) {
    it(`that holds one ${workClass} for a minute has it refused`, () => {
      const fixture = new CoreFixture().start()
      fixture.arrive(workClass)
      const reasons: string[] = []
      for (let step = 0; step < 310; step += 1) {
        reasons.push(...reasonsOf(fixture.advance(200)))
        for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
      }
      expect(reasons).toEqual(['deadline_while_running'])
    })
  }
})

describe('reads', () => {
  /** Without traffic only the proxy's own questions keep the age of each server's data known. */
  it('find a server of known age after an hour without any request', () => {
    const fixture = new CoreFixture().start()
    for (let step = 0; step < 60; step += 1) {
      fixture.advance(60_000)
      for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
    }
    expect(serversOf(fixture.arrive('browse'), 'run').length).toEqual(1)
  })

  /** A read waits a second for the only connection; by then the age of the data is unknown. */
  it('do not run when the data grew too old for their class while they were queued', () => {
    const classes = [classTargets('patient', { latencyMilliseconds: 5000, replicaReadShare: 0 })]
    const fixture = new CoreFixture({ classes, entryHostCount: 20 }).start()
    fixture.arrive('patient')
    fixture.arrive('patient')
    fixture.advance(1200)
    expect(serversOf(fixture.ran('r1'), 'run')).toEqual([])
    expect(serversOf(fixture.answer('a', [1, 1]), 'run')).toEqual([])
    expect(serversOf(fixture.answer('b', [1, 1]), 'run')).toEqual(['a'])
  })

  it('go to a replica once a third answer lowers their bound', () => {
    const classes = [classTargets('lookup', { freshnessMilliseconds: 0, replicaReadShare: 1 })]
    const fixture = new CoreFixture({ classes }).start()
    fixture.arrive('lookup')
    fixture.answer('a', [1, 9])
    expect(serversOf(fixture.answer('b', [1, 7]), 'run')).toEqual([])
    fixture.advance(20)
    expect(serversOf(fixture.answer('c', [1, 8]), 'run')).toEqual(['c'])
  })

  it('prefer servers of the same zone, then of the same region, then of another region', () => {
    const fixture = new CoreFixture({
      classes: [classTargets('browse', { replicaReadShare: 1 })],
    }).start()
    expect(serversOf(fixture.arrive('browse'), 'run')).toEqual(['b'])
    fixture.ran('r1')
    fixture.send({ kind: 'sessionEnded', session: sessionId('s'), database: 'berths' as never })
    for (let failures = 0; failures < 3; failures += 1) {
      fixture.advance(1000)
      fixture.answer('a', [1, 1])
      fixture.answer('c', [1, 1])
      fixture.send({
        kind: 'positionFailed',
        server: backendServerId('b'),
        askedAt: fixture.clock.now(),
      })
    }
    expect(serversOf(fixture.arrive('browse'), 'run')).toEqual(['c'])
  })
})

describe('explain', () => {
  it('lists for a class which servers are fresh enough', () => {
    const fixture = new CoreFixture().start()
    const { lines } = fixture.core.explain(
      { kind: 'class', database: 'berths' as never, class: 'browse' as never },
      fixture.clock.now(),
    )
    expect(lines[0]).toEqual('up to 0.9 of its reads may go to replicas')
    expect(lines.filter(line => line.includes('fresh enough')).length).toEqual(3)
  })
})
