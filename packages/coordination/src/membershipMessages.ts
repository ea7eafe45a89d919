/** Messages and effects of the membership state machine, which tracks the entry hosts that are alive. */
import type { ListedHost, Member } from '@nutmegcourse/protocol'
import type { EntryHostId } from '@nutmegcourse/shared'

export type ListedEntryHost = Extract<ListedHost, { kind: 'entryHost' }>

export type MembershipMessage =
  /** The platform's host list, which lags behind. */
  | { readonly kind: 'hostList'; readonly hosts: readonly ListedEntryHost[] }
  /** A request or an answer of the peer arrived on a direct link. */
  | { readonly kind: 'heard'; readonly peer: EntryHostId }
  /** The direct link broke, or another host answers at the peer's address. */
  | { readonly kind: 'linkLost'; readonly peer: EntryHostId }
  /** The direct link was closed on purpose. */
  | { readonly kind: 'unlinked'; readonly peer: EntryHostId }
  /** The state of a host, gossiped by another agent. */
  | { readonly kind: 'news'; readonly member: Member }
  /** A helper's result for a silent host. */
  | {
      readonly kind: 'probeAnswered'
      readonly subject: EntryHostId
      readonly reached: boolean
    }
  | { readonly kind: 'tick' }
  /** This host shuts down as planned. */
  | { readonly kind: 'stop' }

export type MembershipEffect =
  /** Gossips the member's state to the fleet. */
  | { readonly kind: 'spread'; readonly member: Member }
  /** Asks `helper` to probe `subject`. Every probe is answered with `probeAnswered`, a lost one with false. */
  | {
      readonly kind: 'probe'
      readonly helper: EntryHostId
      readonly subject: EntryHostId
    }
  /** The set of hosts to hold links to. */
  | { readonly kind: 'neighbours'; readonly hosts: readonly EntryHostId[] }
  /** The set of live hosts, or the known state of one, changed. */
  | { readonly kind: 'changed'; readonly change: MembershipChange; readonly host: EntryHostId }
  /** The host has been unavailable for `forgetMilliseconds`: its gossiped state may be dropped. */
  | { readonly kind: 'forget'; readonly host: EntryHostId }

export type MembershipChange =
  | 'joined'
  | 'returned'
  | 'failed'
  | 'left'
  | 'listed'
  | 'unlisted'
  /** The settling time is over: listed hosts that this host knows nothing of now count as absent. */
  | 'settled'
