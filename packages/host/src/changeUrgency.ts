/**
 * Whether callers wait while this host has not heard of the next change in the store.
 *
 * @internal
 */
import { readRecordName } from '@nutmegcourse/coordination'
import type { DirectoryChange } from '@nutmegcourse/protocol'
import type { BackendServerId } from '@nutmegcourse/shared'

/** What this host does with the services that changes concern. */
export interface ServiceInterest {
  /** It holds connections to the service's servers, or may have to act for it. */
  worksWith(service: string): boolean
  serviceOf(server: BackendServerId): string | null
}

/**
 * A change is urgent where a primary moves or a server leaves, and then only for hosts that work
 * with that service. Where a few hosts own a service, the others hand statements to them and lose nothing
 * by hearing later; a vote of one owner would else end the watch of every host of the fleet.
 */
export function isUrgent(change: DirectoryChange, interest: ServiceInterest): boolean {
  switch (change.kind) {
    case 'configuration':
    case 'unreadable':
      return false
    case 'server': {
      const { entry } = change
      return (entry.isLeaving || entry.role === 'primary') && interest.worksWith(entry.service)
    }
    case 'serverGone': {
      const service = interest.serviceOf(change.server)
      return service !== null && interest.worksWith(service)
    }
    case 'record': {
      const name = readRecordName(change.key)
      if (name === null || name.kind === 'host') return false
      return interest.worksWith(name.service)
    }
  }
}
