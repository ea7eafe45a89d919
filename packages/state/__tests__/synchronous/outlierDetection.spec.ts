import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { VirtualClock, backendServerId, type BackendServerId } from '@nutmegcourse/shared'
import { OutlierDetection, type OutlierChange, type ServerFailure } from '../../src/index.js'

const P = backendServerId('primary')
const A = backendServerId('replica-a')
const B = backendServerId('replica-b')
const SERVERS = [P, A, B]

/** 20 statements a second to each server. */
const SEND_INTERVAL_MILLISECONDS = 50
const STEP_MILLISECONDS = 10
const TIMEOUT_MILLISECONDS = 4000

/** What a server makes of its statement with this number; `after`: milliseconds until then. */
interface Reaction {
  readonly result: 'answered' | ServerFailure | 'behind'
  readonly after: number
}
type Behaviour = (index: number) => Reaction

const react = (result: Reaction['result'], after = 30): Behaviour => {
  return () => ({ result, after })
}
const well = react('answered')
const hangs = react('overdue', TIMEOUT_MILLISECONDS)
/** Connections of a mute server are used up after some statements. */
const MUTE_FROM = 104
const every = (count: number, faulty: Behaviour): Behaviour => {
  return index => (index % count === 0 ? faulty(index) : well(index))
}

/** Sends each server its statements, those of ejected servers only as tests, in virtual time. */
class FakeFleet {
  readonly clock = new VirtualClock()
  readonly changes: (OutlierChange & { readonly at: number })[] = []
  readonly detection: OutlierDetection
  readonly #behaviours = new Map<BackendServerId, Behaviour>()
  #due: { readonly at: number; readonly end: () => void }[] = []
  #sentCount = 0

  constructor(servers: readonly BackendServerId[] = SERVERS) {
    this.detection = new OutlierDetection(
      () => servers,
      change => this.changes.push({ ...change, at: this.clock.now() }),
    )
    for (const server of servers) this.#behaviours.set(server, well)
  }

  run(span: number, given: Partial<Record<string, Behaviour>> = {}): void {
    for (const server of this.#behaviours.keys()) {
      this.#behaviours.set(server, given[server] ?? well)
    }
    const end = this.clock.now() + span
    while (this.clock.now() < end) {
      const now = this.clock.advance(STEP_MILLISECONDS)
      const due = this.#due.filter(({ at }) => at <= now)
      this.#due = this.#due.filter(({ at }) => at > now)
      for (const each of due) each.end()
      this.detection.tick(now)
      if (now % SEND_INTERVAL_MILLISECONDS === 0) this.#sendAll()
    }
  }

  #sendAll(): void {
    this.#sentCount += 1
    for (const [server, behaviour] of this.#behaviours) {
      const { detection, clock } = this
      const isUsed = !detection.isEjected(server) || detection.mayTest(server, clock.now())
      if (isUsed) this.#send(server, behaviour(this.#sentCount))
    }
  }

  #send(server: BackendServerId, { result, after }: Reaction): void {
    const { detection, clock } = this
    if (result === 'notOpened') {
      detection.recordNotOpened(server, clock.now())
      return
    }
    const sent = detection.noteSent(
      server,
      server === P ? 'primaryRead' : 'replicaRead',
      clock.now(),
    )
    const end = (): void => {
      if (result === 'answered') detection.recordAnswer(sent, clock.now())
      else if (result === 'behind') detection.recordNeither(sent, clock.now())
      else detection.recordFailure(sent, result, clock.now())
    }
    this.#due.push({ at: clock.now() + after, end })
  }

  firstChange(kind: OutlierChange['kind'], since: number): number {
    return this.changes.find(each => each.kind === kind && each.at > since)?.at ?? Infinity
  }
}

const FAULT_STARTS_AT = 5000
const LIMIT_MILLISECONDS = 2000
/** A server that fails in part is left out again and again meanwhile, for up to 8 s in the longest one. */
const FAULTS_MILLISECONDS = [4000, 13_100, 21_700]

describe('OutlierDetection', () => {
  /** The failure, the server, what it does meanwhile, and the reasons for which it may be left out. */
  const failures: readonly (readonly [string, BackendServerId, Behaviour, string])[] = [
    ['answers every statement with an error', A, react('failed'), 'consecutiveFailures'],
    ['fails a third of its statements', A, every(3, react('failed')), 'failureShare'],
    ['fails a sixth of its statements', A, every(6, react('failed')), 'failureShare'],
    ['is the primary and fails a third', P, every(3, react('failed')), 'failureShare'],
    ['sheds all statements', A, react('busy', 5), 'consecutiveFailures'],
    ['sheds half of its statements', A, every(2, react('busy', 5)), 'busyShare'],
    ['hangs', A, hangs, 'consecutiveFailures'],
    ['is the primary and hangs', P, hangs, 'consecutiveFailures'],
    [
      'is mute',
      A,
      index => (index < MUTE_FROM ? hangs(index) : react('notOpened')(index)),
      'failureShare',
    ],
    ['resets connections', A, react('lost', 10), 'consecutiveFailures'],
    ['resets a third of its connections', A, every(3, react('lost', 10)), 'failureShare'],
    ['accepts no connections', A, react('notOpened'), 'consecutiveFailures'],
    ['answers eight times slower', A, react('answered', 240), 'latency'],
  ]
  for (const [name, server, behaviour, reason, faultMilliseconds] of failures.flatMap(each =>
    FAULTS_MILLISECONDS.map(span => [...each, span] as const),
  )) {
    // Guards against a server that reports itself ready and keeps getting statements while it fails them.
    it(`leaves out a server that ${name} for ${String(faultMilliseconds)} ms, and gives it back`, () => {
      const fleet = new FakeFleet()
      fleet.run(FAULT_STARTS_AT)
      expect(fleet.changes).toEqual([])
      fleet.run(faultMilliseconds, { [server]: behaviour })
      const recoveredAt = fleet.clock.now()
      const noticedAfter = fleet.firstChange('ejected', 0) - FAULT_STARTS_AT
      fleet.run(LIMIT_MILLISECONDS)
      expect(fleet.changes[0]).toEqual(expect.subset({ kind: 'ejected', server, reason }))
      expect(noticedAfter).toEqual(expect.between(0, LIMIT_MILLISECONDS))
      expect(fleet.detection.isEjected(server)).toEqual(false)
      expect(fleet.changes.every(each => each.server === server)).toEqual(true)
      expect(fleet.changes.at(-1)).toEqual(expect.subset({ kind: 'admitted', server }))
      fleet.run(10_000)
      expect(fleet.firstChange('ejected', recoveredAt + LIMIT_MILLISECONDS)).toEqual(Infinity)
    })
  }

  /** The pattern, and what each server does; none of them is to be left out. */
  const patterns: readonly (readonly [string, Partial<Record<string, Behaviour>>])[] = [
    ['all are well', {}],
    ['the own link loses everything', { [P]: hangs, [A]: hangs, [B]: hangs }],
    [
      'an application sends statements that fail everywhere',
      {
        [P]: every(3, react('failed')),
        [A]: every(3, react('failed')),
        [B]: every(2, react('failed')),
      },
    ],
    [
      'the whole service is overloaded',
      { [P]: react('busy', 5), [A]: every(2, react('busy', 5)), [B]: react('busy', 5) },
    ],
    [
      'the whole service is slow',
      { [P]: react('answered', 900), [A]: react('answered', 600), [B]: react('answered', 200) },
    ],
    ['a replica lags behind', { [A]: react('behind', 5) }],
    ['the primary does slower work', { [P]: react('answered', 900) }],
    ['a server sheds a fifth of its statements', { [A]: every(5, react('busy', 5)) }],
    ['a replica takes half as long again', { [A]: react('answered', 45) }],
    ['statements are sent too late to be answered', { [A]: react('overdue', 20) }],
  ]
  for (const [name, behaviours] of patterns) {
    // Guards against work taken from servers that do no worse than the others, or not through their own fault.
    it(`leaves no server out when ${name}`, () => {
      const fleet = new FakeFleet()
      fleet.run(FAULT_STARTS_AT)
      fleet.run(8000, behaviours)
      expect(fleet.changes).toEqual([])
    })
  }

  // Guards against one reset of connections, which is over when it is noticed, counted as many failures.
  it('leaves no server out for a reset of all its connections at once', () => {
    const fleet = new FakeFleet()
    fleet.run(FAULT_STARTS_AT)
    const { detection, clock } = fleet
    const sent = Array.from({ length: 20 }, () => detection.noteSent(A, 'replicaRead', clock.now()))
    for (const each of sent) detection.recordFailure(each, 'lost', clock.now())
    fleet.run(1000)
    expect(fleet.changes).toEqual([])
  })

  // Guards against a service left without servers.
  for (const [count, most] of [
    [1, 0],
    [2, 1],
    [3, 1],
    [5, 2],
  ] as const) {
    it(`leaves out at most ${String(most)} of ${String(count)} servers`, () => {
      const servers = Array.from({ length: count }, (_, index) => backendServerId(String(index)))
      const fleet = new FakeFleet(servers)
      fleet.run(FAULT_STARTS_AT)
      for (const each of [...servers, ...servers]) {
        fleet.run(1000, { [each]: react('failed') })
        expect(fleet.detection.ejectedCount).toEqual(expect.between(0, most))
      }
    })
  }

  it('never leaves out more than half of the servers, whatever they do', () => {
    const result = fc.constantFrom<Reaction['result']>(
      'answered',
      'failed',
      'busy',
      'lost',
      'behind',
    )
    const reaction = fc.record({ result, after: fc.integer({ min: 0, max: 800 }) })
    const run = fc.tuple(fc.integer({ min: 100, max: 2000 }), fc.array(reaction, { maxLength: 5 }))
    const property = fc.property(fc.integer({ min: 1, max: 5 }), fc.array(run), (count, runs) => {
      const servers = Array.from({ length: count }, (_, index) => backendServerId(String(index)))
      const fleet = new FakeFleet(servers)
      for (const [span, reactions] of runs) {
        const behaviours = servers.map((each, index) => [each, () => reactions[index] ?? well(0)])
        fleet.run(span, Object.fromEntries(behaviours) as Record<string, Behaviour>)
        if (fleet.detection.ejectedCount > Math.floor(count / 2)) return false
      }
      return true
    })
    fc.assert(property, { numRuns: 100 })
  })

  // Guards against a server that keeps failing a part and gets its work back after each lucky test.
  it('uses a server that keeps failing a part of its statements less and less', () => {
    const fleet = new FakeFleet()
    fleet.run(FAULT_STARTS_AT)
    let sent = 0
    const countAndFail = (index: number): Reaction => {
      sent += 1
      return every(3, react('failed'))(index)
    }
    fleet.run(20_000, { [A]: countAndFail })
    const all = 20_000 / SEND_INTERVAL_MILLISECONDS
    expect(sent / all).toEqual(expect.between(0, 0.5))
  })

  // Guards against a server that is down and up by turns and gets its full work each time.
  it('leaves a server that is down and up by turns out for longer each time', () => {
    const fleet = new FakeFleet()
    fleet.run(FAULT_STARTS_AT)
    for (let turn = 0; turn < 6; turn += 1) {
      const startedAt = fleet.clock.now()
      fleet.run(3000, { [A]: react('lost', 10) })
      if (turn < 3) expect(fleet.firstChange('ejected', startedAt) - startedAt < 2000).toEqual(true)
      const recoveredAt = fleet.clock.now()
      fleet.run(3000)
      if (turn < 3)
        expect(fleet.firstChange('admitted', recoveredAt) - recoveredAt < 2000).toEqual(true)
    }
    const terms = fleet.changes.flatMap(each =>
      each.kind === 'ejected' ? [each.forMilliseconds] : [],
    )
    expect(terms.slice(0, 5)).toEqual([500, 1000, 2000, 4000, 8000])
    fleet.run(20_000)
    fleet.run(1000, { [A]: react('lost', 10) })
    expect(fleet.changes.at(-1)).toEqual(expect.subset({ kind: 'ejected', forMilliseconds: 500 }))
  })

  // Guards against a hanging server that takes many statements with it each time it is tried again.
  it('tests an ejected server with one statement at a time', () => {
    const fleet = new FakeFleet()
    const { detection, clock } = fleet
    fleet.run(FAULT_STARTS_AT)
    fleet.run(350, { [A]: react('lost', 10) })
    expect([detection.isEjected(A), detection.mayTest(A, clock.now())]).toEqual([true, false])
    expect(detection.mayTest(A, clock.advance(500))).toEqual(true)
    detection.reserveTest(A, clock.now())
    expect(detection.mayTest(A, clock.advance(100))).toEqual(false)
    const test = detection.noteSent(A, 'replicaRead', clock.now())
    expect(detection.mayTest(A, clock.advance(300))).toEqual(false)
    detection.recordFailure(test, 'lost', clock.now())
    expect(detection.mayTest(A, clock.advance(400))).toEqual(false)
    expect(detection.mayTest(A, clock.advance(200))).toEqual(true)
    detection.recordAnswer(detection.noteSent(A, 'replicaRead', clock.now()), clock.now())
    expect(detection.isEjected(A)).toEqual(false)
  })

  // Guards against a host behind a bad link to one server that takes it away from hosts that reach it.
  it('decides for itself alone where a server fails for one zone only', () => {
    const [inZone, elsewhere] = [new FakeFleet(), new FakeFleet()]
    for (const fleet of [inZone, elsewhere]) fleet.run(FAULT_STARTS_AT)
    inZone.run(LIMIT_MILLISECONDS, { [A]: hangs })
    elsewhere.run(LIMIT_MILLISECONDS)
    expect([inZone, elsewhere].map(({ detection }) => detection.isEjected(A))).toEqual([
      true,
      false,
    ])
  })

  // Guards against a stall of this process taken for servers that hang.
  it('does not count statements that were open during a stall of this process', () => {
    const fleet = new FakeFleet()
    fleet.run(FAULT_STARTS_AT)
    const { detection, clock } = fleet
    for (let index = 0; index < 8; index += 1)
      detection.noteSent(A, 'replicaRead', clock.advance(60))
    clock.advance(3000)
    detection.discardOpen()
    for (let index = 0; index < 5; index += 1) detection.tick(clock.advance(60))
    expect(fleet.changes).toEqual([])
  })
})
