import { describe, it } from 'node:test'
import { expect } from 'earl'
import { availabilityZoneId } from '@nutmegcourse/shared'
import { agentProcessId, pauseReplication, setReplicationLag } from '../../src/index.js'
import { runScenario, wait, type Scenario } from './scenario.js'

interface NamedScenario extends Scenario {
  readonly name: string
}

const CASA = availabilityZoneId('casa-est')
const TANGER = [availabilityZoneId('tanger-nord'), availabilityZoneId('tanger-sud')]
/** Longer than every deadline of the classes in use. */
const LONG_FAULT_MILLISECONDS = 3000
const RESETS = 8
const RESET_INTERVAL_MILLISECONDS = 300
const NEAR_LAG_MILLISECONDS = 50
const FAR_LAG_MILLISECONDS = 400

const scenarios: readonly NamedScenario[] = [
  {
    /**
     * Callers at the far region's proxy are refused writes, or wait; all others see nothing. The
     * regions lose each other: the primary keeps a majority in its own region and must not change.
     */
    name: 'the regions lose each other for a while',
    act: async fixture => {
      await fixture.deployment.cut(TANGER, [CASA])
      await fixture.writesSucceed()
      await wait(LONG_FAULT_MILLISECONDS)
      const record = await fixture.deployment.platform.groupRecord(fixture.database.id)
      expect(record.primary).toEqual(fixture.primary.id)
      await fixture.deployment.heal(TANGER, [CASA])
    },
  },
  {
    /**
     * Callers see nothing. The store is silent for long: what is in force goes on.
     */
    name: 'the store is out for long and nothing else fails',
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ outage: true })
      await wait(LONG_FAULT_MILLISECONDS)
      await fixture.writesSucceed()
      await fixture.deployment.platform.setStoreFaults({ outage: false })
    },
    check: result => {
      expect(result.unknown).toEqual(0)
    },
  },
  {
    /**
     * Callers' writes are refused or end unknown, none succeeds. Both replicas stop taking the log:
     * the primary alone holds each write, and alone it must not vouch for one.
     */
    name: 'both replicas stop replicating, then catch up',
    act: async fixture => {
      for (const index of [1, 2]) await pauseReplication(fixture.server(index), true)
      const paused = fixture.load.now()
      await wait(LONG_FAULT_MILLISECONDS)
      expect(fixture.acknowledgedSince(paused)).toEqual(0)
      for (const index of [1, 2]) {
        await pauseReplication(fixture.server(index), false)
      }
    },
  },
  {
    /**
     * Callers far from the primary are left in doubt. Connections between the regions break time and
     * again, with answers of writes that ran on their way: none of those may be sent once more.
     */
    name: 'connections between the regions break with answers on their way',
    act: async fixture => {
      for (let turn = 0; turn < RESETS; turn += 1) {
        await fixture.deployment.resetConnections(TANGER, [CASA])
        await wait(RESET_INTERVAL_MILLISECONDS)
      }
    },
    check: result => {
      expect(result.unknown).toBeGreaterThan(0)
    },
  },
  {
    /**
     * A session writes at one proxy and reads at another while the replicas are late. Its read must
     * wait for a replica that has the write, or go where the write is; never miss it.
     */
    name: 'the replicas lag behind and sessions roam',
    act: async fixture => {
      await setReplicationLag(fixture.server(1), NEAR_LAG_MILLISECONDS)
      await setReplicationLag(fixture.server(2), FAR_LAG_MILLISECONDS)
      await wait(2 * LONG_FAULT_MILLISECONDS)
      await fixture.writesSucceed()
    },
    check: result => {
      expect(result.unknown).toEqual(0)
    },
  },
  {
    /**
     * Callers see an ordinary failover. The agent that would coordinate is paused when the primary
     * dies; others take over, and when it goes on its steps must find themselves outdated.
     */
    name: 'the primary is killed while the first agent is frozen',
    act: async fixture => {
      const agent = agentProcessId(fixture.deployment.entryHost(0))
      fixture.deployment.freeze(agent)
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.anotherServerIsPrimary(fixture.primary)
      await fixture.writesSucceed()
      fixture.deployment.thaw(agent)
      await fixture.deployment.process(fixture.primary.id).start()
      await fixture.writesSucceed()
    },
  },
  {
    /**
     * Callers see nothing. Every agent dies: proxies go on with the last snapshot they had.
     */
    name: 'every agent dies and comes back',
    act: async fixture => {
      const agents = fixture.deployment.plan.entryHosts.map(agentProcessId)
      await Promise.all(agents.map(agent => fixture.deployment.kill(agent)))
      await fixture.writesSucceed()
      await Promise.all(agents.map(agent => fixture.deployment.process(agent).start()))
      await fixture.writesSucceed()
    },
    check: result => {
      expect(result.unknown).toEqual(0)
      expect([...result.refusals.keys()]).toEqual([])
    },
  },
  {
    /**
     * Callers see two interruptions at once. The primary's zone is cut off while the store is out:
     * the others must agree without the store, and the isolated primary must not be believed.
     */
    name: "the primary's zone is isolated while the store is out",
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ outage: true })
      await fixture.deployment.isolate(fixture.primary.zone)
      await fixture.writesSucceed()
      await fixture.deployment.rejoin(fixture.primary.zone)
      await fixture.deployment.platform.setStoreFaults({ outage: false })
      await fixture.anotherServerIsPrimary(fixture.primary)
    },
  },
]

describe('partitions and pauses', () => {
  for (const scenario of scenarios) {
    it(`loses and doubles nothing when ${scenario.name}`, () => runScenario(scenario))
  }
})
