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

/** Faults of answers, which are drawn beside every base plan. */
export const ANSWER_FAULT_KINDS: readonly FaultKind[] = ['serverStutters']

/** The kinds of a run that only compares answers. */
export const ANSWER_RUN_KINDS: readonly FaultKind[] = [
  ...new Set([...DEFAULT_FAULT_KINDS, ...PLANNED_KINDS]),
  ...ANSWER_FAULT_KINDS,
]

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

/** The base plan, and stutters beside it. */
export function planAnswerFaults(
  sizes: PlanSizes,
  random: RandomSource,
  { draw, stuttersPerStart }: BasePlan = BASE_PLANS.faults,
): PlannedFault[] {
  const baseKinds = sizes.kinds.filter(kind => !ANSWER_FAULT_KINDS.includes(kind))
  const planned = baseKinds.length === 0 ? [] : draw({ ...sizes, kinds: baseKinds }, random)
  if (baseKinds.length === sizes.kinds.length) return planned
  const paceMilliseconds = sizes.paceMilliseconds / stuttersPerStart
  return [
    ...planned,
    ...planFaults({ ...sizes, paceMilliseconds, kinds: ['serverStutters'] }, random),
  ]
}
