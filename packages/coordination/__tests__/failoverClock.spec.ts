import { describe, test } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'

import { FailoverClock } from '../src/failoverClock.js'

const INTERVAL_MILLISECONDS = 100

/** A clock of a process that stalled from 1,000 to 1,700 and from 2,000 to 5,000. */
function makeStalledClock(): FailoverClock {
  const clock = new FailoverClock(INTERVAL_MILLISECONDS)
  for (const at of [950, 1_000, 1_700, 1_750, 1_800, 1_900, 2_000, 5_000]) {
    clock.advance(milliseconds(at))
  }
  return clock
}

/*
 * A request that was sent before a stall is answered after it. Guards against an answer that counts as
 * newer than a record which the watcher read before it sent the request.
 */
describe('FailoverClock counts a stall as one watch interval', () => {
  const cases = [
    { name: 'before all stalls', at: 1_000, ownTime: 1_000 },
    { name: 'within a stall', at: 1_050, ownTime: 1_050 },
    { name: 'late within a stall', at: 1_650, ownTime: 1_100 },
    { name: 'at the end of a stall', at: 1_700, ownTime: 1_100 },
    { name: 'between two stalls', at: 1_900, ownTime: 1_300 },
    { name: 'at the end of the last stall', at: 5_000, ownTime: 1_500 },
    { name: 'after all stalls', at: 5_040, ownTime: 1_540 },
  ]
  for (const { name, at, ownTime } of cases) {
    test(name, () => {
      expect(makeStalledClock().toOwnTime(milliseconds(at))).toEqual(milliseconds(ownTime))
    })
  }

  test('and gives the clock time of an own time', () => {
    expect(makeStalledClock().toClockTime(milliseconds(1_540))).toEqual(milliseconds(5_040))
  })
})
