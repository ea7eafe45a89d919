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
     * Callers see broken connections, then refusals, then success again. The primary's process dies;
     * another server is promoted; the dead one comes back with a tail that nobody else holds.
     */
    name: 'the primary is killed and comes back',
    act: async fixture => {
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.writesSucceed()
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * Callers' requests hang, then succeed elsewhere. The primary is paused, not dead; when it goes
     * on it still believes that it leads and answers what waited in its sockets. None of that may
     * be told as done.
     */
    name: 'the primary is frozen, replaced, and thaws believing that it leads',
    act: async fixture => {
      fixture.deployment.freeze(fixture.primary.id)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.writesSucceed()
      await wait(FREEZE_MILLISECONDS)
      fixture.deployment.thaw(fixture.primary.id)
    },
  },
  {
    /**
     * Callers in the primary's zone lose the other zones. A network partition isolates the zone: its
     * primary and proxies still reach each other, so writes run there and must not be acknowledged.
     */
    name: "the primary's zone is isolated and rejoins",
    act: async fixture => {
      await fixture.deployment.isolate(fixture.primary.zone)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.writesSucceed()
      await fixture.deployment.rejoin(fixture.primary.zone)
    },
  },
  {
    /**
     * Callers see an ordinary failover. The store's answer to the swap that takes the new term is
     * lost after it took effect: the coordinator must recognise its own change, not fight it.
     */
    name: 'the primary is killed and the answer of the next swap is lost',
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ loseNextAnswers: 1 })
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * Callers see an ordinary failover. The store is down when the primary dies and comes back after
     * writes go on: what was agreed without it must be found in it, and never be reverted by it.
     */
    name: 'the primary is killed while the store is out',
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ outage: true })
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.writesSucceed()
      await fixture.deployment.platform.setStoreFaults({ outage: false })
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * Callers see an ordinary failover. One replica is far behind when the primary dies: promoting it
     * would lose what the other confirmed, and the other must be chosen wherever it stands.
     */
    name: 'the primary is killed while the nearer replica is far behind',
    act: async fixture => {
      await pauseReplication(fixture.server(1), true)
      await fixture.writesSucceed()
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await pauseReplication(fixture.server(1), false)
      await fixture.writesSucceed()
      await fixture.deployment.process(fixture.primary.id).start()
    },
  },
  {
    /**
     * Callers see two interruptions. The new primary dies as soon as it leads, and the first one,
     * restarted, must not lead again with a log that lacks the second reign.
     */
    name: 'two primaries die one after the other',
    act: async fixture => {
      const { deployment, database } = fixture
      await deployment.kill(fixture.primary.id)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.writesSucceed()
      await deployment.process(fixture.primary.id).start()
      await fixture.serversShareTerm()
      const { primary } = await deployment.platform.groupRecord(database.id)
      const second = database.servers.find(server => server.id === primary)
      if (second === undefined) throw new Error('the record names no primary')
      await deployment.kill(second.id)
      await fixture.anotherServerIsPrimary(second)
      await deployment.process(second.id).start()
    },
  },
]

describe('change of primary', () => {
  for (const scenario of scenarios) {
    it(`loses and doubles nothing when ${scenario.name}`, () => runScenario(scenario))
  }
})
