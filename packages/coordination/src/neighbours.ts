/**
 * Chooses the hosts to which a host keeps permanent links: all others in a small fleet, a bounded
 * number in a large one. These are chosen by the rendezvous hash of the pair, so that a host that
 * joins or leaves changes only links to that host. Both ends use a link, so a host has about twice as
 * many links as it chooses.
 */
import type { AvailabilityZoneId, EntryHostId, RegionId } from '@nutmegcourse/shared'
import { mixHashes, stableHash } from './stableHash.js'

export interface HostLocation {
  readonly entryHost: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
}

export interface NeighbourOptions {
  /** With up to this many other hosts, all hosts are linked to each other. */
  readonly fullMeshHosts: number
  /** Large enough that the hosts of a zone that is cut off stay connected to each other. */
  readonly inZone: number
  readonly inRegion: number
  /** Small, since traffic between regions is billed. */
  readonly inOtherRegions: number
}

export const DEFAULT_NEIGHBOUR_OPTIONS: NeighbourOptions = {
  fullMeshHosts: 12,
  inZone: 3,
  inRegion: 2,
  inOtherRegions: 1,
}

export function chooseNeighbours(
  self: HostLocation,
  others: readonly HostLocation[],
  options: NeighbourOptions = DEFAULT_NEIGHBOUR_OPTIONS,
): readonly EntryHostId[] {
  if (others.length <= options.fullMeshHosts) return others.map(host => host.entryHost)
  const ownHash = stableHash(self.entryHost)
  const ranked = others
    .map(host => ({ host, score: mixHashes(ownHash, stableHash(host.entryHost)) }))
    .sort((left, right) => right.score - left.score)
    .map(({ host }) => host)
  const inZone = ranked.filter(host => host.zone === self.zone)
  const inRegion = ranked.filter(host => host.region === self.region && host.zone !== self.zone)
  const elsewhere = ranked.filter(host => host.region !== self.region)
  const chosen = [
    ...inZone.slice(0, options.inZone),
    ...inRegion.slice(0, options.inRegion),
    ...elsewhere.slice(0, options.inOtherRegions),
  ]
  return chosen.map(host => host.entryHost)
}
