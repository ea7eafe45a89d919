/** What a run does to the fleet, drawn from a seed: the same seed and sizes give the same plan. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'

export type Fault =
  /** SIGKILL; the process is started again when the fault ends. */
  | { readonly kind: 'hostKilled'; readonly host: string }
  /** SIGSTOP and SIGCONT. */
  | { readonly kind: 'hostFrozen'; readonly host: string }
  /** SIGTERM, the planned stop; the process is started again once it has ended. */
  | { readonly kind: 'hostStopped'; readonly host: string }
  /** SIGTERM, and the same signal and SIGHUP again while it stops. */
  | { readonly kind: 'hostStoppedTwice'; readonly host: string }
  /** SIGHUP: its settings file was written anew. */
  | { readonly kind: 'hostReloaded'; readonly host: string }
  /** Nothing passes between the two, or only in one direction. */
  | {
      readonly kind: 'cut'
      readonly host: string
      readonly from: string
      readonly oneWay: boolean
    }
  | { readonly kind: 'reset'; readonly host: string; readonly from: string }
  /** Open connections go silent without an end; new ones work. */
  | { readonly kind: 'silenced'; readonly host: string; readonly from: string }
  | { readonly kind: 'serverCrashed'; readonly server: string }
  /** It keeps its connections and answers nothing. */
  | { readonly kind: 'serverSilent'; readonly server: string }
  /** A replica that receives nothing. */
  | { readonly kind: 'replicaDeaf'; readonly server: string }
  /** It says that it leaves, and is well again afterwards. */
  | { readonly kind: 'serverLeaves'; readonly server: string }
  | { readonly kind: 'answersLost'; readonly server: string }
  | { readonly kind: 'storeAway' }
  /** It carries changes out and does not answer. */
  | { readonly kind: 'storeLosesAnswers' }
  | { readonly kind: 'storeForgetsHistory' }
  | { readonly kind: 'configurationChanged' }

export type FaultKind = Fault['kind']

export interface PlannedFault {
  readonly fault: Fault
  /** Milliseconds from the start of the faults. */
  readonly at: number
  readonly lasts: number
}

export interface PlanSizes {
  readonly hosts: readonly string[]
  readonly servers: readonly string[]
  readonly spanMilliseconds: number
  /** From the begin of one fault to that of the next, on average. */
  readonly paceMilliseconds: number
  /** Which faults to draw from. */
  readonly kinds: readonly FaultKind[]
}

export const STORE = 'store'
export const CALLERS = 'callers'

/** What operators do, and what may not be noticed by callers. */
export const PLANNED_KINDS: readonly FaultKind[] = [
  'hostStopped',
  'hostStoppedTwice',
  'hostReloaded',
  'configurationChanged',
]

/** What a run draws from unless it is told otherwise. A seed draws the same from the same kinds only. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'hostKilled',
  'hostFrozen',
  'hostStopped',
  'cut',
  'reset',
  'silenced',
  'serverCrashed',
  'serverSilent',
  'replicaDeaf',
  'serverLeaves',
  'answersLost',
  'storeAway',
  'storeLosesAnswers',
  'storeForgetsHistory',
  'configurationChanged',
]

const SHORTEST_MILLISECONDS = 200
const LONGEST_MILLISECONDS = 4000

export function planFaults(sizes: PlanSizes, random: RandomSource): PlannedFault[] {
  const planned: PlannedFault[] = []
  let at = 0
  for (;;) {
    at += sizes.paceMilliseconds * (0.25 + 1.5 * random.next())
    if (at >= sizes.spanMilliseconds) return planned
    const span = LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS
    // Short faults are as likely as long ones are rare: most troubles of a network last under a second.
    const lasts = SHORTEST_MILLISECONDS + span * random.next() ** 2
    planned.push({ fault: drawFault(sizes, random), at, lasts })
  }
}

function drawFault({ hosts, servers, kinds }: PlanSizes, random: RandomSource): Fault {
  const kind = pick(kinds, random)
  switch (kind) {
    case 'hostKilled':
    case 'hostFrozen':
    case 'hostStopped':
    case 'hostStoppedTwice':
    case 'hostReloaded':
      return { kind, host: pick(hosts, random) }
    case 'cut':
      return {
        kind,
        host: pick(hosts, random),
        from: pick([STORE, ...servers], random),
        oneWay: random.next() < 0.3,
      }
    case 'reset':
    case 'silenced':
      return { kind, host: pick(hosts, random), from: pick([STORE, CALLERS, ...servers], random) }
    case 'serverCrashed':
    case 'serverSilent':
    case 'replicaDeaf':
    case 'serverLeaves':
    case 'answersLost':
      return { kind, server: pick(servers, random) }
    case 'storeAway':
    case 'storeLosesAnswers':
    case 'storeForgetsHistory':
    case 'configurationChanged':
      return { kind }
  }
}
