import { describe, it } from 'node:test'
import { expect } from 'earl'
import { StallDetector } from '../src/stallDetector.js'

// Guards against attributing a stall of the process in which the servers run to the hosts, and against
// excusing findings when there was no stall.

const CASES: readonly (readonly [string, number, boolean])[] = [
  ['0.1 s', 100, false],
  ['0.4 s', 400, true],
]

describe('the stall detector', () => {
  for (const [name, span, isReported] of CASES) {
    it(`when the event loop is blocked for ${name}, reports ${isReported ? 'one stall' : 'no stall'}`, () => {
      const detector = new StallDetector()
      const before = performance.now()
      while (performance.now() < before + span);
      expect(detector.hasStalledSince(before)).toEqual(isReported)
      expect(detector.stalls.map(({ milliseconds }) => milliseconds >= span)).toEqual(
        isReported ? [true] : [],
      )
      expect(detector.hasStalledSince(performance.now() + 1)).toEqual(false)
      detector.close()
    })
  }
})
