/** Publishes configurations during a run, and follows at every host when they are in force. */
import type { RandomSource } from '@nutmegcourse/shared'
import { setTimeout as delay } from 'node:timers/promises'
import { CONFIGURATION_BOUND_MILLISECONDS } from '@nutmegcourse/platform/standIns'
import { ConfigurationChecker, type ExcusedUntil } from './configurationChecker.js'
import { ConfigurationProber } from './configurationProber.js'
import { FaultTrace } from './faultTrace.js'
import type { SoakFleet } from './soakFleet.js'

const SHORTEST_INTERVAL_MILLISECONDS = 400
const LONGEST_INTERVAL_MILLISECONDS = 4900
/** Beyond the bound, for the last answers to arrive. */
const LAST_ANSWERS_MILLISECONDS = 500

export type ConfigurationReport = ConfigurationChecker['counts'] & {
  readonly longestDelayMilliseconds: number
}

export interface ConfigurationWatchParts {
  readonly excusedUntil: ExcusedUntil
  readonly report: (finding: string) => void
}

export class ConfigurationWatch {
  readonly #fleet: SoakFleet
  readonly #random: RandomSource
  readonly #checker: ConfigurationChecker
  readonly #trace: FaultTrace
  #probers: ConfigurationProber[] = []
  #running: Promise<unknown> = Promise.resolve()
  #timer: NodeJS.Timeout | null = null
  /** Hosts start after the first version is published. */
  #startedAt = Number.POSITIVE_INFINITY

  constructor(
    fleet: SoakFleet,
    random: RandomSource,
    { excusedUntil, report }: ConfigurationWatchParts,
  ) {
    this.#fleet = fleet
    this.#random = random
    this.#trace = new FaultTrace(fleet.plan.directory)
    const isAsked: ExcusedUntil = (host, since) =>
      Math.max(this.#startedAt, excusedUntil(host, since))
    this.#checker = new ConfigurationChecker(isAsked, finding => {
      this.#trace.write('finding', { finding })
      report(finding)
    })
    fleet.onPublished = version => {
      this.#checker.published(version, performance.now())
      this.#trace.write('configuration_published', { version })
    }
  }

  start(): void {
    this.#startedAt = performance.now()
    this.#probers = this.#fleet.hosts.map(host => {
      const port = this.#fleet.directPorts.get(host.plan.name) ?? 0
      return new ConfigurationProber(host, port, this.#checker)
    })
    this.#running = Promise.all(this.#probers.map(prober => prober.run()))
    this.#publishLater()
  }

  #publishLater(): void {
    const span = LONGEST_INTERVAL_MILLISECONDS - SHORTEST_INTERVAL_MILLISECONDS
    this.#timer = setTimeout(
      () => {
        this.#fleet.publishConfiguration()
        this.#publishLater()
      },
      SHORTEST_INTERVAL_MILLISECONDS + span * this.#random.next(),
    )
  }

  /** Publishes a last version after the faults, and waits until it has to be in force. */
  async finish(): Promise<ConfigurationReport> {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#fleet.publishConfiguration()
    await delay(CONFIGURATION_BOUND_MILLISECONDS + LAST_ANSWERS_MILLISECONDS)
    for (const prober of this.#probers) prober.stop()
    await this.#running
    const { counts, longestDelayMilliseconds } = this.#checker
    return { ...counts, longestDelayMilliseconds }
  }

  close(): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    for (const prober of this.#probers) prober.stop()
  }
}
