import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'
import {
  GrantSearch,
  HolderSilence,
  IdleMap,
  type HolderAnswer,
  type HolderState,
  type LimitHolder,
  type SearchResult,
} from '../../src/index.js'

const NAMES = ['h1', 'h2', 'h3', 'h4', 'h5']

const GRANTED: HolderAnswer = { kind: 'granted' }
const SPENT: HolderAnswer = { kind: 'spent', waitMilliseconds: 80 }
const DECLINED: HolderAnswer = { kind: 'declined' }

const holders = (states: readonly HolderState[], spent: readonly number[] = []): LimitHolder[] =>
  states.map((state, index) => ({
    name: NAMES[index] ?? '',
    state,
    spentMilliseconds: spent[index] ?? 0,
  }))

const READY: readonly HolderState[] = ['ready', 'ready', 'ready', 'ready', 'ready']

describe('the search for a holder that grants an operation', () => {
  const firstAsked: readonly (readonly [string, LimitHolder[], readonly string[]])[] = [
    ['the nearest holder first', holders(READY), ['h1']],
    ['no holder that is known to be silent', holders(['silent', 'ready', 'ready']), ['h2']],
    ['no holder whose part is exhausted', holders(READY, [90]), ['h2']],
    [
      'a probed holder together with the next one',
      holders(['probed', 'ready', 'ready']),
      ['h1', 'h2'],
    ],
    ['holders with overdue answers after the others', holders(['slow', 'ready', 'ready']), ['h2']],
    ['holders with overdue answers if there are no others', holders(['slow', 'silent']), ['h1']],
    ['nobody if all are silent', holders(['silent', 'silent']), []],
  ]
  for (const [name, given, asked] of firstAsked) {
    it(`asks ${name}`, () => {
      expect(new GrantSearch(given).next()).toEqual(asked)
    })
  }

  const outcomes: readonly (readonly [
    string,
    LimitHolder[],
    readonly HolderAnswer[],
    SearchResult['kind'],
  ])[] = [
    ['one of five parts is exhausted', holders(READY), [SPENT, GRANTED], 'granted'],
    ['all parts are exhausted', holders(READY), [SPENT, SPENT, SPENT, SPENT, SPENT], 'spent'],
    [
      'two of five holders do not answer',
      holders(READY),
      [DECLINED, SPENT, DECLINED, SPENT, SPENT],
      'spent',
    ],
    [
      'three of five holders do not answer',
      holders(READY),
      [DECLINED, SPENT, DECLINED, SPENT, DECLINED],
      'unknown',
    ],
    ['all parts are known to be exhausted', holders(READY, [90, 50, 70, 60, 80]), [], 'spent'],
    [
      'one part is exhausted and the others are silent',
      holders(['ready', 'silent', 'silent', 'silent', 'silent'], [90]),
      [],
      'unknown',
    ],
    [
      'no holder is reachable',
      holders(['silent', 'silent', 'silent', 'silent', 'silent']),
      [],
      'unknown',
    ],
    ['the customer has no holders', [], [], 'unknown'],
  ]
  for (const [name, given, answers, kind] of outcomes) {
    it(`results in ${kind} if ${name}`, () => {
      const search = new GrantSearch(given)
      for (const answer of answers) {
        expect(search.result).toEqual(null)
        const [holder = ''] = search.next()
        search.receive(holder, answer)
      }
      expect(search.result?.kind).toEqual(kind)
    })
  }

  it('reports the shortest wait of the parts', () => {
    const { result } = new GrantSearch(holders(READY, [90, 50, 70, 60, 80]))
    expect(result).toEqual({ kind: 'spent', waitMilliseconds: 50 })
  })

  it('accepts the answer of a holder that is overdue', () => {
    const search = new GrantSearch(holders(READY))
    search.next()
    search.expectNone('h1')
    search.next()
    search.receive('h1', GRANTED)
    expect([search.result?.kind, search.next()]).toEqual(['granted', []])
  })

  // Guards against an operation that is refused while its token is on the way, and so is lost to the customer.
  const stillAnswering: readonly (readonly [string, LimitHolder[]])[] = [
    ['becomes overdue', holders(READY, [90, 90, 90, 90])],
    ['owed an answer before', holders(['ready', 'ready', 'ready', 'ready', 'slow'], [9, 9, 9, 9])],
  ]
  for (const [name, given] of stillAnswering) {
    it(`accepts the answer of a holder that ${name} when all other parts are exhausted`, () => {
      const search = new GrantSearch(given)
      expect(search.next()).toEqual(['h5'])
      search.expectNone('h5')
      expect(search.result).toEqual(null)
      search.receive('h5', GRANTED)
      expect(search.result?.kind).toEqual('granted')
    })
  }

  it('does not wait for a silent holder once most parts are known to be exhausted', () => {
    const search = new GrantSearch(
      holders(['probed', 'ready'], [0, 0, 0]).concat(holders(READY, [9, 9, 9])),
    )
    for (let asked = search.next(); asked.length > 0; asked = search.next()) {
      for (const name of asked) if (name !== 'h1') search.receive(name, SPENT)
    }
    expect(search.result?.kind).toEqual('spent')
  })
})

describe('a holder that does not answer', () => {
  it('is asked last, then not at all, then by one operation a second until it answers', () => {
    const silence = new HolderSilence()
    const stateAt = (at: number): HolderState => silence.stateOf('h1', milliseconds(at))
    expect(stateAt(0)).toEqual('ready')
    silence.recordDelay('h1')
    expect(stateAt(60)).toEqual('slow')
    silence.recordSilence('h1', milliseconds(200))
    expect([stateAt(200), stateAt(1199), stateAt(1200)]).toEqual(['silent', 'silent', 'probed'])
    silence.recordRequest('h1', milliseconds(1200))
    expect([stateAt(1200), stateAt(2200)]).toEqual(['silent', 'probed'])
    silence.recordAnswer('h1')
    expect(stateAt(2201)).toEqual('ready')
  })
})

describe('a holder that answers late', () => {
  it('is asked last and waited for, for a second or until it answers in time', () => {
    const silence = new HolderSilence()
    const at = (now: number): readonly [HolderState, boolean] => [
      silence.stateOf('h1', milliseconds(now)),
      silence.answersLate('h1', milliseconds(now)),
    ]
    silence.recordDelay('h1')
    expect(at(60)).toEqual(['slow', false])
    silence.recordLateAnswer('h1', milliseconds(80))
    expect(at(80)).toEqual(['slow', true])
    expect(at(1079)).toEqual(['slow', true])
    expect(at(1080)).toEqual(['ready', false])
    silence.recordLateAnswer('h1', milliseconds(2000))
    silence.recordAnswer('h1')
    expect(at(2001)).toEqual(['ready', false])
  })

  it('is no longer waited for once it is silent', () => {
    const silence = new HolderSilence()
    silence.recordLateAnswer('h1', milliseconds(80))
    silence.recordSilence('h1', milliseconds(280))
    expect([
      silence.stateOf('h1', milliseconds(280)),
      silence.answersLate('h1', milliseconds(280)),
    ]).toEqual(['silent', false])
  })
})

describe('a map that forgets', () => {
  // Guards against memory that grows with every customer that ever sent an operation.
  it('holds no more entries than are in use with 10,000 customers', () => {
    const map = new IdleMap<number, { isIdle(now: number): boolean }>()
    let most = 0
    for (let each = 0; each < 10_000; each += 1) {
      const now = milliseconds(each * 10)
      map.forgetIdle(now)
      map.use(each, () => ({ isIdle: at => at > now + 1000 }))
      most = Math.max(most, map.size)
    }
    expect(most <= 102).toEqual(true)
  })
})
