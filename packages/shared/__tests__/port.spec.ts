import { describe, it } from 'node:test'
import { expect } from 'earl'
import { isPort } from '../src/index.js'

// Guards against processes that end because they connect to a port out of range.
describe('isPort', () => {
  const CASES: readonly (readonly [value: unknown, expected: boolean])[] = [
    [1, true],
    [65_535, true],
    [0, false],
    [65_536, false],
    [-1, false],
    [1.5, false],
    [1e308, false],
    [Number.NaN, false],
    ['80', false],
    [null, false],
  ]
  for (const [value, expected] of CASES) {
    it(`is ${String(expected)} for ${String(value)}`, () => {
      expect(isPort(value)).toEqual(expected)
    })
  }
})
