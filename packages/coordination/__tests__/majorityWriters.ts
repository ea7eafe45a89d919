/** Simulates a proxy on each host, which writes to its known primary and acknowledges by a majority. */
import type { BackendServerId, LogPosition, Milliseconds } from '@nutmegcourse/shared'

import type { FakeBackendServer } from './fakeBackendServer.js'
import type { VirtualNetwork } from './virtualNetwork.js'

const WRITE_INTERVAL_MILLISECONDS = 5
const POLL_INTERVAL_MILLISECONDS = 10
const CONFIRMATION_TIMEOUT_MILLISECONDS = 500

interface Acknowledgement {
  readonly write: number
  readonly at: number
  readonly host: string
}

interface PendingWrite {
  readonly host: string
  readonly write: number
  readonly primary: FakeBackendServer
  readonly position: LogPosition
  readonly ranAt: Milliseconds
}

export class MajorityWriters {
  readonly acknowledged: Acknowledgement[] = []
  readonly #network: VirtualNetwork
  readonly #servers: readonly FakeBackendServer[]
  readonly #hosts: readonly string[]
  /** The server to which a host's proxies send writes; null while they hold writes. */
  readonly #primaryOf: (host: number) => BackendServerId | null
  readonly #acknowledgedWrites = new Set<number>()
  #lastWrite = 0

  constructor(
    network: VirtualNetwork,
    servers: readonly FakeBackendServer[],
    hosts: readonly string[],
    primaryOf: (host: number) => BackendServerId | null,
  ) {
    this.#network = network
    this.#servers = servers
    this.#hosts = hosts
    this.#primaryOf = primaryOf
    this.#scheduleWrites()
  }

  /** The longest time since `from` without an acknowledged write, of one host or of all. */
  gapSince(from: number, host?: string): number {
    const entries = this.acknowledged.filter(entry => host === undefined || entry.host === host)
    const times = entries.map(entry => entry.at).filter(at => at >= from)
    const points = [from, ...times, this.#network.now]
    return points.slice(1).reduce((gap, at, index) => Math.max(gap, at - (points[index] ?? at)), 0)
  }

  #scheduleWrites(): void {
    this.#network.schedule(WRITE_INTERVAL_MILLISECONDS, () => {
      this.#hosts.forEach((name, host) => {
        this.#write(name, this.#primaryOf(host))
      })
      this.#scheduleWrites()
    })
  }

  #write(host: string, target: BackendServerId | null): void {
    const primary = this.#servers.find(server => server.id === target)
    if (primary === undefined) return
    this.#lastWrite += 1
    const write = this.#lastWrite
    this.#network.send(host, primary.id, () => {
      if (this.#network.isDead(primary.id) || !primary.write(write)) return
      const { position } = primary.report()
      this.#confirm({ host, write, primary, position, ranAt: this.#network.clock.now() })
    })
  }

  /** Polls the other servers until one more holds the write or the confirmation times out. */
  #confirm(pending: PendingWrite): void {
    for (const server of this.#servers) {
      if (server !== pending.primary) this.#pollServer(pending, server)
    }
    if (this.#network.now - pending.ranAt > CONFIRMATION_TIMEOUT_MILLISECONDS) return
    this.#network.schedule(POLL_INTERVAL_MILLISECONDS, () => {
      if (!this.#acknowledgedWrites.has(pending.write)) this.#confirm(pending)
    })
  }

  #pollServer(pending: PendingWrite, server: FakeBackendServer): void {
    const { host, position, write } = pending
    this.#network.send(host, server.id, () => {
      if (this.#network.isDead(server.id)) return
      const report = server.report()
      const isSameTerm = report.position.term === position.term
      const isNotFencedAbove = report.fencedTerm <= position.term
      if (!isSameTerm || !isNotFencedAbove || report.position.offset < position.offset) return
      this.#network.send(server.id, host, () => {
        this.#acknowledge(write, host)
      })
    })
  }

  /** The primary and one more server form a majority of three. */
  #acknowledge(write: number, host: string): void {
    if (this.#acknowledgedWrites.has(write)) return
    this.#acknowledgedWrites.add(write)
    this.acknowledged.push({ write, at: this.#network.now, host })
  }
}
