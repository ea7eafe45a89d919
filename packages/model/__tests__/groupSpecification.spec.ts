import { describe, test } from 'node:test'
import { expect } from 'earl'
import {
  describeExploration,
  exploreGroup,
  type GroupBounds,
  type Mutation,
} from '@nutmegcourse/model'

describe('the group specification', () => {
  const bounds: readonly GroupBounds[] = [
    { attempts: 1, writes: 2, reads: true },
    { attempts: 2, writes: 1, reads: true },
    { attempts: 2, writes: 2, reads: false },
  ]
  for (const bound of bounds) {
    test(`holds within the bounds ${JSON.stringify(bound)}`, context => {
      const exploration = exploreGroup(bound, 'none')
      context.diagnostic(describeExploration('group', bound, exploration))
      expect(exploration.violation).toEqual(null)
    })
  }

  /*
   * Each row omits one guard or makes one mistake, and must violate an invariant: an acknowledged
   * write is lost, a recorded term start differs from a log, a write reported as not run is present,
   * or a read misses a write acknowledged before it, such as one of its own session. The exploration
   * reports a shortest path to the violation.
   */
  const RACE: GroupBounds = { attempts: 2, writes: 1, reads: false }
  const READ: GroupBounds = { attempts: 1, writes: 1, reads: true }
  const LOST = 'an acknowledged write is in the log of every later primary'
  const WRONG_START = 'a recorded term start matches the start of that term in every log'
  const NOT_ROLLED_BACK = 'a write reported as not run is in the log of no later primary'
  const mutations: readonly {
    readonly mutation: Mutation
    readonly bounds: GroupBounds
    readonly violates: string
  }[] = [
    { mutation: 'noFence', bounds: RACE, violates: WRONG_START },
    { mutation: 'acknowledgeBeforeMajority', bounds: RACE, violates: LOST },
    { mutation: 'noTermCheck', bounds: RACE, violates: LOST },
    { mutation: 'noFenceCheck', bounds: RACE, violates: LOST },
    { mutation: 'noTermRecord', bounds: RACE, violates: LOST },
    { mutation: 'sharedTerm', bounds: RACE, violates: WRONG_START },
    { mutation: 'chooseAny', bounds: RACE, violates: LOST },
    { mutation: 'promoteUnfenced', bounds: RACE, violates: WRONG_START },
    { mutation: 'rollBackBeforeMajority', bounds: RACE, violates: NOT_ROLLED_BACK },
    { mutation: 'rollBackByAnyLaterTerm', bounds: RACE, violates: NOT_ROLLED_BACK },
    {
      mutation: 'primaryReportAsBound',
      bounds: READ,
      violates: 'a read sees every write acknowledged before it',
    },
  ]
  for (const row of mutations) {
    test(`violates an invariant with the mutation ${row.mutation}`, context => {
      const exploration = exploreGroup(row.bounds, row.mutation)
      context.diagnostic(describeExploration(row.mutation, row.bounds, exploration))
      expect(exploration.violation?.invariant).toEqual(row.violates)
    })
  }
})
