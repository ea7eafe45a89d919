import { describe, it } from 'node:test'
import { expect } from 'earl'
import { fateOf, type Fate, type Mishap, type StatementPlace } from '../../src/index.js'

const PLACES: readonly StatementPlace[] = [
  'singleRead',
  'singleWrite',
  'firstOfTransaction',
  'withinTransaction',
  'commit',
]

const MISHAPS: readonly Mishap[] = [
  { kind: 'notSent' },
  { kind: 'overloaded', waitMilliseconds: 500 },
  { kind: 'unconfirmed' },
  { kind: 'refused', refusal: 'busy' },
  { kind: 'refused', refusal: 'behind' },
  { kind: 'refused', refusal: 'notPrimary' },
  { kind: 'refused', refusal: 'unknownStatement' },
  { kind: 'refused', refusal: 'failed' },
  { kind: 'refused', refusal: 'timeout' },
  { kind: 'refused', refusal: 'wrongServer' },
  { kind: 'refused', refusal: 'tooManyConnections' },
  { kind: 'refused', refusal: 'other' },
  { kind: 'lost', failure: 'connectionLost' },
  { kind: 'overdue' },
]

/** How a cell is written: `r:x` retry and else x, `h:x` retry on the same connection, else the answer. */
function write(fate: Fate): string {
  switch (fate.kind) {
    case 'retry':
      return `r:${fate.otherwise}`
    case 'retryHere':
      return `h:${fate.otherwise}`
    case 'answer':
      return fate.refusal
  }
}

/**
 * Story: a caller is told that its write was not run, tries again, and finds it twice; or it is told
 * that the outcome is unknown of something that surely left nothing. The whole table is written out,
 * one row a mishap and one column a place, for a transaction that still stands.
 */
const TABLE: Readonly<Record<string, readonly string[]>> = {
  notSent: ['r:notRun', 'r:notRun', 'r:notRun', 'aborted', 'aborted'],
  overloaded: ['notRun', 'notRun', 'notRun', 'aborted', 'aborted'],
  unconfirmed: ['notRun', 'notRun', 'notRun', 'aborted', 'aborted'],
  busy: ['r:notRun', 'r:notRun', 'r:notRun', 'h:aborted', 'h:aborted'],
  behind: ['r:notRun', 'r:notRun', 'r:notRun', 'aborted', 'aborted'],
  notPrimary: ['r:notRun', 'r:notRun', 'r:notRun', 'aborted', 'aborted'],
  unknownStatement: ['r:notRun', 'r:notRun', 'r:notRun', 'aborted', 'aborted'],
  failed: ['r:failed', 'failed', 'aborted', 'aborted', 'failed'],
  timeout: ['r:timeout', 'outcomeUnknown', 'aborted', 'aborted', 'outcomeUnknown'],
  wrongServer: ['timeout', 'outcomeUnknown', 'aborted', 'aborted', 'outcomeUnknown'],
  tooManyConnections: ['timeout', 'outcomeUnknown', 'aborted', 'aborted', 'outcomeUnknown'],
  other: ['timeout', 'outcomeUnknown', 'aborted', 'aborted', 'outcomeUnknown'],
  lost: ['r:timeout', 'outcomeUnknown', 'r:aborted', 'aborted', 'outcomeUnknown'],
  overdue: ['timeout', 'outcomeUnknown', 'aborted', 'aborted', 'outcomeUnknown'],
}

const nameOf = (mishap: Mishap): string =>
  mishap.kind === 'refused' ? mishap.refusal : mishap.kind

describe('fateOf', () => {
  for (const mishap of MISHAPS) {
    it(`after ${nameOf(mishap)}`, () => {
      const row = PLACES.map(place => write(fateOf(place, mishap, true)))
      expect(row).toEqual([...(TABLE[nameOf(mishap)] ?? [])])
    })
  }

  it('does not try again in a transaction that a full server ended', () => {
    const busy: Mishap = { kind: 'refused', refusal: 'busy' }
    expect(write(fateOf('withinTransaction', busy, false))).toEqual('aborted')
    expect(write(fateOf('commit', busy, false))).toEqual('aborted')
  })

  it('never promises that nothing is kept once a write or commit was sent and not answered', () => {
    const promises = ['notRun', 'aborted', 'tooManyCallers', 'readOnly']
    for (const place of ['singleWrite', 'commit'] as const) {
      for (const mishap of MISHAPS.filter(({ kind }) => kind === 'lost' || kind === 'overdue')) {
        const fate = fateOf(place, mishap, true)
        expect(fate.kind === 'answer' && !promises.includes(fate.refusal)).toEqual(true)
      }
    }
  })
})
