/** One run: starts a fleet and callers, injects the faults of one seed and reports the findings. */
import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@nutmegcourse/shared'
import { FaultInjector } from './faultInjector.js'
import { planFaults, type FaultKind } from './faultPlan.js'
import { ConsistencyChecker } from './consistencyChecker.js'
import { SoakCaller, type OnUnsuccessfulStatement } from './soakCaller.js'
import { SoakFleet } from './soakFleet.js'
import { StallDetector, type Stall } from './stallDetector.js'

export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly hosts: number
  readonly services: number
  readonly callers: number
  readonly paceMilliseconds: number
  readonly connectionLimit: number
  readonly kinds: readonly FaultKind[]
  readonly program: string
  /** The directory for the settings and logs of the hosts. */
  readonly directory: string
  /** Called for each statement without a successful answer. */
  readonly onUnsuccessfulStatement?: OnUnsuccessfulStatement
}

export interface SoakReport {
  readonly seed: number
  readonly findings: readonly string[]
  readonly faults: Readonly<Record<string, number>>
  readonly operations: ConsistencyChecker['counts']
  readonly promotions: number
  /** From the end of the last fault until every host has written to every service; null on a timeout. */
  readonly recoveryMilliseconds: number | null
  /** Stalls of this process, which runs the callers, the servers and the store. Hosts log their own stalls. */
  readonly standstills: readonly Stall[]
}

/** The time within which every host must serve every service again after the last fault. */
const RECOVERY_TIMEOUT_MILLISECONDS = 12_000

/** A failed statement within this time after an unplanned fault may be caused by the fault. */
const FAULT_AFTERMATH_MILLISECONDS = 3000

/** A failed statement within this time after a stall of this process may be caused by the stall. */
const STALL_AFTERMATH_MILLISECONDS = 500

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const random = new SeededRandom(options.seed)
  const fleet = new SoakFleet(options)
  const checker = new ConsistencyChecker(fleet.groups)
  const injector = new FaultInjector(fleet, random)
  const stallDetector = new StallDetector()
  try {
    await fleet.start()
    const isExcused = (): boolean => {
      const now = performance.now()
      return (
        injector.hadUnplannedFaultSince(now - FAULT_AFTERMATH_MILLISECONDS) ||
        stallDetector.hasStalledSince(now - STALL_AFTERMATH_MILLISECONDS)
      )
    }
    const callers = makeCallers(options, fleet, checker, isExcused)
    const running = callers.map(caller => caller.run())
    await injector.run(
      planFaults(
        {
          hosts: fleet.hosts.map(({ plan }) => plan.name),
          servers: fleet.groups.flatMap(group => [...group.servers.keys()]),
          spanMilliseconds: options.seconds * 1000,
          paceMilliseconds: options.paceMilliseconds,
          kinds: options.kinds,
        },
        random,
      ),
    )
    const recoveryMilliseconds = await waitForRecovery(fleet, checker)
    for (const caller of callers) caller.stop()
    await Promise.all(running)
    return {
      seed: options.seed,
      findings: checker.finish(),
      faults: Object.fromEntries([...injector.faultCounts].sort()),
      operations: checker.counts,
      promotions: fleet.groups.reduce((sum, group) => sum + group.promotions, 0),
      recoveryMilliseconds,
      standstills: stallDetector.stalls,
    }
  } finally {
    stallDetector.close()
    injector.close()
    fleet.close()
  }
}

function makeCallers(
  options: SoakOptions,
  fleet: SoakFleet,
  checker: ConsistencyChecker,
  isExcused: () => boolean,
): SoakCaller[] {
  const onUnsuccessful: OnUnsuccessfulStatement = statement => {
    options.onUnsuccessfulStatement?.(statement)
    if (isExcused()) return
    checker.checkDuringPlannedOperation(statement, fleet.host(statement.host).isStopping)
  }
  return Array.from({ length: options.callers }, (_, index) => {
    const random = new SeededRandom(options.seed * 1000 + index)
    return new SoakCaller(`c${String(index)}`, fleet, checker, random, onUnsuccessful)
  })
}

async function waitForRecovery(
  fleet: SoakFleet,
  checker: ConsistencyChecker,
): Promise<number | null> {
  const faultsEndedAt = performance.now()
  const prober = new SoakCaller('check', fleet, checker, new SeededRandom(0), () => undefined)
  for (const { plan } of fleet.hosts) {
    for (const { service } of fleet.groups) {
      while (!(await prober.writeAt(plan.name, service))) {
        if (performance.now() - faultsEndedAt > RECOVERY_TIMEOUT_MILLISECONDS) {
          checker.addFinding(
            `${plan.name} completed no write to ${service} within the recovery timeout after the last fault`,
          )
          return null
        }
        await delay(50)
      }
    }
  }
  return Math.round(performance.now() - faultsEndedAt)
}
