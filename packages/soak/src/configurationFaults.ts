/** Faults that keep hosts from the store's changes, and their plans: long enough to outlast the bound of a configuration. */
import type { RandomSource } from '@nutmegcourse/shared'
import type { StoreResponse } from '@nutmegcourse/platform/standIns'
import { pick } from '@nutmegcourse/stand-ins'
import {
  drawFault,
  type Fault,
  type FaultKind,
  type PlannedFault,
  type PlanSizes,
} from './faultPlan.js'

export type ConfigurationFault =
  /** The store serves all hosts but one. */
  | { readonly kind: 'storeTurnsAway'; readonly host: string; readonly response: StoreResponse }
  /** The store answers all hosts late. */
  | { readonly kind: 'storeLate'; readonly delayMilliseconds: number }
  /** The process runs for moments only. */
  | { readonly kind: 'hostStarved'; readonly host: string }
  /** The same, and its connections to the store go silent again and again. */
  | { readonly kind: 'hostStarvedAndSilenced'; readonly host: string }

export const CONFIGURATION_FAULT_KINDS: readonly ConfigurationFault['kind'][] = [
  'storeTurnsAway',
  'storeLate',
  'hostStarved',
  'hostStarvedAndSilenced',
]

/** The kinds of a run that judges configurations. */
export const CONFIGURATION_RUN_KINDS: readonly FaultKind[] = [
  ...CONFIGURATION_FAULT_KINDS,
  'storeTurnsAway',
  'storeTurnsAway',
  'silenced',
  'reset',
  'cut',
  'hostFrozen',
  'hostKilled',
  'hostStopped',
  'hostReloaded',
  'storeForgetsHistory',
  'storeAway',
  'storeLosesAnswers',
  'serverLeaves',
]

export const isConfigurationFault = (fault: Fault): fault is ConfigurationFault =>
  CONFIGURATION_FAULT_KINDS.some(kind => kind === fault.kind)

const RESPONSES: readonly StoreResponse[] = [
  { kind: 'refused', status: 503 },
  { kind: 'refused', status: 429 },
  { kind: 'reset' },
  { kind: 'silent' },
  { kind: 'upgraded' },
  { kind: 'endless' },
  { kind: 'late', milliseconds: 5000 },
]

const LONGEST_STORE_DELAY_MILLISECONDS = 1000
const MIN_DURATION_MILLISECONDS = 1000
const MAX_DURATION_MILLISECONDS = 12_000

export function drawConfigurationFault(
  kind: ConfigurationFault['kind'],
  hosts: readonly string[],
  random: RandomSource,
): ConfigurationFault {
  switch (kind) {
    case 'storeTurnsAway':
      return { kind, host: pick(hosts, random), response: pick(RESPONSES, random) }
    case 'storeLate':
      return { kind, delayMilliseconds: LONGEST_STORE_DELAY_MILLISECONDS * random.next() }
    case 'hostStarved':
    case 'hostStarvedAndSilenced':
      return { kind, host: pick(hosts, random) }
  }
}

/** Faults that overlap; some begin together. */
export function planConfigurationFaults(sizes: PlanSizes, random: RandomSource): PlannedFault[] {
  const planned: PlannedFault[] = []
  let startsAtMilliseconds = 0
  for (;;) {
    startsAtMilliseconds += sizes.paceMilliseconds * 2 * random.next()
    if (startsAtMilliseconds >= sizes.spanMilliseconds) return planned
    const span = MAX_DURATION_MILLISECONDS - MIN_DURATION_MILLISECONDS
    const durationMilliseconds = MIN_DURATION_MILLISECONDS + span * random.next()
    planned.push({ fault: drawFault(sizes, random), startsAtMilliseconds, durationMilliseconds })
  }
}
