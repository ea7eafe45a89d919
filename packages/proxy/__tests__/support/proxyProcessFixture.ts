/** The proxy binary as a process, with a fake agent and three fake backend servers. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import type { Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { GroupRecord, RoutingSnapshot } from '@nutmegcourse/protocol'
import { JsonRpcConnection, listen } from '@nutmegcourse/transport'
import pg from 'pg'
import { FakeBackend } from './fakeBackend.js'
import { DATABASE, READ_CLASS, routingSnapshot } from './proxyFixture.js'

const PROGRAM = fileURLToPath(new URL('../../src/main.js', import.meta.url))

export class ProxyProcessFixture {
  /** The primary. */
  readonly backend: FakeBackend
  readonly links = new Set<JsonRpcConnection>()
  readonly #replicas: readonly FakeBackend[]
  readonly #directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-proxy-'))
  #snapshot: RoutingSnapshot
  #agent: Server | null = null
  #process: ChildProcess | null = null
  #exit: Promise<number | null> = Promise.resolve(null)
  #port = 0

  private constructor(backend: FakeBackend, replicas: readonly FakeBackend[]) {
    this.backend = backend
    this.#replicas = replicas
    for (const replica of replicas) replica.follows = backend
    this.#snapshot = routingSnapshot(backend.port, ...replicas.map(replica => replica.port))
  }

  static async start(drainTimeoutMilliseconds = 5000): Promise<ProxyProcessFixture> {
    const replicas = [await FakeBackend.start(), await FakeBackend.start()]
    const proxy = new ProxyProcessFixture(await FakeBackend.start(), replicas)
    const { server, port } = await listen('127.0.0.1', 0, socket => {
      proxy.#subscribe(new JsonRpcConnection(socket, { 'agent.subscribe': () => null }))
    })
    proxy.#agent = server
    await proxy.#spawn(port, drainTimeoutMilliseconds)
    return proxy
  }

  get port(): number {
    return this.#port
  }

  async connect(name = READ_CLASS): Promise<pg.Client> {
    const options = `-c nutmegcourse.class=${name}`
    const address = { host: '127.0.0.1', port: this.#port, user: 'foreman', database: DATABASE }
    const client = new pg.Client({ ...address, options })
    client.on('error', () => undefined)
    await client.connect()
    return client
  }

  /** Sends SIGTERM and resolves to the exit code. */
  async terminate(): Promise<number | null> {
    this.#process?.kill('SIGTERM')
    return this.#exit
  }

  /** Stops the process without ending it; what arrives meanwhile waits unread. */
  freeze(): void {
    this.#process?.kill('SIGSTOP')
  }

  thaw(): void {
    this.#process?.kill('SIGCONT')
  }

  /** Sends a later snapshot, in which the group is in the given phase. */
  publish(phase: GroupRecord['phase']): void {
    const { groups, sequence } = this.#snapshot
    this.#snapshot = {
      ...this.#snapshot,
      sequence: sequence + 1,
      groups: groups.map(group => ({ ...group, record: { ...group.record, phase } })),
    }
    for (const link of this.links) link.notify('proxy.snapshot', this.#snapshot)
  }

  async close(): Promise<void> {
    this.#process?.kill('SIGKILL')
    await this.#exit
    for (const link of this.links) link.close()
    this.#agent?.close()
    for (const backend of [this.backend, ...this.#replicas]) backend.close()
    rmSync(this.#directory, { recursive: true, force: true })
  }

  #subscribe(link: JsonRpcConnection): void {
    this.links.add(link)
    link.onClose(() => this.links.delete(link))
    link.notify('proxy.snapshot', this.#snapshot)
  }

  async #spawn(agentPort: number, drainTimeoutMilliseconds: number): Promise<void> {
    const file = join(this.#directory, 'proxy.yaml')
    const endpoint = (port: number): string => `{ address: 127.0.0.1, port: ${port} }`
    writeFileSync(
      file,
      [
        'entryHost: entry-1',
        'zone: tanger-nord',
        'region: tanger',
        'logLevel: error',
        `listen: ${endpoint(0)}`,
        `agent: ${endpoint(agentPort)}`,
        `drainTimeoutMilliseconds: ${drainTimeoutMilliseconds}`,
      ].join('\n'),
    )
    const child = spawn(process.execPath, [PROGRAM, '--settings', file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    })
    this.#process = child
    this.#exit = new Promise(resolve => child.once('exit', resolve))
    const line = await new Promise<string>(resolve => {
      child.stdout.once('data', (chunk: Buffer) => {
        resolve(chunk.toString())
      })
    })
    const ready = JSON.parse(line) as { readonly ports: { readonly listen: number } }
    this.#port = ready.ports.listen
  }
}

export async function withProxyProcess(
  drainTimeoutMilliseconds: number,
  test: (proxy: ProxyProcessFixture) => Promise<void>,
): Promise<void> {
  const proxy = await ProxyProcessFixture.start(drainTimeoutMilliseconds)
  try {
    await test(proxy)
  } finally {
    await proxy.close()
  }
}
