/** The layout of a deployment (ids, zones and ports), computed before any process starts. */
import {
  availabilityZoneId,
  backendServerId,
  databaseId,
  entryHostId,
  type AvailabilityZoneId,
  type BackendServerId,
  type DatabaseId,
  type EntryHostId,
  type RegionId,
} from '@nutmegcourse/shared'
import { freePorts } from '@nutmegcourse/stand-ins'
import type { DeploymentShape, ShapeZone } from './shapes.js'

/** The platform has a zone of its own, so that a zone can be cut off from the platform alone. */
export const PLATFORM_ZONE = availabilityZoneId('platform')

export interface PlannedServer {
  readonly id: BackendServerId
  readonly database: DatabaseId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  readonly port: number
}

export interface PlannedEntryHost {
  readonly id: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  readonly agentPort: number
  readonly proxyListenPort: number
  readonly proxyPort: number
}

export interface PlannedDatabase {
  readonly id: DatabaseId
  /** The first one is the initial primary. */
  readonly servers: readonly PlannedServer[]
}

export interface DeploymentPlan {
  readonly shape: DeploymentShape
  readonly databases: readonly PlannedDatabase[]
  readonly entryHosts: readonly PlannedEntryHost[]
}

const PORTS_PER_ENTRY_HOST = 3

export async function planDeployment(
  shape: DeploymentShape,
  databaseCount: number,
  entryHostCount: number,
): Promise<DeploymentPlan> {
  const serverCount = databaseCount * shape.zones.length
  const ports = [...(await freePorts(serverCount + PORTS_PER_ENTRY_HOST * entryHostCount))]
  const nextPort = (): number => ports.pop() ?? 0
  const databases = indexesBelow(databaseCount).map(index => planDatabase(shape, index, nextPort))
  const entryHosts = indexesBelow(entryHostCount).map(index => ({
    id: entryHostId(`entry-${index + 1}`),
    ...zoneAt(shape, index),
    agentPort: nextPort(),
    proxyListenPort: nextPort(),
    proxyPort: nextPort(),
  }))
  return { shape, databases, entryHosts }
}

/** Distributes the initial primaries round-robin over the zones of the platform's region. */
function planDatabase(
  shape: DeploymentShape,
  index: number,
  nextPort: () => number,
): PlannedDatabase {
  const id = databaseId(`${shape.service}-${index + 1}`)
  const homeZoneCount = shape.zones.filter(entry => entry.region === shape.platformRegion).length
  const first = index % homeZoneCount
  const order = [first, ...indexesBelow(shape.zones.length).filter(zone => zone !== first)]
  const servers = order.map(zone => ({
    id: backendServerId(`${id}-${zoneAt(shape, zone).zone}`),
    database: id,
    ...zoneAt(shape, zone),
    port: nextPort(),
  }))
  return { id, servers }
}

function zoneAt(shape: DeploymentShape, index: number): ShapeZone {
  const found = shape.zones[index % shape.zones.length]
  if (found === undefined) throw new Error('the deployment shape has no zones')
  return found
}

const indexesBelow = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, at) => at)
