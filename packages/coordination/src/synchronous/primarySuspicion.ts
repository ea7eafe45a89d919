/**
 * Decides when a silent primary is to be replaced. One host's view is not enough at first: a host
 * that is cut off from a healthy primary would replace it for everyone. So hosts tell each other
 * through the store whom they find silent, and few of them together act; a host that stays alone with its view
 * acts later, because a change away from a primary that lives interrupts its callers hardly at all.
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'

/**
 * Silence after which a host suspects. Several probes fit into it, and the longest pauses that a
 * loaded server or a lost packet causes stay below it; each millisecond more is one of failover gap.
 */
export const SUSPECT_AFTER_MILLISECONDS = 500

/** A primary whose port refuses connections has no process; two refusals rule out a lost packet. */
export const REFUSALS_TO_SUSPECT = 2

/** Part of the entry hosts that must agree, and the least number of them. */
const QUORUM_SHARE = 0.25
const LEAST_QUORUM = 2

/** A host that nobody joins acts by itself after this long. */
const ALONE_AFTER_MILLISECONDS = 1800

/** A vote counts so long after it was heard of, and is cast again in half of that time. */
export const VOTE_LIFETIME_MILLISECONDS = 4000

/** Hosts act one after the other by rank, so that the first is mostly done before the second begins. */
export const RANK_PAUSE_MILLISECONDS = 120

export interface PrimarySigns {
  readonly primary: BackendServerId
  /** How long questions to it have stayed unanswered; 0 when none has. */
  readonly silentMilliseconds: number
  /** Refused connections in a row. */
  readonly refusals: number
}

export type SuspicionAdvice = 'trust' | 'vote' | 'act'

export class PrimarySuspicion {
  #suspect: BackendServerId | null = null
  #since = 0
  readonly #votes = new Map<string, { readonly primary: BackendServerId; readonly at: number }>()

  /** Another host finds the server silent. */
  heardVote(host: string, primary: BackendServerId, now: Milliseconds): void {
    this.#votes.set(host, { primary, at: now })
  }

  heardNoVote(host: string): void {
    this.#votes.delete(host)
  }

  /** `rank` is this host's place among the hosts for this service; `hosts` counts them all. */
  advise(signs: PrimarySigns, hosts: number, rank: number, now: Milliseconds): SuspicionAdvice {
    if (!isSuspicious(signs)) {
      this.#suspect = null
      return 'trust'
    }
    if (this.#suspect !== signs.primary) {
      this.#suspect = signs.primary
      this.#since = now
    }
    const suspectedFor = now - this.#since
    const isAgreed = 1 + this.#votesFor(signs.primary, now) >= quorum(hosts)
    const mayActAt = isAgreed ? rank * RANK_PAUSE_MILLISECONDS : ALONE_AFTER_MILLISECONDS
    return suspectedFor >= mayActAt ? 'act' : 'vote'
  }

  #votesFor(primary: BackendServerId, now: Milliseconds): number {
    let count = 0
    for (const vote of this.#votes.values()) {
      if (vote.primary === primary && now - vote.at < VOTE_LIFETIME_MILLISECONDS) count += 1
    }
    return count
  }
}

const isSuspicious = (signs: PrimarySigns): boolean =>
  signs.silentMilliseconds >= SUSPECT_AFTER_MILLISECONDS || signs.refusals >= REFUSALS_TO_SUSPECT

const quorum = (hosts: number): number =>
  Math.min(Math.max(LEAST_QUORUM, Math.ceil(hosts * QUORUM_SHARE)), Math.max(hosts, 1))
