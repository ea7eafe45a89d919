import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds, sessionId } from '@nutmegcourse/shared'
import { checkHistory, type FinalContents } from '../src/workload/history.js'
import { longestWriteGap } from '../src/workload/writeGap.js'
import { writeId, type Operation, type Outcome } from '../src/workload/operation.js'

const ACKNOWLEDGED: Outcome = { kind: 'acknowledged' }
const NOT_RUN: Outcome = { kind: 'notRun', reason: 'stopping', retryAfterMilliseconds: 100 }
const UNKNOWN: Outcome = { kind: 'unknown', reason: 'connection_lost' }

const base = (start: number, end: number, outcome: Outcome) => ({
  session: sessionId('judge-1'),
  class: 'score_entry',
  database: 'salon-1',
  startedAt: milliseconds(start),
  endedAt: milliseconds(end),
  outcome,
})
const event = (id: string, outcome: Outcome, start = 0, end = 1): Operation => ({
  kind: 'eventWrite',
  id: writeId(id),
  ...base(start, end, outcome),
})
const raise = (value: number, start: number, end: number, outcome = ACKNOWLEDGED): Operation => ({
  kind: 'counterWrite',
  value,
  ...base(start, end, outcome),
})
const read = (value: number | null, start: number, end: number): Operation => ({
  kind: 'counterRead',
  value,
  servedBy: 'replica',
  ...base(start, end, ACKNOWLEDGED),
})
const finals = (events: readonly string[], counter?: number): ReadonlyMap<string, FinalContents> =>
  new Map([
    [
      'salon-1',
      {
        events,
        counters: new Map(counter === undefined ? [] : [[sessionId('judge-1'), counter]]),
      },
    ],
  ])

describe('checkHistory', () => {
  const clean = { lost: 0, doubled: 0, ranThoughRefused: 0, stale: 0 }
  const cases: {
    name: string
    operations: Operation[]
    end: ReadonlyMap<string, FinalContents>
    found: typeof clean
  }[] = [
    {
      name: 'no violation in a correct run',
      operations: [event('a', ACKNOWLEDGED)],
      end: finals(['a']),
      found: clean,
    },
    {
      name: 'a lost event',
      operations: [event('a', ACKNOWLEDGED)],
      end: finals([]),
      found: { ...clean, lost: 1 },
    },
    {
      name: 'a duplicated event, even one of unknown outcome',
      operations: [event('a', UNKNOWN)],
      end: finals(['a', 'a']),
      found: { ...clean, doubled: 1 },
    },
    {
      name: 'an event that ran although it was refused as not run',
      operations: [event('a', NOT_RUN)],
      end: finals(['a']),
      found: { ...clean, ranThoughRefused: 1 },
    },
    {
      name: 'no violation in unknown outcomes, stored or not',
      operations: [event('a', UNKNOWN), event('b', UNKNOWN)],
      end: finals(['a']),
      found: clean,
    },
    {
      name: 'a counter below its acknowledged value',
      operations: [raise(2, 0, 1)],
      end: finals([], 1),
      found: { ...clean, lost: 1 },
    },
    {
      name: 'a read that missed an earlier write of its session',
      operations: [raise(2, 0, 1), read(1, 2, 3)],
      end: finals([], 2),
      found: { ...clean, stale: 1 },
    },
    {
      name: 'no violation in a stale read that overlaps the write',
      operations: [raise(2, 0, 5), read(1, 2, 6)],
      end: finals([], 2),
      found: clean,
    },
  ]
  for (const { name, operations, end, found } of cases) {
    it(`finds ${name}`, () => {
      const result = checkHistory(operations, end)
      expect({
        lost: result.lost.length,
        doubled: result.doubled.length,
        ranThoughRefused: result.ranThoughRefused.length,
        stale: result.staleReads.length,
      }).toEqual(found)
    })
  }
})

describe('longestWriteGap', () => {
  // The primary fails at 100. An answer in transit arrives at 105, and the next acknowledged write
  // ends at 700, so the gap lasts from 105 to 700.
  it('starts the gap at an answer that was still in transit when the primary failed', () => {
    const operations = [
      event('a', ACKNOWLEDGED, 0, 90),
      event('b', ACKNOWLEDGED, 0, 105),
      event('c', UNKNOWN, 95, 300),
      event('d', ACKNOWLEDGED, 96, 700),
      event('e', ACKNOWLEDGED, 96, 900),
    ]
    const gap = longestWriteGap(operations, 'salon-1', milliseconds(100))
    expect(gap).toEqual(595)
  })

  it('is 0 with fewer than two acknowledgements', () => {
    const operations = [event('a', ACKNOWLEDGED, 0, 90)]
    const gap = longestWriteGap(operations, 'salon-1', milliseconds(0))
    expect(gap).toEqual(0)
  })
})
