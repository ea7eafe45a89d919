import { describe, it } from 'node:test'
import { expect } from 'earl'
import { agentProcessId, proxyProcessId } from '../../src/index.js'
import type { HistoryCheckResult } from '../../src/workload/history.js'
import { runScenario, wait, type Scenario } from './scenario.js'

interface NamedScenario extends Scenario {
  readonly name: string
}

/** Time after which a leaving backend server must receive no more statements. */
const LEAVING_MILLISECONDS = 3000
const OBSERVED_MILLISECONDS = 1500
const HOST_LIST_LAG_MILLISECONDS = 1000

/** A request may be refused before it runs, but no outcome may be unknown. */
const expectNoUnknownOutcomes = (result: HistoryCheckResult): void => {
  expect(result.unknown).toEqual(0)
}

const scenarios: readonly NamedScenario[] = [
  {
    /**
     * A proxy is stopped under load. Running requests are answered; requests that have not started
     * are refused as not run.
     */
    name: 'a proxy is stopped under load',
    act: async fixture => {
      const exitCode = await fixture.deployment.stopGracefully(
        proxyProcessId(fixture.deployment.entryHost(0)),
      )
      expect(exitCode).toEqual(0)
      await fixture.waitForWrites()
    },
    check: expectNoUnknownOutcomes,
  },
  {
    /**
     * Every entry host is replaced, one after the other. Callers get repeated refusals as not run.
     */
    name: 'every entry host is replaced in turn',
    act: async fixture => {
      const { deployment } = fixture
      for (const host of deployment.plan.entryHosts) {
        await deployment.stopGracefully(proxyProcessId(host))
        await deployment.stopGracefully(agentProcessId(host))
        await deployment.process(agentProcessId(host)).start()
        await deployment.process(proxyProcessId(host)).start()
        await fixture.waitForWrites()
      }
    },
    check: expectNoUnknownOutcomes,
  },
  {
    /**
     * A replica is leaving, and the host list reports it with a delay. Reads move to other servers.
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
    check: expectNoUnknownOutcomes,
  },
  {
    /**
     * The primary is leaving. Writes are held until a replica that has caught up is promoted, and
     * the former primary receives no more statements.
     */
    name: 'the primary is leaving',
    options: { hostListLagMilliseconds: HOST_LIST_LAG_MILLISECONDS },
    act: async fixture => {
      await fixture.deployment.platform.markLeaving(fixture.primary.id)
      await wait(LEAVING_MILLISECONDS)
      expect(await fixture.statementsDuring(fixture.primary, OBSERVED_MILLISECONDS)).toEqual(0)
      await fixture.waitForNewPrimary(fixture.primary)
    },
    check: expectNoUnknownOutcomes,
  },
]

describe('planned stops', () => {
  for (const scenario of scenarios) {
    it(`cuts nothing when ${scenario.name}`, () => runScenario(scenario))
  }
})
