import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'
import { millisecondsUntilFree } from '../../src/index.js'

const NOW = milliseconds(1000)

describe('the time until a connection in use is free', () => {
  const cases: readonly (readonly [string, readonly number[], number, number, number])[] = [
    ['is unknown without one', [], 20, 0, Number.POSITIVE_INFINITY],
    ['is unknown before any was returned', [995], 0, 0, Number.POSITIVE_INFINITY],
    ['is the rest of the usual time', [995], 20, 0, 15],
    ['is that of the connection that is free first', [995, 985, 990], 20, 0, 5],
    ['is that of the next one for the next waiter', [995, 985, 990], 20, 1, 10],
    ['is one usual time more for each round', [995, 985], 20, 3, 35],
    ['is as long again for one that is held for long', [700], 20, 0, 300],
  ]
  for (const [name, takenAt, holdMilliseconds, ahead, expected] of cases) {
    it(name, () => {
      const inUse = { takenAt: takenAt.map(milliseconds), holdMilliseconds }
      expect(millisecondsUntilFree(inUse, ahead, NOW)).toEqual(expected)
    })
  }
})
