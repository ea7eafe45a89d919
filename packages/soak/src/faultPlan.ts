/** Draws the faults of a run from a seed: the same seed and sizes give the same plan. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import type { ChangeFault } from './changeFaults.js'
import { drawConfigurationFault, type ConfigurationFault } from './configurationFaults.js'
import { drawStutter, type StutterFault } from './stutters.js'

export type Fault =
  | ChangeFault
  | ConfigurationFault
  | StutterFault
  /** SIGKILL; the process is started again when the fault ends. */
  | { readonly kind: 'hostKilled'; readonly host: string }
  /** SIGSTOP and SIGCONT. */
  | { readonly kind: 'hostFrozen'; readonly host: string }
  /** SIGTERM, a planned stop; the process is started again after it has ended. */
  | { readonly kind: 'hostStopped'; readonly host: string }
  /** SIGTERM, followed by a second SIGTERM and a SIGHUP while the process stops. */
  | { readonly kind: 'hostStoppedTwice'; readonly host: string }
  /** SIGHUP, which makes the process reload its settings file. */
  | { readonly kind: 'hostReloaded'; readonly host: string }
  /** No data passes between `from` and the host; with `oneWay`, only data to the host is cut. */
  | {
      readonly kind: 'cut'
      readonly host: string
      readonly from: string
      readonly oneWay: boolean
    }
  | { readonly kind: 'reset'; readonly host: string; readonly from: string }
  /** Open connections carry no more data and are not closed; new connections work. */
  | { readonly kind: 'silenced'; readonly host: string; readonly from: string }
  | { readonly kind: 'serverCrashed'; readonly server: string }
  /** The server keeps its connections open and answers nothing. */
  | { readonly kind: 'serverSilent'; readonly server: string }
  /** The server receives no replicated records. */
  | { readonly kind: 'replicaDeaf'; readonly server: string }
  /** The server is listed as leaving until the fault ends. */
  | { readonly kind: 'serverLeaves'; readonly server: string }
  /** The server executes commands, but some of its answers are lost. */
  | { readonly kind: 'answersLost'; readonly server: string }
  /** No host can reach the store. */
  | { readonly kind: 'storeAway' }
  /** The store applies changes without answering. */
  | { readonly kind: 'storeLosesAnswers' }
  /** The store discards its change history; watches from earlier revisions must list again. */
  | { readonly kind: 'storeForgetsHistory' }
  | { readonly kind: 'configurationChanged' }

export type FaultKind = Fault['kind']

export interface PlannedFault {
  readonly fault: Fault
  /** Relative to the start of the plan. */
  readonly startsAtMilliseconds: number
  readonly durationMilliseconds: number
  /** When set, the fault waits from its start for a claim to change the primary of a service. */
  readonly onClaim?: ClaimTrigger
}

export interface ClaimTrigger {
  readonly service: string
  /** From the claim until the fault begins. */
  readonly afterMilliseconds: number
}

export interface PlanSizes {
  readonly hosts: readonly string[]
  /** Ids of servers, or references to members of a group. */
  readonly servers: readonly string[]
  readonly services: readonly string[]
  readonly spanMilliseconds: number
  /** The average time from the start of one fault to the start of the next. */
  readonly paceMilliseconds: number
  /** The kinds of fault to draw from. */
  readonly kinds: readonly FaultKind[]
}

export const STORE = 'store'
export const CALLERS = 'callers'

/** Planned operations, which must not interrupt callers. */
export const PLANNED_KINDS: readonly FaultKind[] = [
  'hostStopped',
  'hostStoppedTwice',
  'hostReloaded',
  'configurationChanged',
]

/** The default kinds. A seed gives the same plan only with the same kinds in the same order. */
export const DEFAULT_FAULT_KINDS: readonly FaultKind[] = [
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

const MIN_DURATION_MILLISECONDS = 200
const MAX_DURATION_MILLISECONDS = 4000

export function planFaults(sizes: PlanSizes, random: RandomSource): PlannedFault[] {
  const planned: PlannedFault[] = []
  let startsAtMilliseconds = 0
  for (;;) {
    startsAtMilliseconds += sizes.paceMilliseconds * (0.25 + 1.5 * random.next())
    if (startsAtMilliseconds >= sizes.spanMilliseconds) return planned
    const span = MAX_DURATION_MILLISECONDS - MIN_DURATION_MILLISECONDS
    // Squaring favours short faults, since most real network faults last less than a second.
    const durationMilliseconds = MIN_DURATION_MILLISECONDS + span * random.next() ** 2
    planned.push({
      fault: drawFault(sizes, random),
      startsAtMilliseconds,
      durationMilliseconds,
    })
  }
}

/** A claim to a change lasts about a second if nothing delays it. */
export const LATEST_IN_CHANGE_MILLISECONDS = 1500

const LATEST_SUCCESSOR_MILLISECONDS = 3000

const LONGEST_REPLICATION_DELAY_MILLISECONDS = 1500

type DrawnFrom = Pick<PlanSizes, 'hosts' | 'servers' | 'services' | 'kinds'>

export function drawFault(
  { hosts, servers, services, kinds }: DrawnFrom,
  random: RandomSource,
): Fault {
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
    case 'ordersLate':
    case 'serverBusy':
    case 'entryLapses':
      return { kind, server: pick(servers, random) }
    case 'serverReplaced':
    case 'leaverEnds':
      return {
        kind,
        server: pick(servers, random),
        successorAfterMilliseconds: LATEST_SUCCESSOR_MILLISECONDS * random.next(),
      }
    case 'serverRestarts':
      return { kind, server: pick(servers, random), keepsLog: random.next() < 0.5 }
    case 'replicaDelayed':
      return {
        kind,
        server: pick(servers, random),
        delayMilliseconds: LONGEST_REPLICATION_DELAY_MILLISECONDS * random.next() ** 2,
      }
    case 'promotionsLate':
    case 'primaryLosesLog':
      return { kind, service: pick(services, random) }
    case 'holderFrozen':
    case 'holderKilled':
      return {
        kind,
        service: pick(services, random),
        afterMilliseconds: LATEST_IN_CHANGE_MILLISECONDS * random.next(),
      }
    case 'storeTurnsAway':
    case 'storeLate':
    case 'hostStarved':
    case 'hostStarvedAndSilenced':
      return drawConfigurationFault(kind, hosts, random)
    case 'serverStutters':
    case 'serverStuttersTwice':
    case 'answersCutOff':
      return drawStutter(kind, servers, random)
    case 'storeAway':
    case 'storeLosesAnswers':
    case 'storeForgetsHistory':
    case 'configurationChanged':
    case 'entriesLapse':
      return { kind }
  }
}
