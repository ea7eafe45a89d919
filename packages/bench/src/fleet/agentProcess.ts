/** Runs a production agent as a process and reads its reported resource usage. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { HostLocation } from '@nutmegcourse/coordination'
import type { AgentUsageResult } from '@nutmegcourse/protocol'
import { JsonRpcConnection, openJsonRpc } from '@nutmegcourse/transport'

const LOOPBACK = '127.0.0.1'
const TIMEOUT_MILLISECONDS = 5000
const PROGRAM = fileURLToPath(new URL('main.js', import.meta.resolve('@nutmegcourse/agent')))

export interface AgentPorts {
  readonly listen: number
  readonly proxyListen: number
}

export class AgentProcess {
  readonly ports: AgentPorts
  readonly #child: ChildProcess
  readonly #connection: JsonRpcConnection
  readonly #directory: string

  private constructor(
    ports: AgentPorts,
    child: ChildProcess,
    connection: JsonRpcConnection,
    directory: string,
  ) {
    this.ports = ports
    this.#child = child
    this.#connection = connection
    this.#directory = directory
  }

  static async start(
    location: HostLocation,
    storePort: number,
    hostListPort: number,
  ): Promise<AgentProcess> {
    const directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-agent-'))
    const file = join(directory, 'agent.yaml')
    const endpoint = (port: number): { address: string; port: number } => ({
      address: LOOPBACK,
      port,
    })
    const settings = {
      ...location,
      logLevel: 'error',
      listen: endpoint(0),
      proxyListen: endpoint(0),
      store: endpoint(storePort),
      hostList: endpoint(hostListPort),
    }
    writeFileSync(file, JSON.stringify(settings))
    const child = spawn(process.execPath, [PROGRAM, '--settings', file], {
      stdio: ['ignore', 'pipe', 'ignore'],
    })
    const ports = await readPorts(child)
    const opened = await openJsonRpc(LOOPBACK, ports.listen, {}, TIMEOUT_MILLISECONDS)
    return new AgentProcess(ports, child, opened._unsafeUnwrap(), directory)
  }

  async usage(): Promise<AgentUsageResult> {
    const answer = await this.#connection.request<AgentUsageResult>(
      'agent.usage',
      null,
      TIMEOUT_MILLISECONDS,
    )
    return answer._unsafeUnwrap()
  }

  /** Pauses (SIGSTOP) or resumes (SIGCONT) the process. */
  signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.#child.kill(signal)
  }

  /** Ends the process and resolves with its exit code, or null if a signal ended it. */
  async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<number | null> {
    this.#connection.close()
    const ended = new Promise<number | null>(resolve => this.#child.once('exit', resolve))
    this.#child.kill(signal)
    const code = await ended
    rmSync(this.#directory, { recursive: true })
    return code
  }

  async stop(): Promise<void> {
    await this.end('SIGKILL')
  }
}

function readPorts(child: ChildProcess): Promise<AgentPorts> {
  return new Promise((resolve, reject) => {
    child.once('exit', code => {
      reject(new Error(`the agent exited with ${code ?? 'a signal'} before it was ready`))
    })
    child.stdout?.once('data', (line: Buffer) => {
      resolve((JSON.parse(line.toString()) as { ports: AgentPorts }).ports)
    })
  })
}
