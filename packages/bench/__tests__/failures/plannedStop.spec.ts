import { describe, it } from 'node:test'
import { expect } from 'earl'
import { agentProcessId, proxyProcessId } from '../../src/index.js'
import type { HistoryCheckResult } from '../../src/workload/history.js'
import { runScenario, wait, type Scenario } from './scenario.js'

interface NamedScenario extends Scenario {
  readonly name: string
}

/** The time after which a leaving backend server gets nothing new. */
const LEAVING_MILLISECONDS = 3000
const OBSERVED_MILLISECONDS = 1500
const HOST_LIST_LAG_MILLISECONDS = 1000

/** A caller may be told to go elsewhere before its request runs; none may be left in doubt. */
const cutsNothing = (result: HistoryCheckResult): void => {
  expect(result.unknown).toEqual(0)
}

const scenarios: readonly NamedScenario[] = [
  {
    /**
     * Callers of one proxy are sent elsewhere. The proxy is told to stop under load: what runs is
     * answered, what has not begun is refused as not run.
     */
    name: 'a proxy is stopped under load',
    act: async fixture => {
      const exitCode = await fixture.deployment.stopGracefully(
        proxyProcessId(fixture.deployment.entryHost(0)),
      )
      expect(exitCode).toEqual(0)
      await fixture.writesSucceed()
    },
    check: cutsNothing,
  },
  {
    /**
     * Callers are sent elsewhere time and again. Every entry host is replaced, one after the other.
     */
    name: 'every entry host is replaced in turn',
    act: async fixture => {
      const { deployment } = fixture
      for (const host of deployment.plan.entryHosts) {
        await deployment.stopGracefully(proxyProcessId(host))
        await deployment.stopGracefully(agentProcessId(host))
        await deployment.process(agentProcessId(host)).start()
        await deployment.process(proxyProcessId(host)).start()
        await fixture.writesSucceed()
      }
    },
    check: cutsNothing,
  },
  {
    /**
     * Callers see nothing. A replica is leaving, and the list tells it late: reads go elsewhere.
     */
    name: 'a replica is leaving',
    options: { hostListLagMilliseconds: HOST_LIST_LAG_MILLISECONDS },
    act: async fixture => {
      const leaving = fixture.server(1)
      expect(await fixture.statementsDuring(leaving, OBSERVED_MILLISECONDS)).toBeGreaterThan(0)
      await fixture.deployment.platform.markLeaving(leaving.id)
      await wait(LEAVING_MILLISECONDS)
      expect(await fixture.statementsDuring(leaving, OBSERVED_MILLISECONDS)).toEqual(0)
    },
    check: cutsNothing,
  },
  {
    /**
     * Callers wait a moment. The primary is leaving: writes are held, a replica that has caught up
     * is promoted, and the old one gets nothing more.
     */
    name: 'the primary is leaving',
    options: { hostListLagMilliseconds: HOST_LIST_LAG_MILLISECONDS },
    act: async fixture => {
      await fixture.deployment.platform.markLeaving(fixture.primary.id)
      await wait(LEAVING_MILLISECONDS)
      expect(await fixture.statementsDuring(fixture.primary, OBSERVED_MILLISECONDS)).toEqual(0)
      await fixture.anotherServerIsPrimary(fixture.primary)
    },
    check: cutsNothing,
  },
]

describe('planned stops', () => {
  for (const scenario of scenarios) {
    it(`cuts nothing when ${scenario.name}`, () => runScenario(scenario))
  }
})
