/**
 * Decides when a silent primary is to be replaced. One host's view does not suffice at first: a host
 * that is cut off from a healthy primary would replace it for all others. Hosts therefore publish
 * through the store which primary they get no answer from, and hosts that reach it publish a denial.
 * They act when the hosts that lost it outnumber those that reach it; without a quorum of votes a host
 * acts later.
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'

/**
 * Silence after which a host suspects the primary. It covers several probes, and the longest delays
 * that a loaded server or a lost packet causes stay below it; each additional millisecond extends the
 * failover gap by one.
 */
export const SUSPECT_AFTER_MILLISECONDS = 500

/** A port that refuses connections has no process behind it; two refusals rule out a lost packet. */
export const REFUSALS_TO_SUSPECT = 2

/** If this share of the entry hosts agrees, denials cannot outweigh them, so they act at once. */
const MAJORITY_SHARE = 0.5

/** If this share agrees, and at least `MINIMUM_QUORUM` hosts, they act once the others have had time to deny. */
const QUORUM_SHARE = 0.25
const MINIMUM_QUORUM = 2

/** Time for a vote to reach the others and a denial to return: two store changes and their propagation. */
const DENIAL_WINDOW_MILLISECONDS = 200

/**
 * A host whose suspicion is not shared by a quorum acts after this delay. The others reach the primary,
 * or cannot report that they do not because they are down or the store rejects them. A change may cut
 * off hosts that reach the old primary from the new one, so the host acts only if it cannot reach the
 * primary through them.
 */
const SINGLE_HOST_DELAY_MILLISECONDS = 2500

/** Longest time between two writes to a database in use; replicas may also receive them this much later. */
const LOG_GROWTH_WINDOW_MILLISECONDS = 1000

/** The primary counts as healthy for this long after another host reached it on behalf of this one. */
const REACHED_WINDOW_MILLISECONDS = 1500

/** A vote counts for this long after it was received, and is cast again after half of that time. */
export const VOTE_LIFETIME_MILLISECONDS = 4000

/** Hosts act one after the other by rank, so that the first has usually finished before the second starts. */
export const RANK_DELAY_MILLISECONDS = 120

export interface PrimaryObservations {
  readonly primary: BackendServerId
  /** How long requests to it have been unanswered; 0 if none is. */
  readonly silentMilliseconds: number
  /** Consecutive refused connections. */
  readonly refusals: number
  /** Milliseconds since a replica was last seen to receive more of the log; infinite if none was. */
  readonly logGrewAgo: number
  /** Milliseconds since another host last reached it on behalf of this one; infinite if none did. */
  readonly reachedThroughOthersAgo: number
}

export type SuspicionAdvice = 'trust' | 'vote' | 'act'

interface Vote {
  readonly primary: BackendServerId | null
  readonly at: number
  readonly reaches: boolean
}

export class PrimarySuspicion {
  #suspect: BackendServerId | null = null
  #suspectedSince = 0
  readonly #votes = new Map<string, Vote>()

  /** Records that another host gets no answer from the server. */
  recordVote(host: string, primary: BackendServerId, now: Milliseconds): void {
    this.#votes.set(host, { primary, at: now, reaches: false })
  }

  /** Records that another host reaches the server. */
  recordDenial(host: string, primary: BackendServerId, now: Milliseconds): void {
    this.#votes.set(host, { primary, at: now, reaches: true })
  }

  /** Records that another host knows no primary. */
  recordMissing(host: string, now: Milliseconds): void {
    this.#votes.set(host, { primary: null, at: now, reaches: false })
  }

  /** Whether another host has voted against the server, or knew no primary, within the lifetime of a vote. */
  isSuspected(primary: BackendServerId, now: Milliseconds): boolean {
    return this.#count(primary, false, now) > 0 || this.#count(null, false, now) > 0
  }

  /** Whether another host reached a primary within the lifetime of a vote. */
  isReachedByOthers(now: Milliseconds): boolean {
    return [...this.#votes.values()].some(vote => vote.reaches && isFresh(vote, now))
  }

  removeVote(host: string): void {
    this.#votes.delete(host)
  }

  /** `rank` is this host's position among the hosts for this service; `hosts` is their number. */
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
    // The primary serves hosts that may be unable to publish a denial, being cut off from the store.
    if (observations.logGrewAgo < LOG_GROWTH_WINDOW_MILLISECONDS) return 'vote'
    // At least as many hosts reach the primary as have lost it, so a change would not help on balance.
    if (this.#count(observations.primary, true, now) >= suspects) return 'vote'
    if (suspects >= quorum(hosts)) {
      return suspectedFor >= DENIAL_WINDOW_MILLISECONDS + rankDelay(rank) ? 'act' : 'vote'
    }
    if (observations.reachedThroughOthersAgo < REACHED_WINDOW_MILLISECONDS) return 'vote'
    return suspectedFor >= SINGLE_HOST_DELAY_MILLISECONDS ? 'act' : 'vote'
  }

  #count(primary: BackendServerId | null, reaches: boolean, now: Milliseconds): number {
    let count = 0
    for (const vote of this.#votes.values()) {
      if (vote.primary === primary && vote.reaches === reaches && isFresh(vote, now)) count += 1
    }
    return count
  }
}

const isFresh = ({ at }: Vote, now: Milliseconds): boolean => now - at < VOTE_LIFETIME_MILLISECONDS

const isSuspicious = (observations: PrimaryObservations): boolean =>
  observations.silentMilliseconds >= SUSPECT_AFTER_MILLISECONDS ||
  observations.refusals >= REFUSALS_TO_SUSPECT

const rankDelay = (rank: number): number => rank * RANK_DELAY_MILLISECONDS

const quorum = (hosts: number): number =>
  Math.min(Math.max(MINIMUM_QUORUM, Math.ceil(hosts * QUORUM_SHARE)), Math.max(hosts, 1))
