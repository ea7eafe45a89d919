import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { WriteConfirmation, type WriteEnd } from '../../src/synchronous/index.js'

const at = (time: number): Milliseconds => milliseconds(time)

/** What a statement takes at the server, in milliseconds. */
const USUAL = 40

describe('WriteConfirmation', () => {
  /** When writes were sent and when confirmed, the time of the question, and whether a write may go. */
  const cases: readonly (readonly [
    string,
    readonly (readonly [number, number | null])[],
    number,
    boolean,
  ])[] = [
    ['nothing was written', [], 1000, true],
    ['a write has waited as long as some do', [[0, null]], 200, true],
    ['a write has waited for too long', [[0, null]], 301, false],
    [
      'a later one was confirmed meanwhile',
      [
        [0, null],
        [50, 150],
      ],
      400,
      true,
    ],
    [
      'only an earlier one was confirmed',
      [
        [0, 20],
        [50, null],
      ],
      400,
      false,
    ],
    ['all that were sent are over', [[0, 350]], 1000, true],
  ]
  for (const [name, writes, now, may] of cases) {
    it(`${may ? 'lets a write go' : 'holds writes back'} when ${name}`, () => {
      const confirmation = new WriteConfirmation()
      for (const [sentAt, confirmedAt] of writes) {
        const write = confirmation.sent(at(sentAt))
        if (confirmedAt !== null) confirmation.ended(write, 'confirmed', at(confirmedAt))
      }
      expect(confirmation.mayWrite(USUAL, at(now))).toEqual(may)
    })
  }

  it('bears with a server that is slow to everybody', () => {
    const confirmation = new WriteConfirmation()
    confirmation.sent(at(0))
    expect(confirmation.mayWrite(200, at(500))).toEqual(true)
  })

  // Load: a primary loses its replicas at 0 ms and gets 20 writes a second with a second of time
  // each. Without this each of them held a connection for a second and was told that its outcome is
  // unknown.
  it('lets a few writes find out, and the others go elsewhere', () => {
    const confirmation = new WriteConfirmation()
    const ends: { readonly at: number; readonly end: () => void }[] = []
    let unknown = 0
    for (let now = 0; now < 5000; now += 50) {
      while (ends[0] !== undefined && ends[0].at <= now) ends.shift()?.end()
      if (!confirmation.mayWrite(USUAL, at(now))) continue
      unknown += 1
      const write = confirmation.sent(at(now))
      const end = (): void => {
        confirmation.ended(write, 'silent', at(now + 1000))
      }
      ends.push({ at: now + 1000, end })
    }
    expect(unknown <= 7 + 5).toEqual(true)
  })

  // Both replicas of a primary are gone. It says of each write at once that it was not confirmed, so none
  // ever waits long, and callers of one host heard 92 times a second that the outcome is unknown (of 352
  // such answers of one run all were a server's word, none a wait). A few a second find out.
  it('holds writes back when the server itself says that they are not confirmed', () => {
    const confirmation = new WriteConfirmation()
    const unknown: number[] = []
    for (let now = 0; now < 3000; now += 10) {
      if (!confirmation.mayWrite(USUAL, at(now))) continue
      unknown.push(now)
      confirmation.ended(confirmation.sent(at(now)), 'unconfirmed', at(now + 5))
    }
    expect(unknown.slice(0, 4)).toEqual([0, 10, 260, 510])
    expect(unknown.length).toEqual(2 + 11)
  })

  it('goes on after one write that ran out of time by itself, and after the next that is confirmed', () => {
    const confirmation = new WriteConfirmation()
    const write = (sentAt: number, end: WriteEnd): void => {
      confirmation.ended(confirmation.sent(at(sentAt)), end, at(sentAt + 5))
    }
    write(0, 'unconfirmed')
    expect(confirmation.mayWrite(USUAL, at(10))).toEqual(true)
    write(10, 'unconfirmed')
    expect(confirmation.mayWrite(USUAL, at(20))).toEqual(false)
    expect(confirmation.mayWrite(USUAL, at(260))).toEqual(true)
    write(260, 'confirmed')
    expect(confirmation.mayWrite(USUAL, at(270))).toEqual(true)
  })
})
