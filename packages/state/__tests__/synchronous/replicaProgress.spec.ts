import { describe, it } from 'node:test'
import { expect } from 'earl'
import { logPosition, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { ReplicaProgress } from '../../src/synchronous/index.js'

const at = (time: number): Milliseconds => milliseconds(time)
const position = (offset: number) => logPosition(1, offset)

describe('ReplicaProgress', () => {
  // A replica falls behind for seconds. Each read that still tries it pays a round trip for a refusal.
  it('leaves a server out that stays behind, and tries it again and again', () => {
    const progress = new ReplicaProgress()
    progress.noteLacked(position(10), at(0))
    expect(progress.expectsBehind(position(10), at(14))).toEqual(true)
    expect(progress.expectsBehind(position(9), at(14))).toEqual(false)
    expect(progress.expectsBehind(position(10), at(15))).toEqual(false)
    for (let tries = 0; tries < 10; tries += 1) progress.noteLacked(position(10), at(100))
    expect(progress.expectsBehind(position(11), at(499))).toEqual(true)
    expect(progress.expectsBehind(position(11), at(500))).toEqual(false)
    progress.noteReached(position(10))
    expect(progress.expectsBehind(position(11), at(110))).toEqual(false)
  })

  /** What it said and lacked, what is needed 5 ms later, and whether it is expected to lack that. */
  const cases: readonly (readonly [string, number | null, number, number, boolean])[] = [
    ['what it holds', 8, 10, 8, false],
    ['what lies between its log and what it lacked', 8, 10, 9, true],
    ['more than it lacked', 8, 10, 11, true],
    ['less than it lacked, when nothing tells where its log ends', null, 10, 9, false],
  ]
  for (const [name, reached, lacked, needed, expected] of cases) {
    it(`expects of ${name}: ${expected ? 'behind' : 'not behind'}`, () => {
      const progress = new ReplicaProgress()
      if (reached !== null) progress.noteReached(position(reached))
      progress.noteLacked(position(lacked), at(0))
      expect(progress.expectsBehind(position(needed), at(5))).toEqual(expected)
    })
  }

  // Load: two routes read at 50 a second each, one needs data 1.5 s old, the other 2.5 s; the log
  // grows by 20 a second and the replica is 9 s behind. What they ask in vain must not grow with
  // the load.
  it('is asked in vain at most three times a second, by however many routes', () => {
    const progress = new ReplicaProgress()
    const logAt = (time: number) => position(1000 + Math.floor(time / 50))
    let inVain = 0
    for (let now = 0; now < 10_000; now += 10) {
      const age = now % 20 === 0 ? 1500 : 2500
      const needed = logAt(now - age)
      if (progress.expectsBehind(needed, at(now))) continue
      inVain += 1
      progress.noteAsked(needed, at(now))
      progress.noteReached(logAt(now - 9000))
      progress.noteLacked(needed, at(now))
    }
    expect(inVain <= 30).toEqual(true)
  })
})
