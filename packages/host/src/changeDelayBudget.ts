/**
 * How long news from the store may take to reach this host, in all. A configuration has to be in force
 * everywhere within the time that the deployment's settings give; the spans below are its parts.
 *
 * @internal
 */
import { LONGEST_DRAW } from '@nutmegcourse/shared'

/** Spans in milliseconds. */
export interface ChangeDelayBudget {
  /** How long one watch waits for a change. A connection that went silent shows only after it. */
  readonly storeWatch: number
  /** The same where other hosts follow through this one: what it hears late they hear later. */
  readonly forwardingWatch: number
  /** How long a watch waits at another host of the zone. That it is dead or frozen shows only after it. */
  readonly zoneWatch: number
  /**
   * How long the first watch waits after a pause or a failure. The store may have forgotten what this host
   * did not hear meanwhile, and says so only when a watch begins or ends.
   */
  readonly firstWatch: number
  /** Beyond the wait, what the store's answer may take when it is slow. */
  readonly answer: number
  /** Other changes gather for so long after one that nobody waits for. */
  readonly batch: number
  /** Between two tries while the store is away; grows from the first to the second. */
  readonly shortestRetryDelay: number
  readonly longestRetryDelay: number
  /** The longest while this host knows nothing at all. */
  readonly longestInitialRetryDelay: number
}

/** Each watch that ends is a call, so none ends sooner than this without need ... */
const LONGEST_WATCH_MILLISECONDS = 5000
/** ... and none is so short that hosts at rest would press the store: one call a second each. */
const SHORTEST_WATCH_MILLISECONDS = 1000

/**
 * The part of the bound that an answer may take to begin. Of 4 s it is nearly twice what a slow
 * store takes (60 times its usual 4 ms) with a round trip past the link; larger fleets have longer
 * bounds, and fuller links.
 */
const ANSWER_SHARE = 1 / 8
const LONGEST_ANSWER_MILLISECONDS = 1500

/** A round trip past the link, and the store's answer; longer would only delay what was missed. */
const FIRST_WATCH_MILLISECONDS = 300

/**
 * Each change ends the watch of every host, and when many hosts or servers start that makes as many
 * calls as changes times hosts. On a start of 65 hosts before 18 servers half a second saves two calls
 * in three.
 */
const BATCH_MILLISECONDS = 1000

/** Grows, so that a fleet does not press a store that returns. */
const SHORTEST_RETRY_DELAY_MILLISECONDS = 100
const LONGEST_RETRY_DELAY_MILLISECONDS = 800

/**
 * A host that started while the store was away serves nobody until it has listed: after the store's
 * return nine of them came back within 0.2 to 0.9 s under the longer pause. Four calls a second
 * each, of the store's 2,000.
 */
const LONGEST_INITIAL_RETRY_DELAY_MILLISECONDS = 250

/** Hosts that follow through another one rest after a change too, and may have to ask the store then. */
const FORWARDING_RESERVE_MILLISECONDS = BATCH_MILLISECONDS + FIRST_WATCH_MILLISECONDS

/** A host that follows through another one may lag by this when that one dies. */
const LONGEST_ZONE_WATCH_MILLISECONDS = 2000

/** A store that is about to forget its history tells nobody of changes for so long. */
const STORE_SILENCE_MILLISECONDS = 1000

/** For the host's own work on what it heard. */
const RESERVE_MILLISECONDS = 150

/** `bound`: the time within which a new configuration must be in force, in milliseconds. */
export function changeDelayBudget(bound: number): ChangeDelayBudget {
  const budget = {
    storeWatch: 0,
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

/** The longest way of one change while the store is well. */
export function worstCaseChangeDelay(budget: ChangeDelayBudget): number {
  return Math.max(silentWatchDelay(budget), historyLossDelay(budget)) + RESERVE_MILLISECONDS
}

/** The connection of a long watch had gone silent, or that of the brief one after a rest. */
function silentWatchDelay(budget: ChangeDelayBudget): number {
  const silentWatch = Math.max(budget.storeWatch, budget.batch + budget.firstWatch)
  return silentWatch + delayFromWatchEnd(budget)
}

/** From the end of a silent watch: its answer is overdue, and a new connection brings the news. */
function delayFromWatchEnd(budget: ChangeDelayBudget): number {
  return budget.answer + budget.shortestRetryDelay * LONGEST_DRAW + budget.answer
}

/** The store told nobody of it, forgot it and cut the watch; the next one hears so, and a list follows. */
function historyLossDelay(budget: ChangeDelayBudget): number {
  const detection = budget.firstWatch + budget.answer
  return (
    STORE_SILENCE_MILLISECONDS +
    budget.shortestRetryDelay * LONGEST_DRAW +
    detection +
    budget.answer
  )
}
