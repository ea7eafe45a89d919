/** The faults of a soak: each begins, lasts and is healed. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import { agentOf, proxyOf, type Deployment } from '../deployment/deployment.js'
import { pauseReplication } from '../deployment/serverOrders.js'

export interface Fault {
  readonly name: string
  begin(): Promise<void>
  heal(): Promise<void>
}

type FaultMaker = (deployment: Deployment, random: RandomSource) => Fault

function killed(deployment: Deployment, id: string): Fault {
  return {
    name: `kill ${id}`,
    begin: () => deployment.kill(id),
    heal: () => deployment.restart(id),
  }
}

function frozen(deployment: Deployment, id: string): Fault {
  return {
    name: `freeze ${id}`,
    begin: () => {
      deployment.freeze(id)
      return Promise.resolve()
    },
    heal: () => {
      deployment.thaw(id)
      return Promise.resolve()
    },
  }
}

const serverOf: (deployment: Deployment, random: RandomSource) => string = (deployment, random) =>
  pick(
    deployment.plan.databases.flatMap(database => database.servers.map(server => server.id)),
    random,
  )

const MAKERS: readonly FaultMaker[] = [
  (deployment, random) => killed(deployment, serverOf(deployment, random)),
  (deployment, random) => killed(deployment, serverOf(deployment, random)),
  (deployment, random) => frozen(deployment, serverOf(deployment, random)),
  (deployment, random) => frozen(deployment, serverOf(deployment, random)),
  (deployment, random) => killed(deployment, agentOf(pick(deployment.plan.entryHosts, random))),
  (deployment, random) => frozen(deployment, agentOf(pick(deployment.plan.entryHosts, random))),
  (deployment, random) => killed(deployment, proxyOf(pick(deployment.plan.entryHosts, random))),
  (deployment, random) => frozen(deployment, proxyOf(pick(deployment.plan.entryHosts, random))),
  (deployment, random) => {
    const zone = pick(deployment.zones, random)
    return {
      name: `isolate ${zone}`,
      begin: () => deployment.isolate(zone),
      heal: () => deployment.rejoin(zone),
    }
  },
  deployment => {
    const { platformRegion, zones } = deployment.plan.shape
    const home = zones.filter(each => each.region === platformRegion).map(each => each.zone)
    const away = zones.filter(each => each.region !== platformRegion).map(each => each.zone)
    return {
      name: 'cut the regions',
      begin: () => deployment.cut(home, away),
      heal: () => deployment.heal(home, away),
    }
  },
  (deployment, random) => {
    const [first, second] = [pick(deployment.zones, random), pick(deployment.zones, random)]
    return {
      name: `break connections of ${first} and ${second}`,
      begin: () => deployment.resetConnections([first], [second]),
      heal: () => Promise.resolve(),
    }
  },
  deployment => ({
    name: 'store outage',
    begin: () => deployment.platform.setStoreFaults({ outage: true }),
    heal: () => deployment.platform.setStoreFaults({ outage: false }),
  }),
  deployment => ({
    name: 'lose the answer of a swap',
    begin: () => deployment.platform.setStoreFaults({ loseNextAnswers: 1 }),
    heal: () => deployment.platform.setStoreFaults({ loseNextAnswers: 0 }),
  }),
  (deployment, random) => {
    const { servers } = pick(deployment.plan.databases, random)
    const server = pick(servers, random)
    // A server that is down or frozen at the time needs no pause and can take no order.
    const order = (paused: boolean): Promise<void> =>
      pauseReplication(server, paused).catch(() => undefined)
    return {
      name: `pause replication of ${server.id}`,
      begin: () => order(true),
      heal: () => order(false),
    }
  },
]

export const pickFault: FaultMaker = (deployment, random) =>
  pick(MAKERS, random)(deployment, random)
