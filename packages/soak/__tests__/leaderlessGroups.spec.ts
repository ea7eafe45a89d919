import { describe, it } from 'node:test'
import { expect } from 'earl'
import { FAULT_AFTERMATH_MILLISECONDS, LeaderlessGroups } from '../src/index.js'

interface Observation {
  readonly at: number
  readonly hasPrimary: boolean
  readonly isAmidFaults: boolean
}

const LEADS = { hasPrimary: true, isAmidFaults: false }
const LOST_TO_FAULTS = { hasPrimary: false, isAmidFaults: true }
const LOST_WITHOUT_FAULTS = { hasPrimary: false, isAmidFaults: false }

/** Each asks about statements of service-1 that failed at the given time. */
const CASES: readonly {
  readonly name: string
  readonly observed: readonly Observation[]
  readonly failedAt: number
  readonly isExcused: boolean
}[] = [
  {
    name: 'that has a primary',
    observed: [{ at: 0, ...LEADS }],
    failedAt: 10,
    isExcused: false,
  },
  {
    name: 'that lost its primary to faults, long after their end',
    observed: [
      { at: 0, ...LOST_TO_FAULTS },
      { at: 11_000, ...LOST_WITHOUT_FAULTS },
    ],
    failedAt: 11_010,
    isExcused: true,
  },
  {
    name: 'whose next primary has just begun to lead',
    observed: [
      { at: 0, ...LOST_TO_FAULTS },
      { at: 11_000, ...LOST_WITHOUT_FAULTS },
      { at: 11_020, ...LEADS },
    ],
    failedAt: 11_000 + FAULT_AFTERMATH_MILLISECONDS,
    isExcused: true,
  },
  {
    name: 'whose next primary has led for some time',
    observed: [
      { at: 0, ...LOST_TO_FAULTS },
      { at: 11_000, ...LOST_WITHOUT_FAULTS },
      { at: 11_020, ...LEADS },
    ],
    failedAt: 11_001 + FAULT_AFTERMATH_MILLISECONDS,
    isExcused: false,
  },
  {
    name: 'that lost its primary without a fault, although faults came later',
    observed: [
      { at: 0, ...LOST_WITHOUT_FAULTS },
      { at: 20, ...LOST_TO_FAULTS },
    ],
    failedAt: 30,
    isExcused: false,
  },
  {
    name: 'that lost its next primary without a fault',
    observed: [
      { at: 0, ...LOST_TO_FAULTS },
      { at: 20, ...LEADS },
      { at: 9000, ...LOST_WITHOUT_FAULTS },
    ],
    failedAt: 9010,
    isExcused: false,
  },
]

// Guards against a soak that takes a change of primary, forced by faults and ended long after them, for planned work.
describe('a failed statement of a group', () => {
  for (const { name, observed, failedAt, isExcused } of CASES) {
    it(`${name} ${isExcused ? 'may be' : 'is not'} caused by faults`, () => {
      const groups = new LeaderlessGroups()
      for (const { at, hasPrimary, isAmidFaults } of observed) {
        groups.observe('service-1', hasPrimary, isAmidFaults, at)
      }
      const since = failedAt - FAULT_AFTERMATH_MILLISECONDS
      expect(groups.wasLeaderlessSince('service-1', since)).toEqual(isExcused)
      expect(groups.wasLeaderlessSince('service-2', since)).toEqual(false)
    })
  }
})
