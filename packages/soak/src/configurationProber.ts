/** Asks one host again and again for the databases that configurations add and remove, and reports its answers. */
import { setTimeout as delay } from 'node:timers/promises'
import { WireCaller } from '@nutmegcourse/platform/standIns'
import {
  databaseOfVersion,
  type ConfigurationChecker,
  type DatabaseAnswer,
} from './configurationChecker.js'
import type { HostProcess } from './hostProcess.js'

const ROUND_MILLISECONDS = 100
const ANSWER_TIMEOUT_MILLISECONDS = 3000
const UNKNOWN_DATABASE_CODE = 'NODB'
const NO_ANSWER = '-'

export class ConfigurationProber {
  readonly #host: HostProcess
  /** The host's own port, since the link of callers has faults of its own. */
  readonly #port: number
  readonly #checker: ConfigurationChecker
  #isStopped = false

  constructor(host: HostProcess, port: number, checker: ConfigurationChecker) {
    this.#host = host
    this.#port = port
    this.#checker = checker
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      const versions = this.#checker.versionsToAsk(this.#host.plan.name)
      await Promise.all(versions.map(version => this.#ask(version)))
      await delay(ROUND_MILLISECONDS)
    }
  }

  stop(): void {
    this.#isStopped = true
  }

  async #ask(version: number): Promise<void> {
    const { incarnation } = this.#host
    const sentAt = performance.now()
    const answer = await this.#answerOf(databaseOfVersion(version))
    // The process may have been started anew, or may have ended, while the answer was under way.
    if (this.#host.incarnation !== incarnation) return
    const host = this.#host.plan.name
    this.#checker.record({ host, incarnation, version, sentAt, answer }, performance.now())
  }

  async #answerOf(database: string): Promise<DatabaseAnswer> {
    const caller = new WireCaller(this.#port)
    const timer = setTimeout(() => {
      caller.destroy()
    }, ANSWER_TIMEOUT_MILLISECONDS)
    const code = await caller.startSessionOrCode(database)
    clearTimeout(timer)
    caller.terminate()
    if (code === null) return 'served'
    if (code === NO_ANSWER) return 'none'
    return code === UNKNOWN_DATABASE_CODE ? 'unknown' : 'refused'
  }
}
