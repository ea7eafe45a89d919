/** Generates fleets of any size with the planned layout of hosts, zones, regions and databases. */
import type { GroupRecord, ListedBackendServer, Member } from '@nutmegcourse/protocol'
import {
  availabilityZoneId,
  backendServerId,
  databaseId,
  entryHostId,
  incarnation,
  logPosition,
  regionId,
  term,
} from '@nutmegcourse/shared'
import type { HostLocation, ListedEntryHost } from '@nutmegcourse/coordination'

export interface FleetSize {
  readonly hosts: number
  readonly databases: number
}

const ZONES_PER_REGION = 3
const LARGE_FLEET_HOSTS = 24
const LARGE_FLEET_REGIONS = 4
const SERVERS_PER_DATABASE = 3
const LOOPBACK = '127.0.0.1'

const regionCount = (size: FleetSize): number =>
  size.hosts < LARGE_FLEET_HOSTS ? 1 : LARGE_FLEET_REGIONS

function zoneLocation(zone: number): Pick<HostLocation, 'zone' | 'region'> {
  return {
    zone: availabilityZoneId(`zone-${zone}`),
    region: regionId(`region-${Math.floor(zone / ZONES_PER_REGION)}`),
  }
}

export function hostLocations(size: FleetSize): readonly HostLocation[] {
  const zones = regionCount(size) * ZONES_PER_REGION
  return Array.from({ length: size.hosts }, (_, index) => ({
    entryHost: entryHostId(`host-${index}`),
    ...zoneLocation(index % zones),
  }))
}

export const listedHost = (location: HostLocation, port: number): ListedEntryHost => ({
  kind: 'entryHost',
  id: location.entryHost,
  address: LOOPBACK,
  port,
  zone: location.zone,
  region: location.region,
  state: 'live',
})

export const memberOf = (location: HostLocation, port: number, incarnationNumber = 1): Member => ({
  ...location,
  address: LOOPBACK,
  port,
  incarnation: incarnation(incarnationNumber),
  status: 'alive',
})

/** The servers of a database, one in each zone of one region. */
export function serversOf(
  index: number,
  size: FleetSize,
  port: number,
): readonly ListedBackendServer[] {
  const region = index % regionCount(size)
  return Array.from({ length: SERVERS_PER_DATABASE }, (_, server) => ({
    kind: 'backendServer',
    id: backendServerId(`db-${index}-${server}`),
    database: databaseId(`db-${index}`),
    address: LOOPBACK,
    port,
    ...zoneLocation(region * ZONES_PER_REGION + server),
    state: 'live',
    slots: 3,
    connectionLimit: 25,
  }))
}

export const groupRecordOf = (index: number): GroupRecord => ({
  database: databaseId(`db-${index}`),
  term: term(1),
  primary: backendServerId(`db-${index}-0`),
  phase: { kind: 'stable' },
  coordinator: null,
  attempt: null,
  termStarts: [
    {
      term: term(1),
      primary: backendServerId(`db-${index}-0`),
      startsAfter: logPosition(0, 0),
    },
  ],
})
