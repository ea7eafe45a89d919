/**
 * Where the servers of a service are.
 *
 * @internal
 */
import type { HostSettings } from '@nutmegcourse/protocol'
import type { CustomerName, LogPosition, RegionId } from '@nutmegcourse/shared'
import type { BackendServerState } from './backendServerState.js'
import type { ReadTerms } from './readerChoice.js'
import type { ServiceState } from './serviceState.js'

type Places = Pick<HostSettings, 'region' | 'regions'>

export const regionOf = ({ entry }: BackendServerState, { regions }: Places): RegionId | null =>
  regions.get(entry.zone) ?? null

/** The regions that have servers of the service. */
export const serverRegions = (service: ServiceState, places: Places): ReadonlySet<string> =>
  new Set(service.servers.flatMap(server => regionOf(server, places) ?? []))

export function primaryRegion({ primary }: ServiceState, places: Places): RegionId | null {
  return primary === null ? null : regionOf(primary, places)
}

/** What a read asks of a server of this host's region. */
export function nearTerms(
  service: ServiceState,
  places: Places,
  need: LogPosition | null,
  customer: CustomerName | null,
): ReadTerms {
  const far = service.servers.filter(server => regionOf(server, places) !== places.region)
  return { need, excluded: new Set(far.map(({ entry }) => entry.server)), customer }
}
