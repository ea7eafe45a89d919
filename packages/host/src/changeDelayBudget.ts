/**
 * Divides the time within which a change of the store must reach this host into the waits and timeouts of
 * watches. A configuration has to be in force everywhere within a bound given by the deployment's settings.
 *
 * @internal
 */
import { MAX_JITTER_FACTOR } from '@nutmegcourse/shared'

/** Spans in milliseconds. */
export interface ChangeDelayBudget {
  /** How long one watch waits for a change. A silent connection is detected only afterwards. */
  readonly storeWatch: number
  readonly shortestWatch: number
  /** The same where other hosts follow through this one: its delay adds to theirs. */
  readonly forwardingWatch: number
  /** How long a watch waits at another host of the zone. A dead or paused host is detected only afterwards. */
  readonly zoneWatch: number
  /**
   * How long the first watch waits after a pause or a failure. Meanwhile the store may have compacted changes
   * that this host missed, which it reports only when a watch begins or ends.
   */
  readonly firstWatch: number
  /** Time beyond the wait that a slow store may take to begin its response. */
  readonly answer: number
  /** How long further changes are batched after one that no caller waits for. */
  readonly batch: number
  /** Delay between two attempts while the store is unavailable; grows from the shortest to the longest. */
  readonly shortestRetryDelay: number
  readonly longestRetryDelay: number
  /** The longest delay before this host's first list. */
  readonly longestInitialRetryDelay: number
}

/** Each watch that ends costs a call, so watches last this long where the bound allows it. */
const LONGEST_WATCH_MILLISECONDS = 5000
/** Keeps idle hosts from overloading the store: at most one call a second each. */
const SHORTEST_WATCH_MILLISECONDS = 1000

/**
 * Share of the bound that a response may take to begin. For a bound of 4 s it is nearly twice what a slow
 * store takes (60 times its usual 4 ms) with a round trip over the link; larger fleets have longer bounds
 * and busier links.
 */
const ANSWER_SHARE = 1 / 8
const LONGEST_ANSWER_MILLISECONDS = 1500

/** Covers a round trip over the link and the store's response; more would only delay missed changes. */
const FIRST_WATCH_MILLISECONDS = 300

/**
 * Each change ends the watch of every host, so that the start of many hosts or servers costs as many calls as
 * changes times hosts. Batching for half a second saved two calls in three when 65 hosts started with 18 servers.
 */
const BATCH_MILLISECONDS = 1000

/** The delay grows, so that a fleet does not overload a store that becomes available again. */
const SHORTEST_RETRY_DELAY_MILLISECONDS = 100
const LONGEST_RETRY_DELAY_MILLISECONDS = 800

/**
 * A host that started while the store was unavailable serves no caller until its first list. With the longest retry
 * delay above, nine such hosts were ready 0.2 to 0.9 s after the store came back. This delay costs four calls a
 * second per host, of the store's 2,000.
 */
const LONGEST_INITIAL_RETRY_DELAY_MILLISECONDS = 250

/** Hosts that follow through another one also pause after a change, and may have to ask the store afterwards. */
const FORWARDING_RESERVE_MILLISECONDS = BATCH_MILLISECONDS + FIRST_WATCH_MILLISECONDS

/** A host that follows through another one may lag by this much when that one dies. */
const LONGEST_ZONE_WATCH_MILLISECONDS = 2000

/** How long a store that is about to compact its history may fail to report changes. */
const SILENCE_MILLISECONDS = 1000

/** For the host's own processing of a change. */
const RESERVE_MILLISECONDS = 150

/** `bound`: the time within which a new configuration must be in force, in milliseconds. */
export function changeDelayBudget(bound: number): ChangeDelayBudget {
  const budget = {
    storeWatch: 0,
    shortestWatch: SHORTEST_WATCH_MILLISECONDS,
    forwardingWatch: 0,
    zoneWatch: Math.min(bound / 4, LONGEST_ZONE_WATCH_MILLISECONDS),
    firstWatch: FIRST_WATCH_MILLISECONDS,
    answer: Math.min(bound * ANSWER_SHARE, LONGEST_ANSWER_MILLISECONDS),
    batch: BATCH_MILLISECONDS,
    shortestRetryDelay: SHORTEST_RETRY_DELAY_MILLISECONDS,
    longestRetryDelay: LONGEST_RETRY_DELAY_MILLISECONDS,
    longestInitialRetryDelay: LONGEST_INITIAL_RETRY_DELAY_MILLISECONDS,
  }
  const left = bound - delayFromWatchEnd(budget) - RESERVE_MILLISECONDS
  return {
    ...budget,
    storeWatch: clampWatch(left),
    forwardingWatch: clampWatch(left - FORWARDING_RESERVE_MILLISECONDS),
  }
}

const clampWatch = (span: number): number =>
  Math.min(Math.max(span, SHORTEST_WATCH_MILLISECONDS), LONGEST_WATCH_MILLISECONDS)

/** The longest time from a change to this host while the store is healthy. */
export function worstCaseChangeDelay(budget: ChangeDelayBudget): number {
  return Math.max(silentWatchDelay(budget), historyLossDelay(budget)) + RESERVE_MILLISECONDS
}

/** The connection went silent during a long watch, or during the brief one that follows a batching pause. */
function silentWatchDelay(budget: ChangeDelayBudget): number {
  const silentWatch = Math.max(budget.storeWatch, budget.batch + budget.firstWatch)
  return silentWatch + delayFromWatchEnd(budget)
}

/** From the end of a silent watch's wait: its response times out, and a new connection reports the change. */
function delayFromWatchEnd(budget: ChangeDelayBudget): number {
  return budget.answer + budget.shortestRetryDelay * MAX_JITTER_FACTOR + budget.answer
}

/** The store compacts a change without reporting it and cuts the watch; the next watch fails, and a list follows. */
function historyLossDelay(budget: ChangeDelayBudget): number {
  const detection = budget.firstWatch + budget.answer
  return (
    SILENCE_MILLISECONDS + budget.shortestRetryDelay * MAX_JITTER_FACTOR + detection + budget.answer
  )
}
