import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  recoveryFor,
  type RecoveryAction,
  type StatementFailure,
  type StatementPlace,
} from '../../src/index.js'

const PLACES: readonly StatementPlace[] = [
  'singleRead',
  'singleWrite',
  'firstOfTransaction',
  'withinTransaction',
  'commit',
]

const FAILURES: readonly StatementFailure[] = [
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

/** Formats a cell: `r:x` retry, else answer x; `h:x` retry on the same connection, else x; `x` answer x. */
function format(recovery: RecoveryAction): string {
  switch (recovery.kind) {
    case 'retry':
      return `r:${recovery.otherwise}`
    case 'retryHere':
      return `h:${recovery.otherwise}`
    case 'answer':
      return recovery.refusal
  }
}

/**
 * Guards against a caller that is answered that its write was not run, retries, and finds it applied twice; or that
 * is answered that the outcome is unknown when nothing can have been kept. The whole table is written out,
 * one row per failure and one column per place, for a transaction that is still open.
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

const nameOf = (failure: StatementFailure): string =>
  failure.kind === 'refused' ? failure.refusal : failure.kind

describe('recoveryFor', () => {
  for (const failure of FAILURES) {
    it(`handles ${nameOf(failure)} in each place`, () => {
      const row = PLACES.map(place => format(recoveryFor(place, failure, true)))
      expect(row).toEqual([...(TABLE[nameOf(failure)] ?? [])])
    })
  }

  it('does not retry in a transaction that a busy server ended', () => {
    const busy: StatementFailure = { kind: 'refused', refusal: 'busy' }
    expect(format(recoveryFor('withinTransaction', busy, false))).toEqual('aborted')
    expect(format(recoveryFor('commit', busy, false))).toEqual('aborted')
  })

  it('never answers that nothing was kept once a write or commit was sent and not answered', () => {
    const nothingKept = ['notRun', 'aborted', 'tooManyCallers', 'readOnly']
    for (const place of ['singleWrite', 'commit'] as const) {
      for (const failure of FAILURES.filter(({ kind }) => kind === 'lost' || kind === 'overdue')) {
        const recovery = recoveryFor(place, failure, true)
        expect(recovery.kind === 'answer' && !nothingKept.includes(recovery.refusal)).toEqual(true)
      }
    }
  })
})
