import { describe, it } from 'node:test'
import { expect } from 'earl'
import { GrowingLimit } from '../src/growingLimit.js'

describe('a growing limit', () => {
  const STEPS: Readonly<Record<string, readonly [step: (limit: GrowingLimit) => void, number]>> = {
    'begins with the shortest time': [() => undefined, 10],
    'grows when it was exceeded': [
      limit => {
        limit.exceeded()
      },
      20,
    ],
    'does not grow beyond the longest time': [
      limit => {
        for (let count = 0; count < 9; count += 1) limit.exceeded()
      },
      100,
    ],
    'allows twice the time of the last answer': [
      limit => {
        limit.answered(30)
      },
      60,
    ],
    'returns to the shortest time': [
      limit => {
        limit.exceeded()
        limit.answered(1)
      },
      10,
    ],
  }
  for (const [name, [step, expected]] of Object.entries(STEPS)) {
    it(name, () => {
      const limit = new GrowingLimit(10, 100)
      step(limit)
      expect(limit.milliseconds).toEqual(expected)
    })
  }
})
