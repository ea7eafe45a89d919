import { describe, it } from 'node:test'
import { expect } from 'earl'
import { comparePositions, laterPosition, logPosition } from '../src/index.js'

describe('comparePositions', () => {
  const cases = [
    {
      name: 'in the same term the lesser offset comes first',
      left: [3, 4],
      right: [3, 9],
      sign: -1,
    },
    { name: 'equal positions compare as equal', left: [3, 9], right: [3, 9], sign: 0 },
    { name: 'a later term wins over a greater offset', left: [4, 1], right: [3, 900], sign: 1 },
  ] as const
  for (const { name, left, right, sign } of cases) {
    it(name, () => {
      const [first, second] = [logPosition(left[0], left[1]), logPosition(right[0], right[1])]
      expect(Math.sign(comparePositions(first, second))).toEqual(sign)
      expect(laterPosition(first, second)).toEqual(sign < 0 ? second : first)
    })
  }
})
