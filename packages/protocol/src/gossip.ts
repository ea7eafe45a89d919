/**
 * Items that agents spread by gossip. Each is versioned and replaces its predecessor under the same key.
 * The order of versions is total and the same at every host, so that hosts which hold the same
 * items agree on the newest of each key, in whatever order the items arrived.
 */
import { assertNever } from '@nutmegcourse/shared'
import type { GroupRecord } from './databaseGroup.js'
import type { DrainList } from './drains.js'
import type { Member, MemberStatus } from './member.js'
import type { VersionedTargets } from './snapshot.js'

export type GossipItem =
  | { readonly kind: 'targets'; readonly document: VersionedTargets }
  | { readonly kind: 'drains'; readonly drains: DrainList }
  /**
   * `revision`: the newest that the announcing host knew of the stored record, 0 for none. The store may not hold
   * `record` itself yet: a change of primary is announced before it is stored.
   */
  | { readonly kind: 'group'; readonly record: GroupRecord; readonly revision: number }
  | { readonly kind: 'member'; readonly member: Member }

/** Compared from the left; greater is newer. */
export type GossipVersion = readonly [number, number, number]

export function gossipKey(item: GossipItem): string {
  switch (item.kind) {
    case 'targets':
      return 'targets'
    case 'drains':
      return 'drains'
    case 'group':
      return `group/${item.record.database}`
    case 'member':
      return `member/${item.member.entryHost}`
    default:
      return assertNever(item)
  }
}

export function gossipVersion(item: GossipItem): GossipVersion {
  switch (item.kind) {
    case 'targets':
      return [item.document.version, textHash(item.document.changeId), 0]
    case 'drains':
      return [item.drains.version, 0, 0]
    case 'group':
      return [item.record.term, progressOrder(item.record), item.revision]
    case 'member':
      return [item.member.incarnation, statusOrder(item.member.status), 0]
    default:
      return assertNever(item)
  }
}

export function compareGossipVersions(left: GossipVersion, right: GossipVersion): number {
  return left[0] - right[0] || left[1] - right[1] || left[2] - right[2]
}

/**
 * Within a term a change of primary goes from fencing through promoting to a leader; a leader whose
 * term start is recorded outranks one that was only discovered. A planned move starts from a stable
 * group and returns to it when abandoned, so these two phases are ordered by revision alone.
 */
function progressOrder(record: GroupRecord): number {
  switch (record.phase.kind) {
    case 'fencing':
      return 0
    case 'promoting':
      return 1
    case 'stable':
    case 'moving':
      return record.termStarts.at(-1)?.term === record.term ? 3 : 2
    default:
      return assertNever(record.phase)
  }
}

/**
 * Within one incarnation `failed` supersedes `alive`, and `left` supersedes both: only the host itself can refute
 * them, with a newer incarnation.
 */
function statusOrder(status: MemberStatus): number {
  switch (status) {
    case 'alive':
      return 0
    case 'failed':
      return 1
    case 'left':
      return 2
    default:
      return assertNever(status)
  }
}

/** Any fixed order will do: it breaks ties between two documents of one version alike at every host. */
function textHash(text: string): number {
  let order = 0
  for (const character of text) {
    order = (Math.imul(order, 31) + (character.codePointAt(0) ?? 0)) >>> 0
  }
  return order
}
