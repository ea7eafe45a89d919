/** Draws the loads of a hard load run from a seed, beside the faults and in the calm that follows them. */
import type { CustomerName, RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import { IDLE_TRANSACTION_MILLISECONDS } from './guarantees.js'
import { LARGE_CUSTOMER_NAMES, USUAL_HABITS, type CallerHabits } from './hardLoad.js'

/** Many callers of the lowest class; one customer at several times its usual; callers that rest inside transactions. */
export const LOAD_KINDS = ['classBurst', 'hotCustomer', 'idleTransactions'] as const

export type LoadKind = (typeof LOAD_KINDS)[number]

export interface PlannedLoad {
  readonly kind: LoadKind
  /** The customer that is hot. */
  readonly customer: CustomerName
  /** Relative to the start of the plan. */
  readonly startsAtMilliseconds: number
  readonly durationMilliseconds: number
}

const PACE_MILLISECONDS = 2000
const MIN_DURATION_MILLISECONDS = 500
const MAX_DURATION_MILLISECONDS = 3000
/** After the faults, loads start within this time one after the other. */
const CALM_START_MILLISECONDS = 1000

/** Loads beside the faults, overlapping with them and with each other. */
export function planLoads(spanMilliseconds: number, random: RandomSource): PlannedLoad[] {
  const planned: PlannedLoad[] = []
  const drawnSpan = MAX_DURATION_MILLISECONDS - MIN_DURATION_MILLISECONDS
  let startsAtMilliseconds = PACE_MILLISECONDS * random.next()
  while (startsAtMilliseconds < spanMilliseconds) {
    planned.push({
      kind: pick(LOAD_KINDS, random),
      customer: pick(LARGE_CUSTOMER_NAMES, random),
      startsAtMilliseconds,
      durationMilliseconds: MIN_DURATION_MILLISECONDS + drawnSpan * random.next(),
    })
    startsAtMilliseconds += PACE_MILLISECONDS * (0.25 + 1.5 * random.next())
  }
  return planned
}

/** Every kind of load, until the end of the span: for the time after the faults, in which their order is judged. */
export function planCalmLoads(spanMilliseconds: number, random: RandomSource): PlannedLoad[] {
  return LOAD_KINDS.map(kind => {
    const startsAtMilliseconds = CALM_START_MILLISECONDS * random.next()
    return {
      kind,
      customer: pick(LARGE_CUSTOMER_NAMES, random),
      startsAtMilliseconds,
      durationMilliseconds: spanMilliseconds - startsAtMilliseconds,
    }
  })
}

export interface LoadCallers {
  readonly count: number
  readonly habitsOf: (index: number) => CallerHabits
}

/** Enough that the answers to all of them take longer than a statement may wait. */
const CONTENDING_CALLERS = 100
const RESTING_CALLERS = 8
/** Of the time after which an idle transaction may be ended: some rests are well within it, some beyond. */
const REST_SHARES = [0.25, 0.5, 1.25]

export function callersOf({ kind, customer }: PlannedLoad): LoadCallers {
  const habits = { ...USUAL_HABITS, customer, heedsRetryAdvice: true }
  switch (kind) {
    case 'classBurst':
      return {
        count: CONTENDING_CALLERS,
        habitsOf: index => ({
          ...habits,
          customer: LARGE_CUSTOMER_NAMES[index % LARGE_CUSTOMER_NAMES.length] ?? customer,
          guarantees: ['bounded'],
          thinkMilliseconds: 0,
          writeShare: 0,
          transactionShare: 0,
        }),
      }
    case 'hotCustomer':
      return {
        count: CONTENDING_CALLERS,
        habitsOf: () => ({
          ...habits,
          guarantees: ['own'],
          thinkMilliseconds: 0,
          writeShare: 0.8,
          transactionShare: 0.1,
        }),
      }
    case 'idleTransactions':
      return {
        count: RESTING_CALLERS,
        habitsOf: () => ({
          ...habits,
          guarantees: ['own'],
          transactionShare: 1,
          restMilliseconds: REST_SHARES.map(share => share * IDLE_TRANSACTION_MILLISECONDS),
        }),
      }
  }
}
