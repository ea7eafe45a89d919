/**
 * A child process of a deployment. It is started with a settings file and is ready once it prints
 * its ready line.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { openSync, closeSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import split2 from 'split2'
import { stringify } from 'yaml'

const READY_TIMEOUT_MILLISECONDS = 15_000

export interface ProcessPlan {
  /** Identifies the process within its deployment. */
  readonly id: string
  readonly program: string
  readonly settings: Readonly<Record<string, unknown>>
}

/** The JSON line that a process prints once it is listening. */
export type ReadyLine = Readonly<Record<string, unknown>>

export class ManagedProcess {
  readonly #plan: ProcessPlan
  readonly #directory: string
  #child: ChildProcess | null = null

  constructor(plan: ProcessPlan, directory: string) {
    this.#plan = plan
    this.#directory = directory
  }

  get id(): string {
    return this.#plan.id
  }

  get running(): boolean {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** The operating system's process id; null while the process is not running. */
  get processId(): number | null {
    return this.running ? (this.#child?.pid ?? null) : null
  }

  /** Standard error of the process, including that of its earlier incarnations. */
  get logFile(): string {
    return join(this.#directory, `${this.id}.log`)
  }

  async start(): Promise<ReadyLine> {
    const settingsFile = join(this.#directory, `${this.id}.yaml`)
    writeFileSync(settingsFile, stringify(this.#plan.settings))
    const log = openSync(this.logFile, 'a')
    const child = spawn(process.execPath, [this.#plan.program, '--settings', settingsFile], {
      stdio: ['pipe', 'pipe', log],
    })
    closeSync(log)
    this.#child = child
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`${this.id} did not become ready in time; see ${this.logFile}`))
      }, READY_TIMEOUT_MILLISECONDS)
      child.once('exit', code => {
        clearTimeout(timer)
        reject(new Error(`${this.id} exited with code ${String(code)}; see ${this.logFile}`))
      })
      child.once('error', reject)
      child.stdout?.pipe(split2()).once('data', (line: string) => {
        clearTimeout(timer)
        resolve(JSON.parse(line) as ReadyLine)
      })
    })
  }

  signal(name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): void {
    if (this.running) this.#child?.kill(name)
  }

  /**
   * Sends a terminating signal and waits for the exit. The exit code is null if a signal ended it.
   */
  async end(name: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
    const child = this.#child
    if (child === null || !this.running) return child?.exitCode ?? null
    const ended = new Promise<number | null>(resolve => child.once('exit', resolve))
    child.kill(name)
    return ended
  }
}
