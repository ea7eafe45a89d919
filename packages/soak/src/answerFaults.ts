/** The faults of a run that compares answers. */
import type { RandomSource } from '@nutmegcourse/shared'
import {
  DEFAULT_FAULT_KINDS,
  PLANNED_KINDS,
  planFaults,
  type FaultKind,
  type PlannedFault,
  type PlanSizes,
} from './faultPlan.js'

export const ANSWER_RUN_KINDS: readonly FaultKind[] = [
  ...new Set([...DEFAULT_FAULT_KINDS, ...PLANNED_KINDS]),
  'serverStutters',
]

/** Stutters start that much more often than all other faults together. */
const STUTTERS_PER_FAULT = 3

/** The usual faults, and stutters beside them. */
export function planAnswerFaults(sizes: PlanSizes, random: RandomSource): PlannedFault[] {
  const usual = sizes.kinds.filter(kind => kind !== 'serverStutters')
  const planned = usual.length === 0 ? [] : planFaults({ ...sizes, kinds: usual }, random)
  if (usual.length === sizes.kinds.length) return planned
  const paceMilliseconds = sizes.paceMilliseconds / STUTTERS_PER_FAULT
  return [
    ...planned,
    ...planFaults({ ...sizes, paceMilliseconds, kinds: ['serverStutters'] }, random),
  ]
}
