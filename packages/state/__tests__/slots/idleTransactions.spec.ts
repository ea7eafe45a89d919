import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'
import { transactionsToEnd } from '../../src/index.js'

const NOW = milliseconds(10_000)
const LIMIT_MILLISECONDS = 3000

describe('the transactions that are ended for waiters', () => {
  const cases: readonly (readonly [string, readonly number[], number, readonly number[]])[] = [
    ['are none without waiters', [1000, 2000], 0, []],
    ['are none while more are already on their way back than there are waiters', [1000], -1, []],
    ['are none that were idle for no longer than the limit', [7000, 8000], 2, []],
    [
      'are no more than there are waiters, the longest idle first',
      [3000, 1000, 2000],
      2,
      [1000, 2000],
    ],
    ['are all past the limit if there are enough waiters', [9000, 1000], 5, [1000]],
  ]
  for (const [name, idleSince, waiters, ended] of cases) {
    it(name, () => {
      const idle = idleSince.map(since => ({ idleSince: milliseconds(since) }))
      const terms = { waiters, limitMilliseconds: LIMIT_MILLISECONDS }
      expect(transactionsToEnd(idle, terms, NOW).map(each => each.idleSince)).toEqual(
        ended.map(milliseconds),
      )
    })
  }
})
