import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MAX_RETURN_MILLISECONDS, type StatementFailure } from '@nutmegcourse/state'
import { withoutAccess } from '../src/accessRefusals.js'
import { refused, type StatementRequest } from '../src/statements.js'

function requestAfter(waitMilliseconds: number, schedulesSlots: boolean): StatementRequest {
  return {
    service: { schedulesSlots },
    route: { name: 'r' },
    timing: { newsMilliseconds: 0, connectionMilliseconds: waitMilliseconds, tries: 0 },
  } as unknown as StatementRequest
}

function adviceOf(request: StatementRequest, failure: StatementFailure): string {
  const { answer } = refused(request, 'notRun', failure)
  return answer.kind === 'refused' ? answer.detail : answer.kind
}

describe('the retry delay of a refusal', () => {
  const OVERLOADED: StatementFailure = { kind: 'overloaded', waitMilliseconds: 731.2 }
  const NOT_SENT: StatementFailure = { kind: 'notSent' }
  const BUSY: StatementFailure = { kind: 'refused', refusal: 'busy' }
  const BEHIND: StatementFailure = { kind: 'refused', refusal: 'behind' }

  /** How long the statement waited for a connection, and the detail with and without scheduled slots. */
  const cases: readonly (readonly [string, StatementFailure, number, string, string])[] = [
    ['as admission told', OVERLOADED, 0, 'overloaded|732', 'overloaded|732'],
    ['as long as it waited in vain', NOT_SENT, 940.5, 'notSent|941', 'notSent|250'],
    ['short after a short wait', NOT_SENT, 20, 'notSent|250', 'notSent|250'],
    [
      'no longer than callers have time',
      NOT_SENT,
      9000,
      `notSent|${String(MAX_RETURN_MILLISECONDS)}`,
      'notSent|250',
    ],
    ['as long as it waited before the server was full', BUSY, 600, 'busy|600', 'busy|250'],
    ['short if only a replica was behind', BEHIND, 600, 'behind|250', 'behind|250'],
  ]
  for (const [name, failure, wait, scheduled, unscheduled] of cases) {
    it(`is ${name}: ${failure.kind} after ${String(wait)} ms`, () => {
      const detailOf = (expected: string): string =>
        `r: ${expected.replace('|', ' retry_after_ms=')}`
      expect(adviceOf(requestAfter(wait, true), failure)).toEqual(detailOf(scheduled))
      expect(adviceOf(requestAfter(wait, false), failure)).toEqual(detailOf(unscheduled))
    })
  }

  it('is that of its own refusal, not that of an earlier attempt', () => {
    const result = withoutAccess(requestAfter(600, true), 'singleRead', BUSY, {
      kind: 'overloaded',
      waitMilliseconds: 731.2,
    })
    expect(result?.answer.kind === 'refused' ? result.answer.detail : null).toEqual(
      'r: overloaded retry_after_ms=732',
    )
  })
})
