import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Slots, type MemoryDialer } from '@nutmegcourse/stand-ins'
import { P, withHostFixture } from './support/hostFixture.js'

/** Closes the connections to the primary when it runs a commit. */
function closeAtCommit(dialer: MemoryDialer): void {
  dialer.hooks.onCommand = (server, command) => {
    if (command.kind === 'forward' && command.effect === 'commit') dialer.closeConnections(server)
    return 'none'
  }
}

/** Closes the connections to the primary once it has refused a commit as too busy to run it. */
function closeAfterRefusal(dialer: MemoryDialer): void {
  const full = new Slots(0, 0)
  dialer.hooks.slotsOf = () => {
    setTimeout(() => {
      dialer.closeConnections(P)
    })
    return full
  }
}

describe('a transaction whose connection closes', () => {
  const cases = [
    {
      // Guards against a statement of unknown outcome that was never sent.
      when: 'between two statements',
      close: (dialer: MemoryDialer) => {
        dialer.closeConnections(P)
      },
      outcomes: { 'write b': 'aborted', commit: 'aborted' },
    },
    {
      // Guards against a commit that counts as rolled back and may have run.
      when: 'while the commit is under way',
      close: closeAtCommit,
      outcomes: { commit: 'outcomeUnknown' },
    },
    {
      // Guards against a commit that counts as rolled back because a refusal was taken for its answer.
      when: 'after a refusal of the commit',
      close: closeAfterRefusal,
      outcomes: { commit: 'outcomeUnknown' },
    },
  ]
  for (const { when, close, outcomes } of cases) {
    for (const [next, outcome] of Object.entries(outcomes)) {
      it(`${when} gives ${outcome} to ${next}`, async () => {
        await withHostFixture(1, async (fixture, [host]) => {
          if (host === undefined) throw new Error('no host')
          const caller = await fixture.caller(host, 'latest')
          await caller.run('begin')
          expect(await caller.outcomeOf('write a')).toEqual('done')
          close(fixture.dialer)
          expect(await caller.outcomeOf(next)).toEqual(outcome)
        })
      })
    }
  }
})
