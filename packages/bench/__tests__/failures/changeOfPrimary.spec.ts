import { describe, it } from 'node:test'
import { pauseReplication } from '../../src/index.js'
import { runScenario, wait, type Scenario } from './scenario.js'

interface NamedScenario extends Scenario {
  readonly name: string
}

const FREEZE_MILLISECONDS = 3000

const scenarios: readonly NamedScenario[] = [
  {
    /**
     * The killed primary restarts with log entries that no other server has. Callers see connection
     * errors, then refusals, then success.
     */
    name: 'the primary is killed and restarts',
    act: async fixture => {
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.waitForWrites()
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * A primary that resumes from a pause still acts as primary and answers the requests waiting in
     * its sockets. None of them may be acknowledged. Callers see requests that hang, then success
     * on another server.
     */
    name: 'the primary is frozen, replaced, and resumes as if it were still primary',
    act: async fixture => {
      fixture.deployment.freeze(fixture.primary.id)
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.waitForWrites()
      await wait(FREEZE_MILLISECONDS)
      fixture.deployment.thaw(fixture.primary.id)
    },
  },
  {
    /**
     * A network partition isolates the primary's zone. Its primary and proxies still reach each
     * other, so writes run there and must not be acknowledged.
     */
    name: "the primary's zone is isolated and rejoins",
    act: async fixture => {
      await fixture.deployment.isolate(fixture.primary.zone)
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.waitForWrites()
      await fixture.deployment.rejoin(fixture.primary.zone)
    },
  },
  {
    /**
     * The store's answer to the compare-and-swap that takes the new term is lost after it took
     * effect. The coordinator must recognise its own change instead of treating it as a conflict.
     */
    name: 'the primary is killed and the answer to the next compare-and-swap is lost',
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ loseNextAnswers: 1 })
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * The store is unavailable when the primary is killed and returns after writes have resumed. It
     * must receive the change that was agreed without it, and must not revert that change.
     */
    name: 'the primary is killed while the store is unavailable',
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ outage: true })
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.waitForWrites()
      await fixture.deployment.platform.setStoreFaults({ outage: false })
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * One replica is far behind when the primary is killed. Promoting it would lose writes that the
     * other replica confirmed, so the other must be chosen regardless of its zone.
     */
    name: 'the primary is killed while the nearer replica is far behind',
    act: async fixture => {
      await pauseReplication(fixture.server(1), true)
      await fixture.waitForWrites()
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.waitForNewPrimary(fixture.primary)
      await pauseReplication(fixture.server(1), false)
      await fixture.waitForWrites()
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * The new primary is killed soon after its promotion. The restarted first primary must not be
     * promoted with a log that lacks the second term. Callers see two interruptions.
     */
    name: 'two primaries are killed one after the other',
    act: async fixture => {
      const { deployment, database } = fixture
      await deployment.kill(fixture.primary.id)
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.waitForWrites()
      await deployment.process(fixture.primary.id).start()
      await fixture.waitForSameTerm()
      const { primary } = await deployment.platform.groupRecord(database.id)
      const second = database.servers.find(server => server.id === primary)
      if (second === undefined) throw new Error('the record names no primary')
      await deployment.kill(second.id)
      await fixture.waitForNewPrimary(second)
      await deployment.process(second.id).start()
    },
  },
]

describe('change of primary', () => {
  for (const scenario of scenarios) {
    it(`loses and duplicates no write when ${scenario.name}`, () => runScenario(scenario))
  }
})
