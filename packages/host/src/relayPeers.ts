/**
 * The connections to other entry hosts.
 *
 * @internal
 */
import type { HostRecord } from '@nutmegcourse/coordination'
import type { HostAddress } from '@nutmegcourse/protocol'
import { isPort, type Milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import { RelayPeer } from './relayPeer.js'

export class RelayPeers {
  readonly #context: HostContext
  readonly #hosts: ReadonlyMap<string, HostRecord>
  readonly #peers = new Map<string, RelayPeer>()

  /** `hosts`: the hosts that are known to run; it changes with them. */
  constructor(context: HostContext, hosts: ReadonlyMap<string, HostRecord>) {
    this.#context = context
    this.#hosts = hosts
  }

  /** The connection to another host; null for one that is unknown or runs no statements for others. */
  peer(host: string): RelayPeer | null {
    const known = this.#peers.get(host)
    if (known !== undefined) return known
    const record = this.#hosts.get(host)
    const address = record === undefined ? null : relayAddress(record)
    if (address === null) return null
    const peer = new RelayPeer(this.#context, host, address)
    this.#peers.set(host, peer)
    return peer
  }

  isUp(host: string): boolean {
    return this.peer(host)?.isUp === true
  }

  /** The other hosts of the list to which statements can be sent, in its order. */
  up(order: readonly string[]): RelayPeer[] {
    const { entryHost } = this.#context.settings
    return order
      .filter(host => host !== entryHost)
      .flatMap(host => this.peer(host) ?? [])
      .filter(peer => peer.isUp)
  }

  /**
   * A host registered with this record. The connection to it stays open unless its address changed: a host that stops or
   * whose lease expired still runs the statements sent to it, and a dead one is detected by its silence. Closing the
   * connection made the outcome of every write that ran there unknown.
   */
  hostRegistered(host: string, record: HostRecord): void {
    const address = relayAddress(record)
    if (address !== null && this.#peers.get(host)?.isAt(address) === false) this.#drop(host)
  }

  /** Whether other hosts still run statements for this one. */
  get hasPendingWork(): boolean {
    return [...this.#peers.values()].some(peer => peer.hasPendingCalls)
  }

  tick(now: Milliseconds): void {
    for (const [host, peer] of this.#peers) {
      const isGone = !this.#hosts.has(host) && peer.isLost && !peer.hasPendingCalls
      if (isGone) this.#drop(host)
      else peer.tick(now)
    }
  }

  close(): void {
    for (const peer of this.#peers.values()) peer.close()
  }

  #drop(host: string): void {
    this.#peers.get(host)?.close()
    this.#peers.delete(host)
  }
}

/** The address at which a host runs statements for others; null when it does not. */
function relayAddress({ relay }: HostRecord): HostAddress | null {
  const [host = '', port = ''] = relay?.split(':') ?? []
  return host !== '' && isPort(Number(port)) ? { host, port: Number(port) } : null
}
