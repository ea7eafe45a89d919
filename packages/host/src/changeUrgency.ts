/**
 * Decides after a change in the store whether callers may be waiting for the next one, which then must not be batched.
 *
 * @internal
 */
import { readRecordName } from '@nutmegcourse/coordination'
import type { DirectoryChange } from '@nutmegcourse/protocol'
import type { BackendServerId } from '@nutmegcourse/shared'

/** How this host is involved with the services that changes concern. */
export interface ServiceInterest {
  /** Whether it uses the service's servers, may have to change its primary, or forwards changes to such hosts. */
  worksWith(service: string): boolean
  serviceOf(server: BackendServerId): string | null
}

/**
 * A change is urgent where a primary moves or a server leaves, and then only for hosts that work with that service.
 * Hosts that do not own a service forward its statements to the owners, so a delay costs them nothing; otherwise a
 * vote of one owner would end the watch of every host of the fleet.
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
      if (name === null || name.kind === 'host' || name.kind === 'members') return false
      return interest.worksWith(name.service)
    }
  }
}
