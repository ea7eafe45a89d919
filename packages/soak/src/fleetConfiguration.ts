/** The operators' configuration of a run. */
import type { FleetConfiguration, Route } from '@nutmegcourse/protocol'
import type { MemoryGroup } from '@nutmegcourse/stand-ins'
import {
  BOUNDED_AGE_MILLISECONDS,
  GUARANTEES,
  IDLE_TRANSACTION_MILLISECONDS,
  LATENCY_TARGET_MILLISECONDS,
  SHORTEST_TIMEOUT_MILLISECONDS,
  databaseName,
  type Guarantee,
} from './guarantees.js'
import { databaseOfVersion, liveVersions } from './configurationChecker.js'
import { CLASS_PRIORITIES, CUSTOMERS } from './hardLoad.js'

const GUARANTEE_TYPES: Readonly<Record<Guarantee, Route['guarantee']>> = {
  latest: { kind: 'latest' },
  bounded: { kind: 'bounded', maximumAgeMilliseconds: BOUNDED_AGE_MILLISECONDS },
  own: { kind: 'ownWrites', maximumAgeMilliseconds: BOUNDED_AGE_MILLISECONDS },
}

/** The statement timeouts change with each version; with `hasVersionRoutes`, routes come and go as well. */
export function configurationOf(
  version: number,
  groups: readonly MemoryGroup[],
  isHardLoad: boolean,
  hasVersionRoutes: boolean,
): FleetConfiguration {
  const timeout = SHORTEST_TIMEOUT_MILLISECONDS + (version % 4) * 100
  const route = (service: string, guarantee: Guarantee): Route => ({
    name: `r-${service}-${guarantee}`,
    database: databaseName(service, guarantee),
    service,
    guarantee: GUARANTEE_TYPES[guarantee],
    statementTimeoutMilliseconds: timeout,
    latencyTargetMilliseconds: LATENCY_TARGET_MILLISECONDS,
    priority: isHardLoad ? CLASS_PRIORITIES[guarantee] : 1,
    isPublic: false,
  })
  const [firstGroup] = groups
  const added = hasVersionRoutes && firstGroup !== undefined ? liveVersions(version) : []
  return {
    version,
    routes: [
      ...groups.flatMap(({ service }) => GUARANTEES.map(each => route(service, each))),
      ...added.map(each => {
        const database = databaseOfVersion(each)
        return { ...route(firstGroup?.service ?? '', 'own'), name: `r-${database}`, database }
      }),
    ],
    services: groups.map(({ service, connectionLimit }) => ({
      name: service,
      connectionLimit,
      synchronousReplicas: 1,
    })),
    customers: isHardLoad ? CUSTOMERS : [],
    idleTransactionMilliseconds: IDLE_TRANSACTION_MILLISECONDS,
  }
}
