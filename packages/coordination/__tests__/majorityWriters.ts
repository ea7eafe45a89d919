/** Simulates a proxy on each host, which writes to its known primary and acknowledges by a majority. */
import type { BackendServerId, LogPosition, Milliseconds } from '@nutmegcourse/shared'

import type { FakeBackendServer } from './fakeBackendServer.js'
import type { VirtualNetwork } from './virtualNetwork.js'

export const WRITE_INTERVAL_MILLISECONDS = 5
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
  /** Writes that reached a server on a connection that it had closed when it was fenced. */
  readonly cut: number[] = []
  readonly #network: VirtualNetwork
  readonly #servers: readonly FakeBackendServer[]
  readonly #hosts: readonly string[]
  /** The server to which a host's proxies send writes; null while they hold writes. */
  readonly #primaryOf: (host: number) => BackendServerId | null
  readonly #acknowledgedWrites = new Set<number>()
  /** Between two writes of each host. */
  readonly #intervals: readonly number[]
  /** By host and server: how many times the host saw the server close its connections. */
  readonly #closures = new Map<string, number>()
  /** By host: its writes that are sent and not yet answered. */
  readonly #inFlight = new Map<string, number>()
  /** By host: called once when no write of it is in flight. */
  readonly #idleCallbacks = new Map<string, (() => void)[]>()
  #lastWrite = 0

  constructor(
    network: VirtualNetwork,
    servers: readonly FakeBackendServer[],
    hosts: readonly string[],
    primaryOf: (host: number) => BackendServerId | null,
    intervals: readonly number[] = hosts.map(() => WRITE_INTERVAL_MILLISECONDS),
  ) {
    this.#network = network
    this.#servers = servers
    this.#hosts = hosts
    this.#primaryOf = primaryOf
    this.#intervals = intervals
    for (const host of hosts.keys()) this.#scheduleWrites(host)
    for (const server of servers) {
      server.demoted = () => {
        this.#closeConnections(server)
      }
    }
  }

  /** The longest time since `from` without an acknowledged write, of one host or of all. */
  gapSince(from: number, host?: string): number {
    const entries = this.acknowledged.filter(entry => host === undefined || entry.host === host)
    const times = entries.map(entry => entry.at).filter(at => at >= from)
    const points = [from, ...times, this.#network.now]
    return points.slice(1).reduce((gap, at, index) => Math.max(gap, at - (points[index] ?? at)), 0)
  }

  /** Calls back once no write of the host is in flight. */
  whenIdle(host: number, callback: () => void): void {
    const name = this.#hosts[host] ?? ''
    if ((this.#inFlight.get(name) ?? 0) === 0) callback()
    else this.#idleCallbacks.set(name, [...(this.#idleCallbacks.get(name) ?? []), callback])
  }

  #scheduleWrites(host: number): void {
    this.#network.schedule(this.#intervals[host] ?? WRITE_INTERVAL_MILLISECONDS, () => {
      this.#write(this.#hosts[host] ?? '', this.#primaryOf(host))
      this.#scheduleWrites(host)
    })
  }

  #write(host: string, target: BackendServerId | null): void {
    const primary = this.#servers.find(server => server.id === target)
    if (primary === undefined) return
    this.#lastWrite += 1
    const write = this.#lastWrite
    const closures = this.#closures.get(`${host} ${primary.id}`) ?? 0
    this.#inFlight.set(host, (this.#inFlight.get(host) ?? 0) + 1)
    this.#network.send(host, primary.id, () => {
      // Its answer, or the end of its connection.
      this.#network.send(primary.id, host, () => {
        this.#ended(host)
      })
      if (this.#network.isDead(primary.id)) return
      if (closures < primary.demotions) {
        this.cut.push(write)
        return
      }
      if (!primary.write(write)) return
      const { position } = primary.report()
      this.#confirm({ host, write, primary, position, ranAt: this.#network.clock.now() })
    })
  }

  #ended(host: string): void {
    const left = (this.#inFlight.get(host) ?? 0) - 1
    this.#inFlight.set(host, left)
    if (left > 0) return
    const callbacks = this.#idleCallbacks.get(host) ?? []
    this.#idleCallbacks.delete(host)
    for (const callback of callbacks) callback()
  }

  #closeConnections(server: FakeBackendServer): void {
    const { demotions } = server
    for (const host of this.#hosts) {
      this.#network.send(server.id, host, () => {
        this.#closures.set(`${host} ${server.id}`, demotions)
      })
    }
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
