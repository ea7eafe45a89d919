/**
 * Counts the members of a group from a host list that may lose entries.
 *
 * @internal
 */
import type { BackendServerId } from '@nutmegcourse/shared'
import type { ListedBackendServer } from '@nutmegcourse/protocol'

/**
 * A server stops being a member only if it was listed as leaving before its entry disappeared. One
 * whose entry disappeared without that still counts; otherwise a primary that is listed alone would
 * confirm its own writes. Assumes that servers join and leave one at a time, and that each change
 * is known everywhere before the next.
 */
export class GroupMembers {
  #listed = new Map<BackendServerId, ListedBackendServer['state']>()
  readonly #unlisted = new Set<BackendServerId>()

  get size(): number {
    return this.#listed.size + this.#unlisted.size
  }

  update(servers: readonly ListedBackendServer[]): void {
    const before = this.#listed
    this.#listed = new Map(servers.map(each => [each.id, each.state]))
    for (const [id, state] of before) {
      if (state === 'live' && !this.#listed.has(id)) this.#unlisted.add(id)
    }
    for (const id of this.#listed.keys()) this.#unlisted.delete(id)
  }
}
