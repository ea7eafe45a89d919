/**
 * Decides when a silent primary is to be replaced. One host's view is not enough at first: a host
 * that is cut off from a healthy primary would replace it for everyone. So hosts tell each other
 * through the store whom they find silent, and whoever reaches the server says so. They act when those
 * who lost it outnumber those who reach it; a host that hears nobody acts later.
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'

/**
 * Silence after which a host suspects. Several probes fit into it, and the longest pauses that a
 * loaded server or a lost packet causes stay below it; each millisecond more is one of failover gap.
 */
export const SUSPECT_AFTER_MILLISECONDS = 500

/** A primary whose port refuses connections has no process; two refusals rule out a lost packet. */
export const REFUSALS_TO_SUSPECT = 2

/** With this part of the entry hosts agreed, nobody's denial can outweigh them: they act at once. */
const MAJORITY_SHARE = 0.5

/** With this part, and at least so many, they act once the others have had time to deny. */
const QUORUM_SHARE = 0.25
const MINIMUM_QUORUM = 2

/** A vote's way to the others and a denial's way back: two changes in the store and their news. */
const DENIAL_WINDOW_MILLISECONDS = 200

/**
 * A host that nobody joins acts by itself after this long. The others reach the primary, or can not
 * say that they do not: they are down, or the store turns them away. Moving it away from hosts that
 * reach it may cut them off from the new one, so only a host that finds no way through them acts.
 */
const SINGLE_HOST_DELAY_MILLISECONDS = 2500

/** Between two writes of a database that is in use; replicas may apply them that much later too. */
const LOG_GROWTH_WINDOW_MILLISECONDS = 1000

/** So long after another host reached the primary for this one, it is taken to be well. */
const REACHED_WINDOW_MILLISECONDS = 1500

/** A vote counts so long after it was heard of, and is cast again in half of that time. */
export const VOTE_LIFETIME_MILLISECONDS = 4000

/** Hosts act one after the other by rank, so that the first is mostly done before the second begins. */
export const RANK_PAUSE_MILLISECONDS = 120

export interface PrimaryObservations {
  readonly primary: BackendServerId
  /** How long questions to it have stayed unanswered; 0 when none has. */
  readonly silentMilliseconds: number
  /** Refused connections in a row. */
  readonly refusals: number
  /** Since a replica was last seen to receive more; infinite when none was. */
  readonly logGrewAgo: number
  /** Since another host last reached it for this one; infinite when none did. */
  readonly reachedThroughOthersAgo: number
}

export type SuspicionAdvice = 'trust' | 'vote' | 'act'

interface Vote {
  readonly primary: BackendServerId
  readonly at: number
  readonly reaches: boolean
}

export class PrimarySuspicion {
  #suspect: BackendServerId | null = null
  #suspectedSince = 0
  readonly #votes = new Map<string, Vote>()

  /** Another host finds the server silent. */
  heardVote(host: string, primary: BackendServerId, now: Milliseconds): void {
    this.#votes.set(host, { primary, at: now, reaches: false })
  }

  /** Another host reaches the server. */
  heardDenial(host: string, primary: BackendServerId, now: Milliseconds): void {
    this.#votes.set(host, { primary, at: now, reaches: true })
  }

  /** Whether some host lately found the server silent. */
  isAccused(primary: BackendServerId, now: Milliseconds): boolean {
    return this.#count(primary, false, now) > 0
  }

  heardNoVote(host: string): void {
    this.#votes.delete(host)
  }

  /** `rank` is this host's place among the hosts for this service; `hosts` counts them all. */
  advise(
    observations: PrimaryObservations,
    hosts: number,
    rank: number,
    now: Milliseconds,
  ): SuspicionAdvice {
    if (!isSuspicious(observations)) {
      this.#suspect = null
      return 'trust'
    }
    if (this.#suspect !== observations.primary) {
      this.#suspect = observations.primary
      this.#suspectedSince = now
    }
    const suspectedFor = now - this.#suspectedSince
    const suspects = 1 + this.#count(observations.primary, false, now)
    if (suspects >= hosts * MAJORITY_SHARE) return suspectedFor >= rankDelay(rank) ? 'act' : 'vote'
    // It serves hosts that may be unable to say so, as when they are cut off from the store.
    if (observations.logGrewAgo < LOG_GROWTH_WINDOW_MILLISECONDS) return 'vote'
    // Moving it would take it away from more hosts than it would come back to.
    if (this.#count(observations.primary, true, now) >= suspects) return 'vote'
    if (suspects >= quorum(hosts)) {
      return suspectedFor >= DENIAL_WINDOW_MILLISECONDS + rankDelay(rank) ? 'act' : 'vote'
    }
    if (observations.reachedThroughOthersAgo < REACHED_WINDOW_MILLISECONDS) return 'vote'
    return suspectedFor >= SINGLE_HOST_DELAY_MILLISECONDS ? 'act' : 'vote'
  }

  #count(primary: BackendServerId, reaches: boolean, now: Milliseconds): number {
    let count = 0
    for (const vote of this.#votes.values()) {
      const isFresh = now - vote.at < VOTE_LIFETIME_MILLISECONDS
      if (vote.primary === primary && vote.reaches === reaches && isFresh) count += 1
    }
    return count
  }
}

const isSuspicious = (observations: PrimaryObservations): boolean =>
  observations.silentMilliseconds >= SUSPECT_AFTER_MILLISECONDS ||
  observations.refusals >= REFUSALS_TO_SUSPECT

const rankDelay = (rank: number): number => rank * RANK_PAUSE_MILLISECONDS

const quorum = (hosts: number): number =>
  Math.min(Math.max(MINIMUM_QUORUM, Math.ceil(hosts * QUORUM_SHARE)), Math.max(hosts, 1))
