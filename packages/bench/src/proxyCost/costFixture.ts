/**
 * The processes of a proxy cost measurement: three minimal backend servers, a byte relay and the
 * production proxy.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { RoutingSnapshot } from '@nutmegcourse/protocol'
import {
  availabilityZoneId,
  backendServerId,
  className,
  databaseId,
  entryHostId,
  logPosition,
  regionId,
  term,
} from '@nutmegcourse/shared'
import { JsonRpcConnection, listen } from '@nutmegcourse/transport'
import { ManagedProcess } from '../deployment/managedProcess.js'

export const READ_CLASS = 'lookup'
export const WRITE_CLASS = 'score_entry'

const LOOPBACK = '127.0.0.1'
const CONNECTION_LIMIT = 35
const STATUS_TIMEOUT_MILLISECONDS = 2000
const siblingPath = (file: string): string => fileURLToPath(new URL(file, import.meta.url))
const PROXY = fileURLToPath(new URL('main.js', import.meta.resolve('@nutmegcourse/proxy')))

export class CostFixture {
  readonly #directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-cost-'))
  readonly #processes: ManagedProcess[] = []
  #proxyConnection: JsonRpcConnection | null = null
  #snapshot: RoutingSnapshot | null = null
  #closeFakeAgent: () => void = () => undefined
  directPort = 0
  relayPort = 0
  proxyPort = 0

  static async start(): Promise<CostFixture> {
    const fixture = new CostFixture()
    const program = siblingPath('leanBackend.js')
    const ports = [
      await fixture.#start('primary', program, { role: 'primary' }),
      await fixture.#start('replica-1', program, { role: 'replica' }),
      await fixture.#start('replica-2', program, { role: 'replica' }),
    ]
    fixture.directPort = ports[0] ?? 0
    fixture.relayPort = await fixture.#start('relay', siblingPath('bareRelay.js'), {
      target: ports[0],
    })
    fixture.#snapshot = snapshotOf(ports)
    fixture.proxyPort = await fixture.#startProxy(await fixture.#startFakeAgent())
    return fixture
  }

  /** Resident memory as reported by the proxy. */
  async proxyResidentBytes(): Promise<number> {
    const status = await this.#proxyConnection?.request<{ readonly residentBytes: number }>(
      'proxy.status',
      {},
      STATUS_TIMEOUT_MILLISECONDS,
    )
    return status?.isOk() === true ? status.value.residentBytes : Number.NaN
  }

  /** The operating system's id of a process of the fixture. */
  processId(id: 'primary' | 'relay' | 'proxy'): number {
    return this.#processes.find(each => each.id === id)?.processId ?? 0
  }

  async stop(): Promise<void> {
    await Promise.all(this.#processes.map(each => each.end('SIGKILL')))
    this.#proxyConnection?.close()
    this.#closeFakeAgent()
    rmSync(this.#directory, { recursive: true, force: true })
  }

  async #start(
    id: string,
    program: string,
    settings: Readonly<Record<string, unknown>>,
  ): Promise<number> {
    const started = new ManagedProcess({ id, program, settings }, this.#directory)
    this.#processes.push(started)
    const ready = await started.start()
    return Number(ready.port ?? (ready.ports as { readonly listen?: number }).listen)
  }

  async #startFakeAgent(): Promise<number> {
    const { server, port } = await listen(LOOPBACK, 0, socket => {
      const connection = new JsonRpcConnection(socket, {
        'agent.subscribe': () => null,
        'agent.report': () => null,
      })
      this.#proxyConnection = connection
      connection.notify('proxy.snapshot', this.#snapshot)
    })
    this.#closeFakeAgent = () => server.close()
    return port
  }

  #startProxy(agentPort: number): Promise<number> {
    return this.#start('proxy', PROXY, {
      entryHost: 'entry-1',
      zone: 'zone-1',
      region: 'region-1',
      logLevel: 'warn',
      listen: { address: LOOPBACK, port: 0 },
      agent: { address: LOOPBACK, port: agentPort },
    })
  }
}

function snapshotOf(ports: readonly number[]): RoutingSnapshot {
  const database = databaseId('bench')
  const primary = backendServerId('bench-1')
  const common = { latencyMilliseconds: 2000, freshnessMilliseconds: 0, replicaReadShare: 0 }
  return {
    sequence: 1,
    entryHost: entryHostId('entry-1'),
    targets: {
      version: 1,
      changeId: 'bench',
      changedBy: 'bench',
      recentChangeIds: [],
      targets: {
        service: 'bench',
        classes: [
          {
            ...common,
            name: className(READ_CLASS),
            access: 'read',
            idempotent: true,
            freshnessMilliseconds: 5000,
          },
          { ...common, name: className(WRITE_CLASS), access: 'write', idempotent: false },
        ],
        defaults: [],
      },
    },
    targetsConfirmed: true,
    groups: [
      {
        record: {
          database,
          term: term(1),
          primary,
          phase: { kind: 'stable' },
          coordinator: null,
          attempt: null,
          termStarts: [{ term: term(1), primary, startsAfter: logPosition(0, 0) }],
        },
        backendServers: ports.map((port, index) => ({
          kind: 'backendServer',
          id: backendServerId(`bench-${index + 1}`),
          database,
          address: LOOPBACK,
          port,
          zone: availabilityZoneId('zone-1'),
          region: regionId('region-1'),
          state: 'live',
          slots: 3,
          connectionLimit: CONNECTION_LIMIT,
        })),
      },
    ],
    entryHostCount: 1,
  }
}
