import { describe, test } from 'node:test'
import { expect } from 'earl'
import {
  describeExploration,
  exploreConfiguration,
  type ConfigurationMutation,
} from '@nutmegcourse/model'

const BOUNDS = { changes: 2, hosts: 2 }

describe('the configuration specification', () => {
  test('holds with two concurrent changes and two hosts', context => {
    const exploration = exploreConfiguration(BOUNDS, 'none')
    context.diagnostic(describeExploration('configuration', BOUNDS, exploration))
    expect(exploration.violation).toEqual(null)
  })

  /*
   * Each row must violate an invariant: two changes are accepted with the same version; an operator
   * receives "refused" for a change that took effect, or "accepted" for one that did not; or a host
   * returns to an older document that a slow host forwards.
   */
  const mutations: readonly {
    readonly mutation: ConfigurationMutation
    readonly violates: string
  }[] = [
    { mutation: 'lastReceivedWins', violates: 'a host never returns to an older version' },
    { mutation: 'noCompare', violates: 'a version is accepted at most once' },
    { mutation: 'lostMeansRefused', violates: 'a refused change took no effect' },
    { mutation: 'resolvedByVersion', violates: 'an accepted change took effect' },
  ]
  for (const { mutation, violates } of mutations) {
    test(`violates an invariant with the mutation ${mutation}`, context => {
      const exploration = exploreConfiguration(BOUNDS, mutation)
      context.diagnostic(describeExploration(mutation, BOUNDS, exploration))
      expect(exploration.violation?.invariant).toEqual(violates)
    })
  }
})
