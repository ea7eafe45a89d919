/** One entry host as a process of its own, with the signals that trouble it. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { readinessOf } from '@nutmegcourse/platform/standIns'

const READY_LIMIT_MILLISECONDS = 30_000
const LOOK_AGAIN_MILLISECONDS = 50
const LAST_BYTES_MILLISECONDS = 100

export interface HostProcessPlan {
  readonly name: string
  /** The program's file, and the directory for settings and logs. */
  readonly program: string
  readonly directory: string
  readonly settings: string
  readonly readinessPort: number
}

export class HostProcess {
  readonly plan: HostProcessPlan
  #child: ChildProcess | null = null
  /** In this life of the process. */
  #wasReady = false
  /** From the signal to stop until callers have seen the end. */
  isStopping = false

  constructor(plan: HostProcessPlan) {
    this.plan = plan
  }

  get processId(): number | null {
    return this.#isRunning ? (this.#child?.pid ?? null) : null
  }

  /** What the process wrote, in all its lives. */
  get logFile(): string {
    return join(this.plan.directory, `${this.plan.name}.log`)
  }

  start(): void {
    if (this.#isRunning) return
    this.#wasReady = false
    const path = join(this.plan.directory, `${this.plan.name}.yaml`)
    writeFileSync(path, this.plan.settings)
    const log = openSync(this.logFile, 'a')
    this.#child = spawn(process.execPath, [this.plan.program], {
      env: { ...process.env, NUTMEGCOURSE_BOOT: path },
      stdio: ['ignore', log, log],
    })
    closeSync(log)
    const child = this.#child
    // A run that is broken off leaves no hosts behind, frozen ones neither.
    const end = (): void => {
      child.kill('SIGKILL')
    }
    process.once('exit', end)
    child.once('exit', () => process.off('exit', end))
  }

  signal(name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM' | 'SIGHUP'): void {
    if (this.#isRunning) this.#child?.kill(name)
  }

  /**
   * The planned stop; resolves when the process has ended. `again`: after so many milliseconds it is
   * told once more, and that its settings changed.
   */
  async stop(again: number | null = null): Promise<void> {
    const child = this.#child
    if (child === null || !this.#isRunning) return
    const ended = new Promise(resolve => child.once('exit', resolve))
    this.isStopping = true
    child.kill('SIGTERM')
    if (again !== null) {
      await Promise.race([ended, delay(again)])
      this.signal('SIGTERM')
      this.signal('SIGHUP')
    }
    await ended
    // The end of its connections reaches callers through the relay a little later.
    await delay(LAST_BYTES_MILLISECONDS)
    this.isStopping = false
  }

  /** A host that has not begun to listen knows nothing of signals yet. */
  reload(): void {
    if (this.#wasReady) this.signal('SIGHUP')
  }

  async whenReady(): Promise<boolean> {
    const limit = performance.now() + READY_LIMIT_MILLISECONDS
    while (performance.now() < limit) {
      if ((await readinessOf(this.plan.readinessPort)) === 200) {
        this.#wasReady = true
        return true
      }
      await delay(LOOK_AGAIN_MILLISECONDS)
    }
    return false
  }

  get #isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null
  }
}
