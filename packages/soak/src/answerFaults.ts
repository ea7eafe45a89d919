/** The faults of a run that compares answers. */
import type { RandomSource } from '@nutmegcourse/shared'
import { planChangeSeries } from './changeFaults.js'
import { planConfigurationFaults } from './configurationFaults.js'
import {
  DEFAULT_FAULT_KINDS,
  PLANNED_KINDS,
  planFaults,
  type FaultKind,
  type PlannedFault,
  type PlanSizes,
} from './faultPlan.js'
import { STUTTER_KINDS } from './stutters.js'

/** Faults of answers, which are drawn beside every base plan. A seed gives the same plan only in this order. */
export const ANSWER_FAULT_KINDS: readonly FaultKind[] = STUTTER_KINDS

/** The kinds of a run that only compares answers. */
export const ANSWER_RUN_KINDS: readonly FaultKind[] = [
  ...new Set([...DEFAULT_FAULT_KINDS, ...PLANNED_KINDS]),
  ...ANSWER_FAULT_KINDS,
]

/** All other faults of answers are that much rarer than `serverStutters`: each answer that is cut off ends a connection. */
const RARER_KINDS = 3

export interface BasePlan {
  readonly draw: (sizes: PlanSizes, random: RandomSource) => PlannedFault[]
  /** Stutters start that much more often than the faults, or the series of faults, of the base plan. */
  readonly stuttersPerStart: number
}

export const BASE_PLANS = {
  faults: { draw: planFaults, stuttersPerStart: 3 },
  configurations: { draw: planConfigurationFaults, stuttersPerStart: 3 },
  changeSeries: { draw: planChangeSeries, stuttersPerStart: 15 },
} as const satisfies Record<string, BasePlan>

/** The base plan, followed by the faults of answers. */
export function planAnswerFaults(
  sizes: PlanSizes,
  random: RandomSource,
  { draw, stuttersPerStart }: BasePlan = BASE_PLANS.faults,
): PlannedFault[] {
  const baseKinds = sizes.kinds.filter(kind => !ANSWER_FAULT_KINDS.includes(kind))
  const planned = baseKinds.length === 0 ? [] : draw({ ...sizes, kinds: baseKinds }, random)
  const stutterPace = sizes.paceMilliseconds / stuttersPerStart
  // One kind after the other: a new kind leaves the plans of recorded seeds as they were.
  for (const kind of ANSWER_FAULT_KINDS.filter(each => sizes.kinds.includes(each))) {
    const paceMilliseconds = kind === 'serverStutters' ? stutterPace : stutterPace * RARER_KINDS
    planned.push(...planFaults({ ...sizes, paceMilliseconds, kinds: [kind] }, random))
  }
  return planned
}
