import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { WriteConfirmation, type WriteOutcome } from '../../src/synchronous/index.js'

const at = (time: number): Milliseconds => milliseconds(time)

/** The usual duration of a statement at the server. */
const USUAL_MILLISECONDS = 40

describe('WriteConfirmation', () => {
  /** When writes were sent and when confirmed, the time of the check, and whether a write may be sent. */
  const cases: readonly (readonly [
    string,
    readonly (readonly [number, number | null])[],
    number,
    boolean,
  ])[] = [
    ['nothing was written', [], 1000, true],
    ['a write has waited no longer than is usual under load', [[0, null]], 200, true],
    ['a write has waited too long', [[0, null]], 301, false],
    [
      'a later write was confirmed meanwhile',
      [
        [0, null],
        [50, 150],
      ],
      400,
      true,
    ],
    [
      'only an earlier write was confirmed',
      [
        [0, 20],
        [50, null],
      ],
      400,
      false,
    ],
    ['all writes have ended', [[0, 350]], 1000, true],
  ]
  for (const [name, writes, now, isAllowed] of cases) {
    it(`${isAllowed ? 'allows a write' : 'holds writes back'} when ${name}`, () => {
      const confirmation = new WriteConfirmation()
      for (const [sentAt, confirmedAt] of writes) {
        const write = confirmation.noteSent(at(sentAt))
        if (confirmedAt !== null) confirmation.noteEnded(write, 'confirmed', at(confirmedAt))
      }
      expect(confirmation.mayWrite(USUAL_MILLISECONDS, at(now))).toEqual(isAllowed)
    })
  }

  it('allows writes to a server whose statements are all slow', () => {
    const confirmation = new WriteConfirmation()
    confirmation.noteSent(at(0))
    expect(confirmation.mayWrite(200, at(500))).toEqual(true)
  })

  // Load: a primary loses its replicas at 0 ms and gets 20 writes a second with a timeout of a second
  // each. Without this rule each of them held a connection for a second and was answered that its outcome is
  // unknown.
  it('sends only a few writes to probe a primary that does not confirm them', () => {
    const confirmation = new WriteConfirmation()
    const ends: { readonly at: number; readonly end: () => void }[] = []
    let unknown = 0
    for (let now = 0; now < 5000; now += 50) {
      while (ends[0] !== undefined && ends[0].at <= now) ends.shift()?.end()
      if (!confirmation.mayWrite(USUAL_MILLISECONDS, at(now))) continue
      unknown += 1
      const write = confirmation.noteSent(at(now))
      const end = (): void => {
        confirmation.noteEnded(write, 'silent', at(now + 1000))
      }
      ends.push({ at: now + 1000, end })
    }
    expect(unknown <= 7 + 5).toEqual(true)
  })

  // Both replicas of a primary are gone. It reports at once that a write was not confirmed, so no write waits long,
  // and callers of one host were answered 92 times a second that the outcome is unknown (all 352 such answers of one
  // run came from a server, none from a timeout). Only a few writes a second may probe it.
  it('holds writes back if the server reports that they are not confirmed', () => {
    const confirmation = new WriteConfirmation()
    const unknown: number[] = []
    for (let now = 0; now < 3000; now += 10) {
      if (!confirmation.mayWrite(USUAL_MILLISECONDS, at(now))) continue
      unknown.push(now)
      confirmation.noteEnded(confirmation.noteSent(at(now)), 'unconfirmed', at(now + 5))
    }
    expect(unknown.slice(0, 4)).toEqual([0, 10, 260, 510])
    expect(unknown.length).toEqual(2 + 11)
  })

  it('allows writes after a single unconfirmed one, and again after a confirmed one', () => {
    const confirmation = new WriteConfirmation()
    const write = (sentAt: number, end: WriteOutcome): void => {
      confirmation.noteEnded(confirmation.noteSent(at(sentAt)), end, at(sentAt + 5))
    }
    write(0, 'unconfirmed')
    expect(confirmation.mayWrite(USUAL_MILLISECONDS, at(10))).toEqual(true)
    write(10, 'unconfirmed')
    expect(confirmation.mayWrite(USUAL_MILLISECONDS, at(20))).toEqual(false)
    expect(confirmation.mayWrite(USUAL_MILLISECONDS, at(260))).toEqual(true)
    write(260, 'confirmed')
    expect(confirmation.mayWrite(USUAL_MILLISECONDS, at(270))).toEqual(true)
  })
})
