import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  ConfigurationChecker,
  ROUTE_LIFETIME_VERSIONS,
  type DatabaseAnswer,
  type ExcusedUntil,
} from '../src/index.js'

const HOST = 'host-1'
const NEVER: ExcusedUntil = () => Number.NEGATIVE_INFINITY

/** One answer of the host: the version whose database was asked for, when, and what it answered. */
type Step = readonly [version: number, sentAt: number, answer: DatabaseAnswer, incarnation?: number]

interface Case {
  readonly steps: readonly Step[]
  readonly findings: number
  readonly excusedUntil?: ExcusedUntil
}

/** Versions 1 to 3 are published at 0, 1,000 and 2,000 ms. */
const CASES: Readonly<Record<string, Case>> = {
  'nothing when each version is in force in time': {
    steps: [
      [1, 100, 'served'],
      [2, 1100, 'unknown'],
      [3, 4000, 'served'],
    ],
    findings: 0,
  },
  'a version that is unknown after its bound, once': {
    steps: [
      [1, 100, 'served'],
      [2, 5100, 'unknown'],
      [2, 5300, 'unknown'],
    ],
    findings: 1,
  },
  'a version that is refused for another reason after its bound': {
    steps: [[1, 4100, 'refused']],
    findings: 1,
  },
  'nothing when no answer comes': { steps: [[1, 9000, 'none']], findings: 0 },
  'nothing when a newer version was seen instead': {
    steps: [
      [3, 2100, 'served'],
      [2, 9000, 'served'],
    ],
    findings: 0,
  },
  'a return to an older version': {
    steps: [
      [3, 2100, 'served'],
      [3, 2500, 'unknown'],
    ],
    findings: 1,
  },
  'nothing when a process that was started anew has not followed yet': {
    steps: [
      [3, 2100, 'served'],
      [3, 2500, 'unknown', 2],
    ],
    findings: 0,
  },
  'nothing while a fault excuses the host': {
    steps: [[1, 9000, 'unknown']],
    findings: 0,
    excusedUntil: () => Number.POSITIVE_INFINITY,
  },
  'a version that is unknown for longer than its bound after the fault': {
    steps: [[1, 9100, 'unknown']],
    findings: 1,
    excusedUntil: () => 5000,
  },
}

function check({ steps, excusedUntil = NEVER }: Case): readonly string[] {
  const findings: string[] = []
  const checker = new ConfigurationChecker(excusedUntil, finding => findings.push(finding))
  for (const version of [1, 2, 3]) checker.published(version, (version - 1) * 1000)
  for (const [version, sentAt, answer, incarnation = 1] of steps) {
    checker.record({ host: HOST, incarnation, version, sentAt, answer }, sentAt + 1)
  }
  return findings
}

describe('the check of configurations in a soak test reports', () => {
  for (const [name, each] of Object.entries(CASES)) {
    it(name, () => {
      expect(check(each).length).toEqual(each.findings)
    })
  }

  it('a route that is served after the host served the version that removed it', () => {
    const findings: string[] = []
    const checker = new ConfigurationChecker(NEVER, finding => findings.push(finding))
    const newest = ROUTE_LIFETIME_VERSIONS + 1
    checker.published(newest, 0)
    const answer = { host: HOST, incarnation: 1, answer: 'served' } as const
    checker.record({ ...answer, version: newest, sentAt: 10 }, 11)
    checker.record({ ...answer, version: 1, sentAt: 20 }, 21)
    expect(findings.length).toEqual(1)
  })
})
