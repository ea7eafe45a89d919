/**
 * Tracks the running entry hosts: which of them hold connections to which service, and the connections to them.
 *
 * @internal
 */
import {
  followersBefore,
  limitHoldersFrom,
  otherFollowers,
  ownersForCustomer,
  ownersFrom,
  planFollowers,
  planLimitHolders,
  substitutesBefore,
  type HostRecord,
} from '@nutmegcourse/coordination'
import {
  addMilliseconds,
  milliseconds,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import { connectionHolders } from '@nutmegcourse/state'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import { Backoffs } from './backoffs.js'
import { DispatcherDirectory } from './dispatcherDirectory.js'
import { countByRegion, planAround, planHolders, type ObservedPlan } from './ownerPlanning.js'
import type { RelayPeer } from './relayPeer.js'
import { RelayPeers } from './relayPeers.js'
import type { OwnerDirectory } from './relayingRunner.js'
import { regionOf } from './serviceRegions.js'
import type { ServiceState } from './serviceState.js'
import type { ChangeFeedSources } from './changeFeedReader.js'

/** Hosts register again within a second of learning that the store was restored; learning it takes some more time. */
const RE_REGISTRATION_MILLISECONDS = 8000

/** Hosts that are tried when this one does not reach a primary, and the pause before they are tried again. */
const MAX_INDIRECT_PEERS = 6
const INDIRECT_PAUSE_MILLISECONDS = 150

export class HostFleet implements OwnerDirectory, ChangeFeedSources {
  readonly #context: HostContext
  readonly #hosts = new Map<string, HostRecord>()
  readonly #peers: RelayPeers
  /** By service: the hosts that vote on its primary: the owners, and others where they are few. */
  readonly #observers = new Map<string, readonly string[]>()
  /** By service: the hosts to which this one forwards statements, in order of preference. */
  readonly #hostOrder = new Map<string, readonly string[]>()
  /** By service: its owners. By service and customer: the order in which the owners are tried. */
  readonly #ownerPlans = new Map<string, ObservedPlan>()
  readonly #customerOrder = new Map<string, readonly string[]>()
  /** By customer: the hosts that hold parts of its limit, in the order in which this host asks them. */
  readonly #limitHolders = new Map<CustomerName, readonly string[]>()
  /** By service: the plan that was last logged. */
  readonly #loggedOwners = new Map<string, string>()
  /** Hosts whose records are missing from a restored store. */
  readonly #missingHosts = new Set<string>()
  #reRegistrationDeadline = milliseconds(0)
  /** Services whose primary this host recently tried to reach through other hosts. */
  readonly #indirectPauses: Backoffs<string>
  readonly #dispatchers: DispatcherDirectory
  /** The hosts through which this one follows the store, in order of preference. */
  #changeFeedHosts: readonly string[] = []
  /** The other hosts that follow the store; null until they are asked for. */
  #otherFollowers: readonly string[] | null = null
  /** Whether the plans reflect the known hosts and services. */
  #isPlanned = false

  constructor(context: HostContext) {
    this.#context = context
    this.#peers = new RelayPeers(context, this.#hosts)
    this.#indirectPauses = new Backoffs(context.clock)
    this.#dispatchers = new DispatcherDirectory(context, host => this.#peers.isUp(host))
  }

  observersOf(service: string): readonly string[] {
    return this.#observers.get(service) ?? []
  }

  /** The other hosts that use the service's servers and can be reached. */
  observingPeers(service: string): readonly RelayPeer[] {
    return this.#peers.up(this.observersOf(service)).slice(0, MAX_INDIRECT_PEERS)
  }

  /** Applies a host's registration, or its removal with null. */
  receiveHostRecord(host: string, record: HostRecord | null): void {
    this.#isPlanned = false
    this.#missingHosts.delete(host)
    if (record === null) {
      this.#hosts.delete(host)
      return
    }
    this.#hosts.set(host, record)
    this.#peers.hostRegistered(host, record)
  }

  /** Applies a complete list: hosts that it does not name are gone. */
  keepOnly(isListed: (host: string) => boolean): void {
    for (const host of this.#hosts.keys()) if (!isListed(host)) this.receiveHostRecord(host, null)
  }

  /** Applies the list of a restored store: hosts that it does not name have some time to register again. */
  awaitReRegistration(isListed: (host: string) => boolean, now: Milliseconds): void {
    this.#reRegistrationDeadline = addMilliseconds(now, RE_REGISTRATION_MILLISECONDS)
    this.#missingHosts.clear()
    for (const host of this.#hosts.keys()) if (!isListed(host)) this.#missingHosts.add(host)
  }

  /** Removes hosts that did not register again; true if there were any. */
  #dropMissingHosts(now: Milliseconds): boolean {
    if (this.#missingHosts.size === 0 || now < this.#reRegistrationDeadline) return false
    for (const host of this.#missingHosts) this.receiveHostRecord(host, null)
    this.#missingHosts.clear()
    return true
  }

  /** The set of services or their configuration has changed. */
  servicesChanged(): void {
    this.#isPlanned = false
  }

  /** The set of a service's servers has changed; dispatchers are planned for the regions that have some. */
  serversChanged(): void {
    if (this.#context.settings.schedulesSlots) this.#isPlanned = false
  }

  /**
   * Plans which hosts hold connections to which service, if the known hosts or the services have changed. Runs once
   * for all changes of a response, because a plan computes a hash for each pair of a host and a service.
   */
  plan(services: Iterable<ServiceState>): void {
    if (this.#isPlanned) return
    this.#isPlanned = true
    const { entryHost, zone } = this.#context.settings
    this.#customerOrder.clear()
    this.#limitHolders.clear()
    this.#otherFollowers = null
    this.#changeFeedHosts = followersBefore(planFollowers(zone, this.#hosts), entryHost)
    for (const service of services) this.#planService(service)
  }

  #planService(service: ServiceState): void {
    const { entryHost, zone, region, schedulesSlots } = this.#context.settings
    const dispatchers = schedulesSlots ? this.#dispatchers.plan(service, this.#hosts) : []
    const isDispatched = dispatchers.length > 0
    const plan = isDispatched
      ? planAround(dispatchers, service.name, this.#hosts)
      : planHolders(service.name, this.#hosts, this.#holdersOf(service))
    const { owners, observers } = plan
    const place = { zone, region, relay: null, weight: 1 }
    this.#ownerPlans.set(service.name, plan)
    this.#observers.set(service.name, observers)
    this.#hostOrder.set(
      service.name,
      isDispatched ? substitutesBefore(plan, entryHost, place) : ownersFrom(plan, entryHost, place),
    )
    service.isOwned = owners.includes(entryHost) || this.#connectsUnlisted(isDispatched)
    service.dispatchedPart = isDispatched
      ? serverRegion => this.#dispatchers.partOf(service, serverRegion)
      : null
    const holders = isDispatched ? owners.length : this.#holdersOf(service)
    service.holderCount = service.isOwned ? holders : Math.max(holders, this.#substituteCount)
    service.holderCountByRegion = countByRegion(plan)
    service.isObserver = service.isOwned || observers.includes(entryHost)
    // Only then the answers of each server come in at few hosts, and in numbers that tell one from the others.
    const { connectionLimit } = service.configuration
    service.outliers.isCalledFor =
      Number.isFinite(connectionLimit) && connectionLimit < this.#hosts.size
    this.#logOwners(service, owners)
  }

  /** Number of hosts that hold connections to a service where all holders use its servers alike. */
  #holdersOf({ configuration }: ServiceState): number {
    const { requiresKeys } = this.#context.settings
    return connectionHolders(configuration.connectionLimit, this.#hosts.size, requiresKeys)
  }

  /**
   * Whether this host connects to the servers itself because it is not listed yet: it knows too little of the other
   * hosts, except where it knows a dispatcher.
   */
  #connectsUnlisted(isDispatched: boolean): boolean {
    return !isDispatched && !this.#hosts.has(this.#context.settings.entryHost)
  }

  /**
   * Number of hosts that may replace an owner at the same time: one in each availability zone. When each acted as the
   * only holder, three hosts opened 5 of 12 connections each, and other zones and the returning owner got none until
   * those had been idle for seconds.
   */
  get #substituteCount(): number {
    return new Set([...this.#hosts.values()].map(({ zone }) => zone)).size
  }

  #logOwners({ name, isOwned }: ServiceState, owners: readonly string[]): void {
    const plan = `${[...owners].sort().join(' ')} ${String(isOwned)}`
    if (this.#loggedOwners.get(name) === plan) return
    this.#loggedOwners.set(name, plan)
    const { log } = this.#context
    log.write('owners_planned', { service: name, hosts: this.#hosts.size, owners, isOwned })
  }

  changeFeedSources(): readonly RelayPeer[] {
    return this.#changeFeedHosts.flatMap(host => this.peer(host) ?? []).filter(peer => peer.isUp)
  }

  otherSources(): readonly RelayPeer[] {
    const order = this.#otherFollowers ?? otherFollowers(this.#context.settings, this.#hosts)
    this.#otherFollowers = order
    return this.#peers.up(order)
  }

  peersFor(
    service: ServiceState,
    customer: CustomerName | null,
    atPrimary: boolean,
  ): RelayPeer[] | null {
    if (service.dispatchedPart !== null) return this.#dispatchersFor(service, atPrimary)
    const now = this.#context.clock.now()
    const runsHere = service.isOwned && (!atPrimary || service.reachesPrimary(now))
    const order = this.#hostOrderFor(service, customer)
    if (runsHere) return this.#ownersBefore(order)
    const peers = this.#peers.up(order)
    if (service.isOwned) return this.#indirectPeers(service, peers, now)
    if (peers.length > 0) return peers
    service.standIn(now)
    return null
  }

  /** The dispatchers that come before this host, or substitutes in its zone when it reaches none of them. */
  #dispatchersFor(service: ServiceState, atPrimary: boolean): RelayPeer[] | null {
    const now = this.#context.clock.now()
    const order = this.#dispatchers.order(service, atPrimary)
    if (service.isOwned) {
      if (!atPrimary || service.reachesPrimary(now)) return this.#ownersBefore(order)
      return this.#indirectPeers(service, this.#peers.up(order), now)
    }
    const dispatchers = this.#peers.up(order)
    if (dispatchers.length > 0) return dispatchers
    const substitutes = this.#peers.up(this.#hostOrder.get(service.name) ?? [])
    if (substitutes.length > 0) return substitutes
    service.standIn(now)
    return null
  }

  /** The host through which this one sends statements to the server; null if none is planned. */
  dispatcherOf(service: ServiceState, server: BackendServerState): string | null {
    const region = regionOf(server, this.#context.settings)
    return region === null ? null : this.#dispatchers.dispatcherOf(service, region)
  }

  /** The hosts to try, in order; includes this host if it owns connections of the customer. */
  #hostOrderFor({ name }: ServiceState, customer: CustomerName | null): readonly string[] {
    const order = this.#hostOrder.get(name) ?? []
    const plan = this.#ownerPlans.get(name)
    if (customer === null || plan === undefined) return order
    const subject = `${name} ${customer}`
    const known = this.#customerOrder.get(subject)
    if (known !== undefined) return known
    const owners = ownersForCustomer(plan, name, customer, this.#context.settings)
    const others = order.filter(host => !owners.includes(host))
    const combined = [...owners, ...others]
    this.#customerOrder.set(subject, combined)
    return combined
  }

  /** Owners that precede this host, which is one of them; null when there are none. */
  #ownersBefore(order: readonly string[]): RelayPeer[] | null {
    const own = order.indexOf(this.#context.settings.entryHost)
    const peers = this.#peers.up(order.slice(0, Math.max(0, own)))
    return peers.length === 0 ? null : peers
  }

  limitHolders(customer: CustomerName): readonly string[] {
    const known = this.#limitHolders.get(customer)
    if (known !== undefined) return known
    const { settings } = this.#context
    const planned = planLimitHolders(customer, this.#hosts)
    const holders = limitHoldersFrom(planned, this.#hosts, settings.entryHost, settings)
    this.#limitHolders.set(customer, holders)
    return holders
  }

  /**
   * Other hosts to try when this one does not reach the primary. If none of them reaches it either, no host is tried
   * for a short pause: the primary is probably gone, and each statement would be delayed by the attempts.
   */
  #indirectPeers(
    service: ServiceState,
    peers: readonly RelayPeer[],
    now: Milliseconds,
  ): RelayPeer[] | null {
    const isPaused = this.#indirectPauses.remainingMilliseconds(service.name) > 0
    const hasHelped = now - service.lastRelayedAnswerAt < INDIRECT_PAUSE_MILLISECONDS
    if (peers.length === 0 || (isPaused && !hasHelped)) return null
    this.#indirectPauses.begin(service.name, INDIRECT_PAUSE_MILLISECONDS)
    return peers.slice(0, MAX_INDIRECT_PEERS)
  }

  /** Whether other hosts still run statements for this one. */
  get hasPendingWork(): boolean {
    return this.#peers.hasPendingWork
  }

  /** True when hosts were removed because of elapsed time, so that a new plan is needed. */
  tick(now: Milliseconds): boolean {
    this.#peers.tick(now)
    return this.#dropMissingHosts(now)
  }

  close(): void {
    this.#peers.close()
  }

  /** The connection to another host; null for one that is unknown or runs no statements for others. */
  peer(host: string): RelayPeer | null {
    return this.#peers.peer(host)
  }
}
