/** Which faults share an effect, and which keep hosts from the store. */
import type { Fault } from './faultPlan.js'

/** Faults with the same key share one effect: a host that is down is not killed, stopped or frozen again. */
export function overlapKey(fault: Fault): string {
  switch (fault.kind) {
    case 'hostKilled':
    case 'hostStopped':
    case 'hostStoppedTwice':
    case 'hostFrozen':
      return `process ${fault.host}`
    case 'cut':
      return `cut ${fault.host} ${fault.from}`
    case 'hostReloaded':
    case 'storeTurnsAway':
      return `${fault.kind} ${fault.host}`
    case 'hostStarved':
    case 'hostStarvedAndSilenced':
      return `starved ${fault.host}`
    case 'reset':
    case 'silenced':
      return `${fault.kind} ${fault.host} ${fault.from}`
    case 'serverCrashed':
    case 'serverSilent':
    case 'replicaDeaf':
    case 'serverLeaves':
    case 'answersLost':
    case 'ordersLate':
    case 'serverBusy':
    case 'entryLapses':
    case 'serverRestarts':
    case 'serverReplaced':
    case 'leaverEnds':
    case 'replicaDelayed':
      return `${fault.kind} ${fault.server}`
    case 'serverStutters':
    case 'serverStuttersTwice':
    case 'answersCutOff':
      return `${fault.kind} ${fault.server} ${fault.answers}`
    case 'promotionsLate':
    case 'primaryLosesLog':
    case 'holderFrozen':
    case 'holderKilled':
      return `${fault.kind} ${fault.service}`
    case 'storeAway':
    case 'storeLate':
    case 'storeLosesAnswers':
    case 'storeForgetsHistory':
    case 'configurationChanged':
    case 'entriesLapse':
      return fault.kind
  }
}

/** While one of these lasts, a process does nothing. */
const PROCESS_STOPS: readonly Fault['kind'][] = [
  'hostKilled',
  'hostFrozen',
  'hostStopped',
  'hostStoppedTwice',
]
const STORE_OUTAGES: readonly Fault['kind'][] = ['storeAway', 'entriesLapse']

/** Whether the fault keeps the host from the store and from all other hosts that reach it. */
export function keepsFromStore(fault: Fault, host: string): boolean {
  if (STORE_OUTAGES.includes(fault.kind)) return true
  return PROCESS_STOPS.includes(fault.kind) && 'host' in fault && fault.host === host
}
