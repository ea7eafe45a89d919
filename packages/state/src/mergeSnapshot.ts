/** Merges a snapshot from an agent into the state that its proxy already has. */
import type { GroupSnapshot, RoutingSnapshot, VersionedTargets } from '@nutmegcourse/protocol'

/**
 * A restarted agent sends what it has learned so far: perhaps no targets, a group without backend
 * servers, or no groups at all. Proxies that replaced their state by this would refuse callers that
 * they served a moment ago. Whatever such a snapshot lacks is therefore kept from the previous one,
 * and nothing with a version or term reverts to an older one. At worst a group or server that was
 * removed is kept for too long: its servers stop answering and get no requests.
 */
export function mergeSnapshot(
  previous: RoutingSnapshot | null,
  received: RoutingSnapshot,
): RoutingSnapshot {
  if (previous === null) return received
  const receivedGroups = new Map(received.groups.map(group => [group.record.database, group]))
  const kept = previous.groups.filter(group => !receivedGroups.has(group.record.database))
  const previousGroups = new Map(previous.groups.map(group => [group.record.database, group]))
  const merged = received.groups.map(group =>
    mergeGroup(previousGroups.get(group.record.database), group),
  )
  return {
    ...received,
    targets: newerTargets(previous.targets, received.targets),
    groups: [...merged, ...kept],
  }
}

function newerTargets(
  previous: VersionedTargets | null,
  received: VersionedTargets | null,
): VersionedTargets | null {
  if (previous === null || received === null) return received ?? previous
  return received.version >= previous.version ? received : previous
}

function mergeGroup(previous: GroupSnapshot | undefined, received: GroupSnapshot): GroupSnapshot {
  if (previous === undefined) return received
  return {
    record: received.record.term >= previous.record.term ? received.record : previous.record,
    backendServers:
      received.backendServers.length > 0 ? received.backendServers : previous.backendServers,
  }
}
