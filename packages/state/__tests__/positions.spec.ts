import { describe, it } from 'node:test'
import { expect } from 'earl'
import { LOG_START, backendServerId, logPosition, milliseconds, term } from '@nutmegcourse/shared'
import { sessionId, type LogPosition } from '@nutmegcourse/shared'
import { BoundHistory, NEVER } from '../src/boundHistory.js'
import { GroupMembers } from '../src/groupMembers.js'
import { PositionTracker } from '../src/positionTracker.js'
import { SessionPositions } from '../src/sessionPositions.js'
import { containsWrite } from '../src/termHistory.js'
import { SERVERS, listedServer, type ServerName } from './coreFixture.js'

type Position = readonly [number, number]
interface Answer {
  readonly server: ServerName
  readonly position: Position
  readonly asked: number
  readonly fenced?: number
}

const at = ([termNumber, offset]: Position): LogPosition => logPosition(termNumber, offset)
const answer = (server: ServerName, position: Position, asked = 1): Answer => ({
  server,
  position,
  asked,
})

function trackerWith(answers: readonly Answer[], servers: readonly string[] = SERVERS) {
  const tracker = new PositionTracker()
  tracker.setServers(servers.map(backendServerId), servers.length)
  for (const { server, position, asked, fenced } of answers) {
    const fencedTerm = term(fenced ?? position[0])
    const report = { role: 'replica', position: at(position), fencedTerm } as const
    tracker.record(backendServerId(server), report, milliseconds(asked), asked)
  }
  return tracker
}

describe('PositionTracker.boundAskedSince', () => {
  const cases = [
    {
      name: 'is unknown after one answer of three',
      answers: [answer('a', [1, 9])],
      since: 1,
      bound: null,
    },
    {
      name: 'is the greater of two answers',
      answers: [answer('a', [1, 9]), answer('b', [1, 7])],
      since: 1,
      bound: [1, 9],
    },
    {
      name: 'is the second lowest of three answers, since any two are a majority',
      answers: [answer('a', [1, 9]), answer('b', [1, 7]), answer('c', [1, 8])],
      since: 1,
      bound: [1, 8],
    },
    {
      name: 'ignores answers to questions sent before',
      answers: [answer('a', [1, 9], 5), answer('b', [1, 7], 4)],
      since: 5,
      bound: null,
    },
    {
      name: 'orders a later term past every offset of an earlier one',
      answers: [answer('a', [1, 90]), answer('b', [2, 7])],
      since: 1,
      bound: [2, 7],
    },
  ] as const
  for (const { name, answers, since, bound } of cases) {
    it(name, () => {
      const found = trackerWith(answers).boundAskedSince(since)
      expect(found).toEqual(bound === null ? null : at(bound))
    })
  }
})

/**
 * The platform's list loses entries, or shows a server's successor before the server is gone. A
 * primary that is listed alone would be a majority by itself, and its writes would be lost with it.
 */
describe('GroupMembers', () => {
  const live = (name: ServerName) => listedServer(name)
  const leaving = (name: ServerName) => listedServer(name, { state: 'leaving' })
  const whole = SERVERS.map(live)
  const cases = [
    { name: 'counts three listed servers', lists: [whole], size: 3 },
    {
      name: 'counts two servers that disappeared without leaving',
      lists: [whole, [live('a')]],
      size: 3,
    },
    {
      name: 'does not count a server that left',
      lists: [whole, [live('a'), live('b'), leaving('c')], [live('a'), live('b')]],
      size: 2,
    },
    {
      name: 'counts a server that disappeared and returned only once',
      lists: [whole, [live('a'), live('b')], whole],
      size: 3,
    },
    {
      name: 'counts the successor of a server that left, without that server',
      lists: [whole.slice(0, 2), [live('a'), leaving('b'), live('c')], [live('a'), live('c')]],
      size: 2,
    },
    {
      name: 'counts the successor of a server that disappeared, and that server',
      lists: [whole.slice(0, 2), [live('a'), live('c')]],
      size: 3,
    },
  ]
  for (const { name, lists, size } of cases) {
    it(name, () => {
      const members = new GroupMembers()
      for (const list of lists) members.update(list)
      expect(members.size).toEqual(size)
    })
  }
})

describe('PositionTracker.confirmedOffset', () => {
  const cases = [
    {
      name: 'counts a replica whose log ends in the term',
      answers: [answer('b', [1, 7])],
      offset: 7,
    },
    {
      name: 'is the offset of the replica that is further ahead',
      answers: [answer('b', [1, 7]), answer('c', [1, 8])],
      offset: 8,
    },
    {
      name: "does not count the primary's own report a second time",
      answers: [answer('a', [1, 9])],
      offset: -1,
    },
    /**
     * A replica is fenced for a third term and copies the first term's records from its primary.
     * Counting it would acknowledge a write that the log of the second term's primary, once that is
     * back, outranks.
     */
    {
      name: 'ignores a replica that is fenced at a later term',
      answers: [{ ...answer('b', [1, 7]), fenced: 3 }],
      offset: -1,
    },
    {
      name: 'ignores a log that ends in another term',
      answers: [answer('b', [2, 50])],
      offset: -1,
    },
  ]
  for (const { name, answers, offset } of cases) {
    it(name, () => {
      const confirmed = trackerWith(answers).confirmedOffset(term(1), backendServerId('a'))
      expect(Number(confirmed)).toEqual(offset)
    })
  }
})

describe('a group of one backend server', () => {
  // In a database with a single server every write ran but ended in "outcome unknown", because the
  // primary is the whole majority there and only the reports of other servers were counted.
  it('confirms what its primary ran', () => {
    const tracker = new PositionTracker()
    tracker.setServers([backendServerId('a')], 1)
    const confirmed = tracker.confirmedOffset(term(1), backendServerId('a'))
    expect(Number(confirmed)).toBeGreaterThanOrEqual(7)
  })
})

describe('PositionTracker.majorityTerm', () => {
  const cases = [
    { name: 'is the term at which two logs end and are fenced', fenced: [2, 2], expected: term(2) },
    {
      name: 'is null when one of two servers is fenced at a later term',
      fenced: [2, 3],
      expected: null,
    },
  ] as const
  for (const { name, fenced, expected } of cases) {
    it(name, () => {
      const answers = [
        { ...answer('b', [2, 5]), fenced: fenced[0] },
        { ...answer('c', [2, 4]), fenced: fenced[1] },
      ]
      expect(trackerWith(answers).majorityTerm).toEqual(expected)
    })
  }
})

describe('PositionTracker.freshAsOf', () => {
  it('gives the age of a lagging replica by the newest bound it has reached', () => {
    const tracker = trackerWith([answer('a', [1, 5], 10), answer('b', [1, 5], 10)])
    for (const { server, position, asked } of [
      answer('a', [1, 8], 20),
      answer('b', [1, 8], 20),
      answer('c', [1, 6], 21),
    ]) {
      const report = { role: 'replica', position: at(position), fencedTerm: term(1) } as const
      tracker.record(backendServerId(server), report, milliseconds(asked), asked)
    }
    expect(Number(tracker.freshAsOf(backendServerId('c')))).toEqual(10)
    expect(Number(tracker.freshAsOf(backendServerId('b')))).toEqual(20)
  })
})

describe('BoundHistory', () => {
  it('drops bounds that a later and lower one makes redundant', () => {
    const history = new BoundHistory()
    history.add(milliseconds(10), at([1, 9]))
    history.add(milliseconds(20), at([1, 7]))
    expect(history.asOf(at([1, 7]))).toEqual(milliseconds(20))
    expect(history.asOf(at([1, 6]))).toEqual(NEVER)
  })

  it('stays accurate for recent positions over a long time', () => {
    const history = new BoundHistory()
    for (let time = 1; time <= 10_000; time += 1) history.add(milliseconds(time), at([1, time]))
    const found = history.asOf(at([1, 9990]))
    expect(found <= 9990 && found > 9900).toEqual(true)
    expect(history.asOf(at([1, 5000])) <= 5000).toEqual(true)
  })
})

describe('containsWrite', () => {
  const start = (termNumber: number, startsAfter: Position) => ({
    term: term(termNumber),
    primary: backendServerId('a'),
    startsAfter: at(startsAfter),
  })
  const starts = [start(2, [1, 5]), start(3, [2, 8]), start(5, [3, 9])]
  const cases = [
    {
      name: 'is held if the next term starts at the write',
      write: [1, 5],
      inTerm: 2,
      expected: 'held',
    },
    {
      name: 'is discarded if the next term starts before the write',
      write: [1, 6],
      inTerm: 2,
      expected: 'discarded',
    },
    { name: 'is held if three later terms contain it', write: [1, 4], inTerm: 5, expected: 'held' },
    {
      name: 'is discarded if an intermediate term lacks it',
      write: [1, 6],
      inTerm: 5,
      expected: 'discarded',
    },
    {
      name: 'is discarded if the log skips its term',
      write: [4, 9],
      inTerm: 5,
      expected: 'discarded',
    },
    {
      name: 'is unknown if the start of the term is not recorded',
      write: [1, 1],
      inTerm: 9,
      expected: 'unknown',
    },
  ] as const
  for (const { name, write, inTerm, expected } of cases) {
    it(name, () => {
      expect(containsWrite(starts, term(inTerm), at(write))).toEqual(expected)
    })
  }
})

describe('SessionPositions', () => {
  it('requires evicted sessions to read what they may have written', () => {
    const sessions = new SessionPositions(2)
    expect(sessions.requiredPosition(sessionId('first'))).toEqual(LOG_START)
    for (const [name, offset] of [
      ['first', 3],
      ['second', 1],
      ['third', 2],
    ] as const) {
      sessions.advance(sessionId(name), at([1, offset]))
    }
    expect(sessions.size).toEqual(2)
    expect(sessions.requiredPosition(sessionId('first'))).toEqual(at([1, 3]))
  })
})
