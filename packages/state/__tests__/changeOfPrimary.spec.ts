import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, logPosition, term } from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'
import {
  CoreFixture,
  classTargets,
  groupRecord,
  listedServer,
  pick,
  reasonsOf,
  serversOf,
} from './coreFixture.js'

const [A, B] = [backendServerId('a'), backendServerId('b')]

function record(termNumber: number, given: Partial<GroupRecord> = {}): GroupRecord {
  const start = { term: term(termNumber), primary: B, startsAfter: logPosition(1, 1) }
  return groupRecord({
    term: term(termNumber),
    primary: B,
    termStarts: [...groupRecord().termStarts, start],
    ...given,
  })
}

/** A core whose write ran at term 1, offset 2 on `a` and is not confirmed by any replica. */
function withUnconfirmedWrite(): CoreFixture {
  const fixture = new CoreFixture().start()
  fixture.arrive('assign')
  fixture.ran('r1', [1, 2])
  return fixture
}

/**
 * A primary runs a write and crashes before any replica holds it, or just after. The caller waits
 * for its answer while another server is promoted. Whether the write lasts depends on what the new
 * primary's log began with, and that is final only once a majority follows it.
 */
describe('a write that ran before a change of primary', () => {
  const cases = [
    {
      name: 'is acknowledged when the new term began after it',
      startsAfter: [1, 2],
      majority: true,
      outcome: 'acknowledged',
    },
    {
      name: 'is refused as rolled back when the new term began before it',
      startsAfter: [1, 1],
      majority: true,
      outcome: 'write_rolled_back',
    },
    {
      name: 'stays open until a majority follows the new term',
      startsAfter: [1, 1],
      majority: false,
      outcome: 'open',
    },
  ] as const
  for (const { name, startsAfter, majority, outcome } of cases) {
    it(name, () => {
      const fixture = withUnconfirmedWrite()
      const start = {
        term: term(2),
        primary: B,
        startsAfter: logPosition(startsAfter[0], startsAfter[1]),
      }
      const effects = [
        ...fixture.snapshot(record(2, { termStarts: [start] })),
        ...fixture.advance(20),
        ...fixture.answer('b', [2, startsAfter[1] + 1], { role: 'primary' }),
        ...(majority ? fixture.answer('c', [2, startsAfter[1] + 1]) : []),
      ]
      const acknowledged = pick(effects, 'acknowledge').length > 0
      const refused = reasonsOf(effects)[0] ?? 'open'
      expect(acknowledged ? 'acknowledged' : refused).toEqual(outcome)
    })
  }

  it('times out with an unknown outcome, and reads of its session still require it', () => {
    const fixture = withUnconfirmedWrite()
    expect(reasonsOf(fixture.advance(5100))).toEqual(['confirmation_timeout'])
    for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
    expect(serversOf(fixture.arrive('browse'), 'run')).toEqual([])
  })

  it('is not confirmed by offsets of another term', () => {
    const fixture = withUnconfirmedWrite()
    const effects = fixture.answer('b', [2, 40])
    expect(pick(effects, 'acknowledge')).toEqual([])
  })
})

describe('writes during a change of primary', () => {
  const noPrimary = record(2, { primary: A, phase: { kind: 'fencing', target: null } })
  const promoting = record(2, { primary: A, phase: { kind: 'promoting', chosen: B } })
  const moving = groupRecord({ phase: { kind: 'moving', target: B } })
  const cases = [
    { name: 'wait while the new term is being claimed', given: noPrimary, reason: 'no_primary' },
    {
      name: 'wait while the new primary is being promoted',
      given: promoting,
      reason: 'no_primary',
    },
    { name: 'wait while the primary is being moved', given: moving, reason: 'primary_moving' },
  ]
  for (const { name, given, reason } of cases) {
    it(`${name}, past their class's latency, and are then refused without running`, () => {
      const fixture = new CoreFixture().start()
      fixture.snapshot(given)
      expect(serversOf(fixture.arrive('assign'), 'run')).toEqual([])
      expect(reasonsOf(fixture.advance(2900))).toEqual([])
      expect(reasonsOf(fixture.advance(200))).toEqual([reason])
    })
  }

  it('go to a server that reports itself primary before the agent does', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(promoting)
    fixture.arrive('assign')
    fixture.advance(10)
    expect(serversOf(fixture.answer('b', [2, 2], { role: 'primary' }), 'run')).toEqual(['b'])
  })

  it('run on the new primary after a fenced primary refused them', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('assign')
    const refused = fixture.ran('r1', null, { failed: true, refusedUnrun: true })
    expect(reasonsOf(refused)).toEqual([])
    expect(serversOf(refused, 'run')).toEqual([])
    fixture.answer('a', [1, 1], { fenced: 2 })
    fixture.advance(20)
    expect(serversOf(fixture.answer('b', [2, 2], { role: 'primary' }), 'run')).toEqual(['b'])
  })

  /**
   * The store fails right after a coordinator took the next term, so no coordinator can complete
   * the change. The old primary was never fenced; unless it is used again, no write succeeds until
   * the store is back.
   */
  it('return to an old primary that was never fenced when the change has stalled', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(noPrimary)
    fixture.advance(3900)
    fixture.answer('a', [1, 1])
    fixture.arrive('assign')
    expect(serversOf(fixture.advance(300), 'run')).toEqual(['a'])
  })

  /** A proxy that is cut off from both replicas could never learn that a write is confirmed. */
  it('wait without running while no replica can be asked to confirm them', () => {
    const fixture = new CoreFixture().start()
    for (let failures = 0; failures < 3; failures += 1) {
      fixture.advance(1000)
      for (const server of ['b', 'c']) {
        fixture.send({
          kind: 'positionFailed',
          server: backendServerId(server),
          askedAt: fixture.clock.now(),
        })
      }
      fixture.answer('a', [1, 1])
    }
    const effects = [...fixture.arrive('assign'), ...fixture.advance(2000)]
    fixture.answer('a', [1, 1])
    effects.push(...fixture.advance(1200))
    expect(serversOf(effects, 'run')).toEqual([])
    expect(reasonsOf(effects)).toEqual(['confirmation_predicted_late'])
  })
})

/** An agent that restarted or was cut off sends a snapshot older than the proxy's state. */
describe('an older snapshot', () => {
  it('brings no replaced primary back', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(record(2))
    fixture.snapshot(groupRecord())
    expect(serversOf(fixture.arrive('assign'), 'run')).toEqual(['b'])
  })

  it('brings no replaced targets back', () => {
    const fixture = new CoreFixture().start()
    const targets = (version: number, name: string) => ({
      version,
      changeId: name,
      recentChangeIds: [],
      changedBy: 'test',
      targets: { service: 'quai-sched', classes: [classTargets(name)], defaults: [] },
    })
    fixture.snapshot(undefined, undefined, { targets: targets(3, 'newest') })
    fixture.snapshot(undefined, undefined, { targets: targets(2, 'older') })
    expect(reasonsOf(fixture.arrive('older'))).toEqual(['unknown_class'])
    expect(reasonsOf(fixture.arrive('newest'))).toEqual([])
  })

  it('with an old sequence still applies a newer term', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(undefined, undefined, { sequence: 9 })
    const older = { sequence: 1, entryHostCount: 50 }
    fixture.snapshot(record(2), undefined, older)
    expect(serversOf(fixture.arrive('assign'), 'run')).toEqual(['b'])
  })
})

describe('a primary that was replaced without knowing it', () => {
  /**
   * The primary is cut off together with one proxy while the others promote `b`, where a write is
   * acknowledged. A read through the proxy that is cut off must not be served from the old log.
   */
  it('serves no read that needs a bound', () => {
    const fixture = new CoreFixture().start()
    const effects = [...fixture.arrive('lookup', { roams: true })]
    effects.push(...fixture.answer('a', [1, 1]))
    effects.push(...fixture.advance(3100))
    expect(serversOf(effects, 'run')).toEqual([])
    expect(reasonsOf(effects)).toEqual(['no_bound'])
  })

  it('is no majority by itself when the host list loses the other entries', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(groupRecord(), [listedServer('a')])
    const arrived = [...fixture.arrive('lookup'), ...fixture.arrive('assign')]
    expect(serversOf([...arrived, ...fixture.answer('a', [1, 1])], 'run')).toEqual([])
  })

  it('serves reads only until its data exceeds the age that their class accepts', () => {
    const fixture = new CoreFixture({ options: {} }).start()
    fixture.advance(900)
    expect(serversOf(fixture.arrive('primary_only'), 'run')).toEqual(['a'])
    fixture.ran('r1')
    fixture.answer('a', [1, 1])
    fixture.advance(200)
    expect(serversOf(fixture.arrive('primary_only'), 'run')).toEqual([])
  })
})

describe('a leaving backend server', () => {
  const leaving = (name: 'a' | 'b') =>
    (['a', 'b', 'c'] as const).map(each =>
      listedServer(each, each === name ? { state: 'leaving' } : {}),
    )

  it('gets no new read, keeps its transaction, and has its connections closed once idle', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('browse')
    const running = serversOf(fixture.arrive('browse'), 'run')
    expect(running).toEqual(['b'])
    fixture.ran('r2', null, { transactionOpen: true })
    const closed = pick(fixture.snapshot(groupRecord(), leaving('b')), 'close')
    expect(closed).toEqual([])
    for (let reads = 0; reads < 10; reads += 1) {
      const [server] = serversOf(fixture.arrive('browse'), 'run')
      expect(server === 'b').toEqual(false)
    }
    const connection = pick(fixture.effects, 'run')[1]?.connection
    if (connection === undefined) throw new Error('nothing ran')
    fixture.send({ kind: 'transactionContinued', request: 'last' as never, connection })
    expect(pick(fixture.ran('last'), 'close').map(each => each.connection)).toEqual([connection])
  })

  it('takes writes as the primary only for a short grace period', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(groupRecord(), leaving('a'))
    fixture.openAll()
    expect(
      serversOf([...fixture.arrive('assign'), ...fixture.advance(1)], 'run').length <= 1,
    ).toEqual(true)
    fixture.advance(1600)
    fixture.answer('a', [1, 1])
    expect(serversOf(fixture.arrive('assign'), 'run')).toEqual([])
  })
})
