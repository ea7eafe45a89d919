import { describe, it } from 'node:test'
import { expect } from 'earl'
import { attemptId, backendServerId, requestId, term } from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'
import { CLASSES, CoreFixture, classTargets, groupRecord } from './coreFixture.js'

const STALLED_MILLISECONDS = 4_000
/** A write of this class may run for longer than a move stalls. */
const SLOW = classTargets('slow', { access: 'write', latencyMilliseconds: 5_000 })

function movingRecord(attempt: string, given: Partial<GroupRecord> = {}): GroupRecord {
  const phase = { kind: 'moving', target: backendServerId('b') } as const
  return groupRecord({ phase, attempt: attemptId(attempt), ...given })
}

const move = (fixture: CoreFixture, attempt = 'first') => fixture.snapshot(movingRecord(attempt))

interface HeldCase {
  readonly name: string
  readonly act: (fixture: CoreFixture) => void
  /** The attempts that were reported before and after `end`. */
  readonly before: readonly string[]
  readonly end?: (fixture: CoreFixture) => void
  readonly after?: readonly string[]
}

const takeReported = (fixture: CoreFixture): readonly string[] =>
  fixture.takeAll('writesHeld').map(({ attempt }) => String(attempt))

describe('a proxy reports that it holds its writes for a planned move', () => {
  const cases: readonly HeldCase[] = [
    {
      // Guards against a coordinator that waits in vain for an idle proxy.
      name: 'at once when none is in flight',
      act: fixture => move(fixture),
      before: ['first'],
    },
    {
      // Guards against a flood of reports, one with each message.
      name: 'once for each attempt',
      act: fixture => {
        move(fixture)
        move(fixture)
        fixture.advance(100)
      },
      before: ['first'],
      end: fixture => {
        fixture.snapshot(groupRecord())
        move(fixture, 'second')
      },
      after: ['second'],
    },
    {
      // Guards against a fence that cuts a write that was sent before the move was known.
      name: 'only after a write in flight has run',
      act: fixture => {
        fixture.arrive('assign')
        move(fixture)
        fixture.advance(10)
      },
      before: [],
      end: fixture => fixture.ran('r1', [1, 2]),
      after: ['first'],
    },
    {
      // Guards against a wait for a write that is known to have failed or broken.
      name: 'after the connection of a write in flight has closed',
      act: fixture => {
        const [run] = fixture.arrive('assign').filter(effect => effect.kind === 'run')
        if (run === undefined) throw new Error('the write does not run')
        move(fixture)
        fixture.send({ kind: 'connectionClosed', connection: run.connection })
      },
      before: ['first'],
    },
    {
      // Guards against a fence that cuts the commit of a transaction.
      name: 'only after an open transaction has ended',
      act: fixture => {
        fixture.arrive('assign')
        fixture.ran('r1', null, { transactionOpen: true })
        move(fixture)
        fixture.advance(10)
      },
      before: [],
      end: fixture => {
        fixture.send({ kind: 'requestAbandoned', request: requestId('r1') })
      },
      after: ['first'],
    },
    {
      // Guards against a move that a caller holds up with a transaction that it leaves open.
      name: 'when an open transaction has been idle for long',
      act: fixture => {
        fixture.arrive('assign')
        fixture.ran('r1', null, { transactionOpen: true })
        move(fixture)
        fixture.advance(200)
      },
      before: [],
      end: fixture => fixture.advance(400),
      after: ['first'],
    },
    {
      // Guards against a move that waits for its own replicas: a write that ran needs no connection.
      name: 'while a write only waits for its confirmation',
      act: fixture => {
        fixture.arrive('assign')
        fixture.ran('r1', [1, 2])
        move(fixture)
      },
      before: ['first'],
    },
    {
      // Guards against a move that waits for the end of a long read.
      name: 'while a read runs on the primary',
      act: fixture => {
        fixture.arrive('primary_only')
        move(fixture)
      },
      before: ['first'],
    },
    {
      // Guards against a report of a proxy that sends writes again, as the move seems to have stalled.
      name: 'not when it uses the old primary again',
      act: fixture => {
        fixture.arrive('slow')
        move(fixture)
        fixture.advance(STALLED_MILLISECONDS)
        fixture.ran('r1', [1, 2])
      },
      before: [],
    },
    {
      // Guards against a report on a record that a newer one has replaced.
      name: 'not when the change has begun',
      act: fixture => {
        fixture.arrive('assign')
        move(fixture)
        fixture.snapshot(
          movingRecord('next', { term: term(2), phase: { kind: 'fencing', target: null } }),
        )
        fixture.ran('r1', [1, 2])
      },
      before: [],
    },
    {
      // Guards against a draining proxy, for which every move would wait.
      name: 'while it stops and still has a write to end',
      act: fixture => {
        fixture.arrive('assign')
        fixture.send({ kind: 'stop' })
        move(fixture)
      },
      before: [],
      end: fixture => fixture.ran('r1', [1, 2]),
      after: ['first'],
    },
  ]
  for (const { name, act, before, end, after = [] } of cases) {
    it(name, () => {
      const fixture = new CoreFixture({ classes: [...CLASSES, SLOW] }).start()
      act(fixture)
      expect(takeReported(fixture)).toEqual([...before])
      end?.(fixture)
      expect(takeReported(fixture)).toEqual([...after])
    })
  }

  // Guards against a report after which the proxy sends a write all the same.
  it('and then starts no write until the move has ended', () => {
    const fixture = new CoreFixture().start()
    move(fixture)
    fixture.arrive('assign')
    fixture.advance(200)
    expect(fixture.takeAll('run')).toEqual([])
    fixture.snapshot(groupRecord())
    expect(fixture.takeAll('run').length).toEqual(1)
  })
})
