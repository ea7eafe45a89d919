/** One run: starts a fleet and callers, injects the faults of one seed and reports the findings. */
import { SeededRandom } from '@nutmegcourse/shared'
import { AnswerChecker, type AnswerFindingKind } from './answerChecker.js'
import { FaultInjector } from './faultInjector.js'
import { memberReferencesOf } from './changeFaults.js'
import { ConfigurationWatch, type ConfigurationReport } from './configurationWatch.js'
import type { FailoverGaps } from './failoverGaps.js'
import type { FaultKind, PlannedFault } from './faultPlan.js'
import { SHORTEST_TIMEOUT_MILLISECONDS } from './guarantees.js'
import { USUAL_HABITS, steadyHabits, type CallerHabits } from './hardLoad.js'
import { FAULT_AFTERMATH_MILLISECONDS } from './leaderlessGroups.js'
import { LoadChecker } from './loadChecker.js'
import { LoadGenerator } from './loadGenerator.js'
import { planCalmLoads, planLoads } from './loadPlan.js'
import { awaitPrimaries, awaitRecovery } from './recovery.js'
import { ConsistencyChecker } from './consistencyChecker.js'
import { SoakCaller } from './soakCaller.js'
import type { OnUnsuccessfulStatement, UnsuccessfulStatement } from './soakCallerOptions.js'
import {
  CONFIGURATION_BOUND_MILLISECONDS,
  type AnswerKind,
  type BackendHooks,
} from '@nutmegcourse/platform/standIns'
import { SoakFleet } from './soakFleet.js'
import { hostileRow } from './hostileContents.js'
import { BASE_PLANS, planAnswerFaults, type BasePlan } from './answerFaults.js'
import { StallDetector, type Stall } from './stallDetector.js'

export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly hosts: number
  readonly services: number
  readonly callers: number
  readonly paceMilliseconds: number
  readonly connectionLimit: number
  /** Of series of changes, those that the series are drawn from. */
  readonly kinds: readonly FaultKind[]
  /** Draws series of faults around changes of primary; `paceMilliseconds` is the average time between two series. */
  readonly hasChangeSeries: boolean
  /** Publishes configurations all the while, and checks when they are in force; the faults keep hosts from the store. */
  readonly judgesConfigurations?: boolean
  /** Compares statements and answers, with hostile contents and servers that stutter, beside the faults of the other options. */
  readonly comparesAnswers?: boolean
  /** Adds customers, classes and load beyond the slots of the backend servers. */
  readonly isHardLoad: boolean
  /** The faults; drawn from the seed by default. */
  readonly plan?: readonly PlannedFault[]
  readonly program: string
  /** The directory for the settings and logs of the hosts. */
  readonly directory: string
  /** Called for each statement without a successful answer. */
  readonly onUnsuccessfulStatement?: OnUnsuccessfulStatement
}

export interface AnswerReport {
  readonly statements: AnswerChecker['counts']
  /** How often servers sent answers again. */
  readonly repeated: Readonly<Record<AnswerKind, number>>
  /** Answers of which servers sent only a part. */
  readonly cutOff: Readonly<Record<AnswerKind, number>>
  readonly findings: Readonly<Record<AnswerFindingKind, number>>
}

export interface SoakReport {
  readonly seed: number
  readonly findings: readonly string[]
  readonly faults: Readonly<Record<string, number>>
  readonly operations: ConsistencyChecker['counts']
  /** Only statements that were judged: sent while load was on and no fault. */
  readonly underLoad?: LoadChecker['counts'] & { readonly hostStandstills: number }
  readonly configurations?: ConfigurationReport
  readonly answers?: AnswerReport
  readonly promotions: number
  readonly failoverGaps: FailoverGaps
  /** From the end of the last fault until every host has written to every service; null on a timeout. */
  readonly recoveryMilliseconds: number | null
  /** Stalls of this process, which runs the callers, the servers and the store. Hosts log their own stalls. */
  readonly standstills: readonly Stall[]
}

/** From the acceptance of a promotion until its effect; the longer one is what callers notice in some deployments. */
const PROMOTION_MILLISECONDS = 300
const LONG_PROMOTION_MILLISECONDS = 1000

/** A failed statement within this time after a stall of this process may be caused by the stall. */
const STALL_AFTERMATH_MILLISECONDS = 500

/**
 * Load is judged when no fault was active for this long: the bound within which hosts must have acted on what the store
 * says, which by then includes the ends of faults.
 */
const SETTLING_MILLISECONDS = CONFIGURATION_BOUND_MILLISECONDS

/** How long a hard load run goes on after its faults. */
const CALM_MILLISECONDS = SETTLING_MILLISECONDS + 5000

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const run = new SoakRun(options)
  try {
    return await run.run()
  } finally {
    run.close()
  }
}

class SoakRun {
  readonly #options: SoakOptions
  readonly #random: SeededRandom
  readonly #fleet: SoakFleet
  readonly #checker: ConsistencyChecker
  readonly #answers: AnswerChecker | null
  readonly #loadChecker = new LoadChecker()
  readonly #injector: FaultInjector
  readonly #generator: LoadGenerator
  readonly #stallDetector = new StallDetector()
  readonly #configurations: ConfigurationWatch | null
  #madeCallers = 0

  constructor(options: SoakOptions) {
    this.#options = options
    this.#random = new SeededRandom(options.seed)
    const promotionMilliseconds = options.hasChangeSeries
      ? LONG_PROMOTION_MILLISECONDS
      : PROMOTION_MILLISECONDS
    this.#answers = options.comparesAnswers === true ? new AnswerChecker() : null
    this.#fleet = new SoakFleet({
      ...options,
      backendHooks: this.#answers === null ? {} : hooksOf(this.#answers, options.seed),
      promotionMilliseconds,
      isReplicationDelayed: options.hasChangeSeries,
      hasVersionRoutes: options.judgesConfigurations ?? false,
    })
    this.#checker = new ConsistencyChecker(this.#fleet.groups)
    this.#injector = new FaultInjector(this.#fleet, this.#random)
    this.#generator = new LoadGenerator((name, habits) => this.#makeCaller(name, habits))
    this.#configurations =
      options.judgesConfigurations === true
        ? new ConfigurationWatch(this.#fleet, new SeededRandom(options.seed), {
            excusedUntil: (host, since) => this.#excusedUntil(host, since),
            report: finding => {
              this.#checker.addFinding(finding)
            },
          })
        : null
  }

  async run(): Promise<SoakReport> {
    const { callers: count, isHardLoad, seconds, seed } = this.#options
    await this.#fleet.start()
    const callers = Array.from({ length: count }, (_, index) =>
      this.#makeCaller(`c${String(index)}`, isHardLoad ? steadyHabits(index) : USUAL_HABITS),
    )
    const running = callers.map(caller => caller.run())
    // From random numbers of their own, so that a seed has the same faults with and without load.
    const random = new SeededRandom(seed)
    const loads = isHardLoad ? planLoads(seconds * 1000, random) : []
    const calmLoads = isHardLoad ? planCalmLoads(CALM_MILLISECONDS, random) : []
    this.#configurations?.start()
    await Promise.all([this.#injector.run(this.#planFaults()), this.#generator.run(loads, running)])
    const configurations = await this.#configurations?.finish()
    const [recoveryMilliseconds] = await Promise.all([
      awaitRecovery(this.#fleet, this.#checker, this.#answers),
      this.#generator.run(calmLoads, running),
    ])
    for (const caller of callers) caller.stop()
    await Promise.all(running)
    await awaitPrimaries(this.#fleet.groups)
    const hostStandstills = this.#fleet.hosts.flatMap(host => host.standstills)
    return {
      seed,
      findings: [
        ...this.#checker.finish(),
        ...this.#loadChecker.finish(hostStandstills),
        ...(this.#answers?.findings ?? []),
      ],
      faults: Object.fromEntries([...this.#injector.faultCounts].sort()),
      operations: this.#checker.counts,
      ...(isHardLoad
        ? { underLoad: { ...this.#loadChecker.counts, hostStandstills: hostStandstills.length } }
        : {}),
      ...(configurations === undefined ? {} : { configurations }),
      ...(this.#answers === null ? {} : { answers: this.#reportAnswers(this.#answers) }),
      promotions: this.#fleet.groups.reduce((sum, group) => sum + group.promotions, 0),
      failoverGaps: this.#checker.failoverGaps,
      recoveryMilliseconds,
      standstills: this.#stallDetector.stalls,
    }
  }

  #reportAnswers({ counts, findingCounts }: AnswerChecker): AnswerReport {
    const { repeated, cutOff } = this.#fleet.stutters
    return { statements: counts, repeated, cutOff, findings: findingCounts }
  }

  close(): void {
    this.#configurations?.close()
    this.#stallDetector.close()
    this.#injector.close()
    this.#fleet.close()
  }

  #planFaults(): readonly PlannedFault[] {
    const { plan, seconds, paceMilliseconds, kinds, hasChangeSeries } = this.#options
    if (plan !== undefined) return plan
    const services = this.#fleet.groups.map(({ service }) => service)
    const sizes = {
      hosts: this.#fleet.hosts.map(({ plan }) => plan.name),
      // Series replace servers, so that their parts are named in place of their ids.
      servers: hasChangeSeries
        ? services.flatMap(memberReferencesOf)
        : this.#fleet.groups.flatMap(group => [...group.servers.keys()]),
      services,
      spanMilliseconds: seconds * 1000,
      paceMilliseconds,
      kinds,
    }
    const base = this.#basePlan()
    return this.#answers === null
      ? base.draw(sizes, this.#random)
      : planAnswerFaults(sizes, this.#random, base)
  }

  #basePlan(): BasePlan {
    const { judgesConfigurations, hasChangeSeries } = this.#options
    if (judgesConfigurations === true) return BASE_PLANS.configurations
    return hasChangeSeries ? BASE_PLANS.changeSeries : BASE_PLANS.faults
  }

  #excusedUntil(host: string, since: number): number {
    const stallEndedAt = this.#stallDetector.lastStallEndedAt
    const ownStall = stallEndedAt >= since ? stallEndedAt : Number.NEGATIVE_INFINITY
    return Math.max(ownStall, this.#injector.excusedUntil(host, since))
  }

  #makeCaller(name: string, habits: CallerHabits): SoakCaller {
    const random = new SeededRandom(this.#options.seed * 1000 + this.#madeCallers)
    this.#madeCallers += 1
    return new SoakCaller({
      name,
      fleet: this.#fleet,
      checker: this.#checker,
      random,
      habits,
      answers: this.#answers,
      onUnsuccessfulStatement: statement => {
        this.#options.onUnsuccessfulStatement?.(statement)
        if (this.#isExcused(statement) || this.#isOverloadTimeout(statement)) return
        const { isStopping } = this.#fleet.host(statement.host)
        this.#checker.checkDuringPlannedOperation(statement, isStopping)
      },
      onEndedStatement: statement => {
        if (!this.#options.isHardLoad) return
        this.#loadChecker.record(statement, this.#isCalmSince(statement.sentAt))
      },
    })
  }

  /** A group without a primary is no reason to close a connection. */
  #isExcused({ service, answer }: UnsuccessfulStatement): boolean {
    const now = performance.now()
    const aftermathSince = now - FAULT_AFTERMATH_MILLISECONDS
    return (
      this.#injector.hadUnplannedFaultSince(aftermathSince) ||
      (answer.kind !== 'closed' && this.#injector.wasLeaderlessSince(service, aftermathSince)) ||
      this.#stallDetector.hasStalledSince(now - STALL_AFTERMATH_MILLISECONDS)
    )
  }

  /** Beyond the slots, a statement may use up all of its time without a fault. */
  #isOverloadTimeout({ owedMilliseconds }: UnsuccessfulStatement): boolean {
    return this.#options.isHardLoad && owedMilliseconds >= SHORTEST_TIMEOUT_MILLISECONDS
  }

  /** Whether load is on, and neither faults nor stalls can have affected a statement that was sent then. */
  #isCalmSince(sentAt: number): boolean {
    return (
      this.#generator.isActive &&
      !this.#injector.hadFaultSince(sentAt - SETTLING_MILLISECONDS) &&
      !this.#stallDetector.hasStalledSince(sentAt - STALL_AFTERMATH_MILLISECONDS)
    )
  }
}

function hooksOf(
  answers: AnswerChecker,
  seed: number,
): Pick<BackendHooks, 'rowsOf' | 'onReceived' | 'onSigned'> {
  const random = new SeededRandom(seed)
  return {
    rowsOf: id => [hostileRow(id, random), `end of ${id}`],
    onReceived: statement => {
      answers.checkReceived(statement)
    },
    onSigned: answer => {
      answers.recordSigned(answer)
    },
  }
}
