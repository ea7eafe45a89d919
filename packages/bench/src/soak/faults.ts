/** The faults of a soak run. Each is injected and later healed. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import { agentProcessId, proxyProcessId, type Deployment } from '../deployment/deployment.js'
import { pauseReplication } from '../deployment/serverCommands.js'

export interface Fault {
  readonly name: string
  inject(): Promise<void>
  heal(): Promise<void>
}

type FaultFactory = (deployment: Deployment, random: RandomSource) => Fault

function killFault(deployment: Deployment, id: string): Fault {
  return {
    name: `kill ${id}`,
    inject: () => deployment.kill(id),
    heal: () => deployment.restart(id),
  }
}

function freezeFault(deployment: Deployment, id: string): Fault {
  return {
    name: `freeze ${id}`,
    inject: () => {
      deployment.freeze(id)
      return Promise.resolve()
    },
    heal: () => {
      deployment.thaw(id)
      return Promise.resolve()
    },
  }
}

const pickServer: (deployment: Deployment, random: RandomSource) => string = (deployment, random) =>
  pick(
    deployment.plan.databases.flatMap(database => database.servers.map(server => server.id)),
    random,
  )

const FAULT_FACTORIES: readonly FaultFactory[] = [
  (deployment, random) => killFault(deployment, pickServer(deployment, random)),
  (deployment, random) => killFault(deployment, pickServer(deployment, random)),
  (deployment, random) => freezeFault(deployment, pickServer(deployment, random)),
  (deployment, random) => freezeFault(deployment, pickServer(deployment, random)),
  (deployment, random) =>
    killFault(deployment, agentProcessId(pick(deployment.plan.entryHosts, random))),
  (deployment, random) =>
    freezeFault(deployment, agentProcessId(pick(deployment.plan.entryHosts, random))),
  (deployment, random) =>
    killFault(deployment, proxyProcessId(pick(deployment.plan.entryHosts, random))),
  (deployment, random) =>
    freezeFault(deployment, proxyProcessId(pick(deployment.plan.entryHosts, random))),
  (deployment, random) => {
    const zone = pick(deployment.zones, random)
    return {
      name: `isolate ${zone}`,
      inject: () => deployment.isolate(zone),
      heal: () => deployment.rejoin(zone),
    }
  },
  deployment => {
    const { platformRegion, zones } = deployment.plan.shape
    const home = zones.filter(each => each.region === platformRegion).map(each => each.zone)
    const away = zones.filter(each => each.region !== platformRegion).map(each => each.zone)
    return {
      name: 'cut the regions',
      inject: () => deployment.cut(home, away),
      heal: () => deployment.heal(home, away),
    }
  },
  (deployment, random) => {
    const [first, second] = [pick(deployment.zones, random), pick(deployment.zones, random)]
    return {
      name: `break connections of ${first} and ${second}`,
      inject: () => deployment.resetConnections([first], [second]),
      heal: () => Promise.resolve(),
    }
  },
  deployment => ({
    name: 'store outage',
    inject: () => deployment.platform.setStoreFaults({ outage: true }),
    heal: () => deployment.platform.setStoreFaults({ outage: false }),
  }),
  deployment => ({
    name: 'lose the answer of a swap',
    inject: () => deployment.platform.setStoreFaults({ loseNextAnswers: 1 }),
    heal: () => deployment.platform.setStoreFaults({ loseNextAnswers: 0 }),
  }),
  (deployment, random) => {
    const { servers } = pick(deployment.plan.databases, random)
    const server = pick(servers, random)
    // Errors are ignored: a server that is down or frozen cannot be reached and replicates nothing.
    const setPaused = (paused: boolean): Promise<void> =>
      pauseReplication(server, paused).catch(() => undefined)
    return {
      name: `pause replication of ${server.id}`,
      inject: () => setPaused(true),
      heal: () => setPaused(false),
    }
  },
]

export const pickFault: FaultFactory = (deployment, random) =>
  pick(FAULT_FACTORIES, random)(deployment, random)
