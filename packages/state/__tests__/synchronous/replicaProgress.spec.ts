import { describe, it } from 'node:test'
import { expect } from 'earl'
import { logPosition, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { ReplicaProgress } from '../../src/synchronous/index.js'

const at = (time: number): Milliseconds => milliseconds(time)
const position = (offset: number) => logPosition(1, offset)

describe('ReplicaProgress', () => {
  // A replica lags for seconds. Each read that is still sent there costs a round trip for a refusal.
  it('expects a server that lacked a position to stay behind, and allows retries at growing intervals', () => {
    const progress = new ReplicaProgress()
    progress.noteBehind(position(10), at(0))
    expect(progress.isLikelyBehind(position(10), at(14))).toEqual(true)
    expect(progress.isLikelyBehind(position(9), at(14))).toEqual(false)
    expect(progress.isLikelyBehind(position(10), at(15))).toEqual(false)
    for (let tries = 0; tries < 10; tries += 1) progress.noteBehind(position(10), at(100))
    expect(progress.isLikelyBehind(position(11), at(499))).toEqual(true)
    expect(progress.isLikelyBehind(position(11), at(500))).toEqual(false)
    progress.noteReached(position(10))
    expect(progress.isLikelyBehind(position(11), at(110))).toEqual(false)
  })

  /**
   * The positions that it reported and that it lacked, the one needed 5 ms later, and whether it is expected to lack
   * that.
   */
  const cases: readonly (readonly [string, number | null, number, number, boolean])[] = [
    ['a position that it holds', 8, 10, 8, false],
    ['a position between the end of its log and the one it lacked', 8, 10, 9, true],
    ['a position after the one it lacked', 8, 10, 11, true],
    ['a position before the one it lacked, if the end of its log is unknown', null, 10, 9, false],
  ]
  for (const [name, reached, lacked, needed, expected] of cases) {
    it(`for ${name}: expects it ${expected ? 'to be behind' : 'not to be behind'}`, () => {
      const progress = new ReplicaProgress()
      if (reached !== null) progress.noteReached(position(reached))
      progress.noteBehind(position(lacked), at(0))
      expect(progress.isLikelyBehind(position(needed), at(5))).toEqual(expected)
    })
  }

  // Load: two routes send 50 reads a second each, one needs data at most 1.5 s old, the other 2.5 s; the log
  // grows by 20 records a second and the replica lags by 9 s. The number of refused reads must not grow with
  // the load.
  it('allows at most three refused reads a second, however many routes read from the server', () => {
    const progress = new ReplicaProgress()
    const logAt = (time: number) => position(1000 + Math.floor(time / 50))
    let refused = 0
    for (let now = 0; now < 10_000; now += 10) {
      const age = now % 20 === 0 ? 1500 : 2500
      const needed = logAt(now - age)
      if (progress.isLikelyBehind(needed, at(now))) continue
      refused += 1
      progress.noteReadSent(needed, at(now))
      progress.noteReached(logAt(now - 9000))
      progress.noteBehind(needed, at(now))
    }
    expect(refused <= 30).toEqual(true)
  })

  /** The log's growth before it was found behind, how much it lacked, and after how long it is retried. */
  const forecasts: readonly (readonly [string, number, number, number])[] = [
    ['a little', 100, 5, 50],
    ['less than grows in the shortest delay', 1000, 1, 15],
    ['more than grows in the longest delay', 100, 500, 400],
    ['something while its log does not grow', 0, 1, 400],
  ]
  for (const [name, recordsPerSecond, lacked, delay] of forecasts) {
    it(`retries a server that lacks ${name} after ${String(delay)} ms, if it learns the rate`, () => {
      const progress = new ReplicaProgress(true)
      const end = 1000 + recordsPerSecond
      progress.noteReached(position(1000), at(0))
      progress.noteReached(position(end), at(1000))
      const needed = position(end + lacked)
      progress.noteBehind(needed, at(1000))
      const tells = [delay - 1, delay].map(after =>
        progress.isLikelyBehind(needed, at(1000 + after)),
      )
      expect(tells).toEqual([true, false])
    })
  }

  it('retries a server whose rate is not known, or that lacks a later term, after the longest delay', () => {
    const unknown = new ReplicaProgress(true)
    const ofEarlierTerm = new ReplicaProgress(true)
    ofEarlierTerm.noteReached(position(1000), at(0))
    ofEarlierTerm.noteReached(position(1100), at(1000))
    for (const progress of [unknown, ofEarlierTerm]) {
      const needed = logPosition(2, 1101)
      progress.noteBehind(needed, at(1000))
      expect(progress.isLikelyBehind(needed, at(1399))).toEqual(true)
      expect(progress.isLikelyBehind(needed, at(1400))).toEqual(false)
    }
  })

  // Guards against a replica that receives nothing: each forecast is wrong, and each retry is refused.
  it('waits the longest delay once a forecast was wrong, however many reads it refuses', () => {
    const progress = new ReplicaProgress(true)
    progress.noteReached(position(1000), at(0))
    progress.noteReached(position(1100), at(1000))
    const needed = position(1105)
    // Three reads were sent before the first answer.
    for (let count = 0; count < 3; count += 1) progress.noteBehind(needed, at(1000))
    expect(progress.isLikelyBehind(needed, at(1050))).toEqual(false)
    progress.noteReadSent(needed, at(1050))
    expect(progress.isLikelyBehind(needed, at(1060))).toEqual(true)
    progress.noteReached(position(1100), at(1070))
    progress.noteBehind(needed, at(1070))
    expect(progress.isLikelyBehind(needed, at(1469))).toEqual(true)
    expect(progress.isLikelyBehind(needed, at(1470))).toEqual(false)
  })
})
