import { describe, it } from 'node:test'
import { expect } from 'earl'
import { logPosition, milliseconds } from '@nutmegcourse/shared'
import { CommandPipeline, statementId, type BackendReply } from '../src/host/index.js'

const START = logPosition(3, 7)

/** What is sent behind a read whose answer ends with `end`, so long after the session's start. */
function sentBehind(afterMilliseconds: number, end: BackendReply['position']): readonly string[] {
  let now = 1000
  const sent: string[] = []
  const pipeline = new CommandPipeline({ now: () => milliseconds(now) }, ({ kind }) => {
    sent.push(kind)
  })
  pipeline.begin(START)
  now += afterMilliseconds
  const id = statementId('r1')
  void pipeline.run({ kind: 'forward', id, effect: 'read', text: 'READ a', after: null })
  const outcome = { kind: 'done', signature: '7.r1' } as const
  pipeline.receive({ rows: [], outcome, status: 'idle', position: end })
  return sent.slice(1)
}

// Guards against reads that are all confirmed, for as long as nothing is written.
describe('an answer that ends with the state of the session start', () => {
  const cases: readonly (readonly [string, number, BackendReply['position'], readonly string[]])[] =
    [
      ['is confirmed', 0, START, ['prepare']],
      ['is confirmed for 30 s', 29_999, START, ['prepare']],
      ['is passed on after 30 s', 30_000, START, []],
      ['is passed on if the log has moved', 0, logPosition(3, 8), []],
      ['is passed on without a position', 0, null, []],
    ]
  for (const [what, after, end, sent] of cases) {
    it(what, () => {
      expect(sentBehind(after, end)).toEqual([...sent])
    })
  }
})
