/** Runs one entry host as a separate process and sends it signals. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { probeReadiness } from '@nutmegcourse/platform/standIns'

const READY_TIMEOUT_MILLISECONDS = 30_000
const READINESS_POLL_MILLISECONDS = 50
const CLOSE_PROPAGATION_MILLISECONDS = 100

export interface HostProcessPlan {
  readonly name: string
  /** The path of the program. */
  readonly program: string
  /** The directory for settings and logs. */
  readonly directory: string
  readonly settings: string
  readonly readinessPort: number
}

interface StandstillLine {
  readonly timestamp: string
  readonly milliseconds: number
}

export class HostProcess {
  readonly plan: HostProcessPlan
  #child: ChildProcess | null = null
  #incarnation = 0
  /** Whether the current incarnation of the process has become ready. */
  #hasBecomeReady = false
  /** True from the stop signal until callers have received the end of their connections. */
  isStopping = false

  constructor(plan: HostProcessPlan) {
    this.plan = plan
  }

  /** Grows with each start of the process. */
  get incarnation(): number {
    return this.#incarnation
  }

  get processId(): number | null {
    return this.#isRunning ? (this.#child?.pid ?? null) : null
  }

  /** The output of all incarnations of the process. */
  get logFile(): string {
    return join(this.plan.directory, `${this.plan.name}.log`)
  }

  /** When the process noticed that it had stood still, on the clock of this process. */
  get standstills(): { readonly from: number; readonly until: number }[] {
    const lines = readFileSync(this.logFile, 'utf8').split('\n')
    return lines
      .filter(line => line.includes('"stood_still"'))
      .map(line => {
        const { timestamp, milliseconds } = JSON.parse(line) as StandstillLine
        const until = Date.parse(timestamp) - performance.timeOrigin
        return { from: until - milliseconds, until }
      })
  }

  start(): void {
    if (this.#isRunning) return
    this.#hasBecomeReady = false
    this.#incarnation += 1
    const path = join(this.plan.directory, `${this.plan.name}.yaml`)
    writeFileSync(path, this.plan.settings)
    const log = openSync(this.logFile, 'a')
    this.#child = spawn(process.execPath, [this.plan.program], {
      env: { ...process.env, NUTMEGCOURSE_BOOT: path },
      stdio: ['ignore', log, log],
    })
    closeSync(log)
    const child = this.#child
    // An interrupted run must leave no hosts behind; SIGKILL also ends frozen ones.
    const killChild = (): void => {
      child.kill('SIGKILL')
    }
    process.once('exit', killChild)
    child.once('exit', () => process.off('exit', killChild))
  }

  signal(name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM' | 'SIGHUP'): void {
    if (this.#isRunning) this.#child?.kill(name)
  }

  /**
   * Performs a planned stop; resolves when the process has ended. `repeatAfterMilliseconds`: when
   * set, sends a second SIGTERM and a SIGHUP after this delay.
   */
  async stop(repeatAfterMilliseconds: number | null = null): Promise<void> {
    const child = this.#child
    if (child === null || !this.#isRunning) return
    const ended = new Promise(resolve => child.once('exit', resolve))
    this.isStopping = true
    child.kill('SIGTERM')
    if (repeatAfterMilliseconds !== null) {
      await Promise.race([ended, delay(repeatAfterMilliseconds)])
      this.signal('SIGTERM')
      this.signal('SIGHUP')
    }
    await ended
    // The relay passes the end of the connections on to callers with a short delay.
    await delay(CLOSE_PROPAGATION_MILLISECONDS)
    this.isStopping = false
  }

  /** Sends SIGHUP if the host has become ready; before it listens, it does not handle signals yet. */
  reload(): void {
    if (this.#hasBecomeReady) this.signal('SIGHUP')
  }

  async waitUntilReady(): Promise<boolean> {
    const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS
    while (performance.now() < deadline) {
      if ((await probeReadiness(this.plan.readinessPort)) === 200) {
        this.#hasBecomeReady = true
        return true
      }
      await delay(READINESS_POLL_MILLISECONDS)
    }
    return false
  }

  get #isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null
  }
}
