/**
 * Faults around a change of primary, and plans that combine them into series: a cause for a change, and overlapping
 * faults that meet the change while it is carried out.
 */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import {
  LATEST_IN_CHANGE_MILLISECONDS,
  drawFault,
  type Fault,
  type FaultKind,
  type PlanSizes,
  type PlannedFault,
} from './faultPlan.js'

export type ChangeFault =
  /** Calls to promote a server of the service get no answer; they are carried out late. */
  | { readonly kind: 'promotionsLate'; readonly service: string }
  /** Orders to the server get no answer; they are carried out late. */
  | { readonly kind: 'ordersLate'; readonly server: string }
  /** The server answers statements and reports as busy. */
  | { readonly kind: 'serverBusy'; readonly server: string }
  /** The server's entry is missing although the server lives. */
  | { readonly kind: 'entryLapses'; readonly server: string }
  /** No host can reach the store, and the entries of all servers lapse; they come back one by one. */
  | { readonly kind: 'entriesLapse' }
  /** The server is down and starts again, with its log or, if it is a replica, without any. */
  | { readonly kind: 'serverRestarts'; readonly server: string; readonly keepsLog: boolean }
  /** The primary restarts without its log, and as a replica. */
  | { readonly kind: 'primaryLosesLog'; readonly service: string }
  /** The server leaves; it ends after its successor has started, which takes over its log. */
  | {
      readonly kind: 'serverReplaced'
      readonly server: string
      /** From the announcement that it leaves until its successor is listed. */
      readonly successorAfterMilliseconds: number
    }
  /** The server leaves and ends, and its log with it; its successor, which starts before, receives from the primary. */
  | {
      readonly kind: 'leaverEnds'
      readonly server: string
      readonly successorAfterMilliseconds: number
    }
  /** The server receives replicated records with a delay. */
  | {
      readonly kind: 'replicaDelayed'
      readonly server: string
      readonly delayMilliseconds: number
    }
  /** The next host that claims a change of the primary is frozen for longer than its claim lasts. */
  | {
      readonly kind: 'holderFrozen'
      readonly service: string
      /** From the claim. */
      readonly afterMilliseconds: number
    }
  | {
      readonly kind: 'holderKilled'
      readonly service: string
      readonly afterMilliseconds: number
    }

export const CHANGE_FAULT_KINDS: readonly ChangeFault['kind'][] = [
  'promotionsLate',
  'ordersLate',
  'serverBusy',
  'entryLapses',
  'entriesLapse',
  'serverRestarts',
  'serverReplaced',
  'replicaDelayed',
  'holderFrozen',
  'holderKilled',
]

export const isCause = (kind: FaultKind): boolean => CAUSES.includes(kind)

export const isChangeFault = (fault: Fault): fault is ChangeFault =>
  [...CHANGE_FAULT_KINDS, ...NAMED_CHANGE_FAULT_KINDS].some(kind => kind === fault.kind)

/** Only where they are named, so that recorded seeds keep their plans. */
export const NAMED_CHANGE_FAULT_KINDS: readonly ChangeFault['kind'][] = [
  'primaryLosesLog',
  'leaverEnds',
]

/** What makes hosts replace the primary that it hits. */
const CAUSES: readonly FaultKind[] = [
  'serverCrashed',
  'serverSilent',
  'serverRestarts',
  'serverReplaced',
  'serverLeaves',
]

/** What meets the members of the group, and the hosts, while the primary is replaced. */
const COMPANIONS: readonly FaultKind[] = [
  ...CHANGE_FAULT_KINDS,
  'promotionsLate',
  'ordersLate',
  'ordersLate',
  'entryLapses',
  'serverRestarts',
  'serverReplaced',
  'replicaDelayed',
  'replicaDelayed',
  'replicaDeaf',
  'replicaDeaf',
  'serverSilent',
  'answersLost',
  'cut',
  'cut',
  'hostKilled',
  'hostStopped',
  'hostStoppedTwice',
  'storeLosesAnswers',
]

/** The kinds of fault that series are drawn from. */
export const SERIES_FAULT_KINDS: readonly FaultKind[] = [...new Set([...CAUSES, ...COMPANIONS])]

const SHORTEST_CAUSE_MILLISECONDS = 1500
const LONGEST_CAUSE_MILLISECONDS = 7000
const SHORTEST_COMPANION_MILLISECONDS = 300
const LONGEST_COMPANION_MILLISECONDS = 6000
const LEAST_COMPANIONS = 2
const MOST_COMPANIONS = 5
/** Companions start within these times of their cause. */
const EARLIEST_COMPANION_MILLISECONDS = -1000
const LATEST_COMPANION_MILLISECONDS = 2500

const MEMBERS = ['primary', 'replica-1', 'replica-2'] as const
export type MemberRole = (typeof MEMBERS)[number]

/** The share of the companions that wait for a claim, and so meet the change between choice and effect. */
const ON_CLAIM_SHARE = 0.6

/** Names a server by its part in the group at the moment at which the fault begins. */
export const memberReference = (service: string, member: MemberRole): string =>
  `${service}/${member}`

export const memberReferencesOf = (service: string): string[] =>
  MEMBERS.map(member => memberReference(service, member))

/** The service and the part in it; null if the text is the id of a server. */
export function readMemberReference(text: string): { service: string; member: MemberRole } | null {
  const [service, part] = text.split('/')
  const member = MEMBERS.find(each => each === part)
  return service === undefined || member === undefined ? null : { service, member }
}

/**
 * Series of faults, each around one cause to replace the primary of a service; they overlap. The kinds are those of the
 * sizes, of which at least one must be a cause.
 */
export function planChangeSeries(sizes: PlanSizes, random: RandomSource): PlannedFault[] {
  const planned: PlannedFault[] = []
  let startsAtMilliseconds = -EARLIEST_COMPANION_MILLISECONDS
  while (startsAtMilliseconds < sizes.spanMilliseconds) {
    planned.push(...planSeries(sizes, startsAtMilliseconds, random))
    startsAtMilliseconds += sizes.paceMilliseconds * (0.25 + 1.5 * random.next())
  }
  return planned.sort((left, right) => left.startsAtMilliseconds - right.startsAtMilliseconds)
}

function planSeries(sizes: PlanSizes, at: number, random: RandomSource): PlannedFault[] {
  const service = pick(sizes.services, random)
  const ofService = { ...sizes, services: [service] }
  const causes = CAUSES.filter(kind => sizes.kinds.includes(kind))
  const kinds = [...COMPANIONS, ...NAMED_CHANGE_FAULT_KINDS].filter(kind =>
    sizes.kinds.includes(kind),
  )
  const servers = memberReferencesOf(service)
  const primary = [memberReference(service, 'primary')]
  const cause = {
    fault: drawFault({ ...ofService, servers: primary, kinds: causes }, random),
    startsAtMilliseconds: at,
    durationMilliseconds: between(SHORTEST_CAUSE_MILLISECONDS, LONGEST_CAUSE_MILLISECONDS, random),
  }
  const count = Math.floor(between(LEAST_COMPANIONS, MOST_COMPANIONS + 1, random))
  const companions = Array.from({ length: count }, () =>
    drawCompanion({ ...ofService, servers, kinds }, service, at, random),
  )
  return [cause, ...companions]
}

function drawCompanion(
  sizes: PlanSizes,
  service: string,
  at: number,
  random: RandomSource,
): PlannedFault {
  const planned = {
    fault: drawFault(sizes, random),
    startsAtMilliseconds:
      at + between(EARLIEST_COMPANION_MILLISECONDS, LATEST_COMPANION_MILLISECONDS, random),
    durationMilliseconds: mostlyShort(random),
  }
  const isOnClaim = random.next() < ON_CLAIM_SHARE
  const afterMilliseconds = LATEST_IN_CHANGE_MILLISECONDS * random.next()
  return isOnClaim ? { ...planned, onClaim: { service, afterMilliseconds } } : planned
}

/** A change is carried out between the long ones. */
const mostlyShort = (random: RandomSource): number =>
  SHORTEST_COMPANION_MILLISECONDS +
  (LONGEST_COMPANION_MILLISECONDS - SHORTEST_COMPANION_MILLISECONDS) * random.next() ** 2

const between = (least: number, most: number, random: RandomSource): number =>
  least + (most - least) * random.next()
