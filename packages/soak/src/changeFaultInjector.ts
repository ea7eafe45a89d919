/** Begins and ends the faults around a change of primary. */
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendCommand } from '@nutmegcourse/protocol'
import type { RandomSource } from '@nutmegcourse/shared'
import { Slots, type CommandFault } from '@nutmegcourse/stand-ins'
import { readMemberReference, type ChangeFault } from './changeFaults.js'
import { awaitClaimHolder } from './claimWatch.js'
import { STORE, type Fault, type PlannedFault } from './faultPlan.js'
import type { FaultTrace } from './faultTrace.js'
import { LateOrders } from './lateOrders.js'
import type { SoakFleet } from './soakFleet.js'

/** A claim lasts 4 s without renewal. */
const SHORTEST_FREEZE_MILLISECONDS = 4200
const LONGEST_FREEZE_MILLISECONDS = 7000
const KILLED_MILLISECONDS = 1500

/** The longest time from the store's return until a server's entry is back. */
const ENTRY_RETURN_MILLISECONDS = 1900

/** A server without room for any statement. */
const NO_SLOTS = new Slots(0, 0)

const AWAIT_REPLICATION_MILLISECONDS = 1000
const REPLICATION_POLL_MILLISECONDS = 3
const LEAVER_POLL_MILLISECONDS = 20
/** A leaving server that is not replaced as the primary for this long stays. */
const LEAVER_STAYS_MILLISECONDS = 20_000

type ApplyFault = (planned: PlannedFault) => Promise<void>

export class ChangeFaultInjector {
  readonly #fleet: SoakFleet
  readonly #random: RandomSource
  readonly #trace: FaultTrace
  readonly #apply: ApplyFault
  readonly #busyServers = new Set<string>()
  /** Servers that are down until the end of the fault that stopped them. */
  readonly #stopped = new Set<string>()
  /** Those of them that start again without their log. */
  readonly #withoutLog = new Set<string>()
  /** By service, the primary that was stopped to lose its log. */
  readonly #stoppedPrimaries = new Map<string, string>()
  readonly lateOrders: LateOrders

  /** `apply` begins and ends a fault of a host that was found to hold a claim. */
  constructor(fleet: SoakFleet, random: RandomSource, trace: FaultTrace, apply: ApplyFault) {
    this.#fleet = fleet
    this.#random = random
    this.#trace = trace
    this.#apply = apply
    this.lateOrders = new LateOrders(fleet, random, trace)
    fleet.onPromotionCall = (call, carryOut) => this.lateOrders.takePromotion(call, carryOut)
    const { hooks } = fleet.dialer
    const slotsOf = hooks.slotsOf
    hooks.slotsOf = server =>
      this.#busyServers.has(server) || fleet.stutters.isBusy(server) ? NO_SLOTS : slotsOf?.(server)
  }

  commandFaultOf(server: string, command: BackendCommand): CommandFault {
    return this.lateOrders.takeCommand(server, command)
  }

  /** Replaces a reference to a member by the id of the server that has this part now. */
  resolve(fault: Fault): Fault {
    if ('server' in fault) return { ...fault, server: this.#serverOf(fault.server) }
    if ('from' in fault) return { ...fault, from: this.#serverOf(fault.from) }
    return fault
  }

  #serverOf(text: string): string {
    const reference = readMemberReference(text)
    if (reference === null) return text
    const { service, member } = reference
    const servers = [...this.#fleet.group(service).servers.values()]
    const primary = servers.find(({ role }) => role === 'primary') ?? servers[0]
    const replicas = servers.filter(server => server !== primary)
    const place = { primary: null, 'replica-1': 0, 'replica-2': 1 }[member]
    const chosen = place === null ? primary : (replicas[place] ?? replicas[0])
    return (chosen ?? primary)?.id ?? text
  }

  async begin(fault: ChangeFault): Promise<void> {
    switch (fault.kind) {
      case 'promotionsLate':
        this.lateOrders.services.add(fault.service)
        return
      case 'ordersLate':
        this.lateOrders.servers.add(fault.server)
        return
      case 'serverBusy':
        this.#busyServers.add(fault.server)
        return
      case 'entryLapses':
        this.#fleet.lapseEntry(fault.server)
        return
      case 'entriesLapse':
        this.#cutStore(true)
        return
      case 'serverRestarts':
        await this.#stopServer(fault.server, fault.keepsLog || this.#isPrimary(fault.server))
        return
      case 'primaryLosesLog':
        this.#stoppedPrimaries.set(fault.service, this.#serverOf(`${fault.service}/primary`))
        await this.#stopServer(this.#serverOf(`${fault.service}/primary`), false)
        return
      case 'serverReplaced':
      case 'leaverEnds':
        this.#fleet.announceReplacement(fault.server)
        await delay(fault.successorAfterMilliseconds)
        await this.#fleet.startSuccessor(fault.server)
        return
      case 'replicaDelayed':
        return
      case 'holderFrozen':
      case 'holderKilled':
        await this.#meetHolder(fault)
    }
  }

  async end(fault: ChangeFault): Promise<void> {
    switch (fault.kind) {
      case 'promotionsLate':
        this.lateOrders.services.delete(fault.service)
        return
      case 'ordersLate':
        this.lateOrders.servers.delete(fault.server)
        return
      case 'serverBusy':
        this.#busyServers.delete(fault.server)
        return
      case 'entryLapses':
        this.#fleet.restoreEntry(fault.server)
        return
      case 'entriesLapse':
        await this.#endEntriesLapse()
        return
      case 'serverRestarts':
        this.#startServer(fault.server)
        return
      case 'primaryLosesLog':
        this.#startServer(this.#stoppedPrimaries.get(fault.service) ?? '')
        return
      case 'serverReplaced':
        this.#fleet.endReplacedServer(fault.server)
        return
      case 'leaverEnds':
        await this.#endLeaver(fault.server)
        return
      case 'replicaDelayed':
        this.#fleet.resetReplicationDelay(fault.server)
        return
      case 'holderFrozen':
      case 'holderKilled':
        return
    }
  }

  /**
   * Every acknowledged write stays on two servers: no order of steps could save a write whose last log is gone, nor a group
   * whose member is promoted after an order that was given before its log was lost.
   */
  async #stopServer(id: string, keepsLog: boolean): Promise<void> {
    const losesLog = !keepsLog && (await this.#mayLoseLog(id))
    this.#trace.write('server_stopped', { server: id, losesLog })
    if (losesLog) this.#withoutLog.add(id)
    this.#stopped.add(id)
    this.#fleet.stopServer(id, losesLog)
  }

  /** A server that runs, since an overlapping fault has ended, keeps what it has received. */
  #startServer(id: string): void {
    const isEmpty = this.#withoutLog.delete(id)
    if (this.#stopped.delete(id)) this.#fleet.startServer(id, isEmpty)
  }

  isStopped(id: string): boolean {
    return this.#stopped.has(id)
  }

  /** A primary, or a server that is about to lead, stays: only it may hold the last writes. */
  async #endLeaver(id: string): Promise<void> {
    const until = performance.now() + LEAVER_STAYS_MILLISECONDS
    const mustStay = (): boolean => this.#isPrimary(id) || this.lateOrders.isPromotionPending(id)
    while (mustStay() && performance.now() < until) await delay(LEAVER_POLL_MILLISECONDS)
    if (!mustStay()) this.#fleet.endLeaver(id)
  }

  #isPrimary(id: string): boolean {
    return this.#fleet.server(id).role === 'primary'
  }

  /** While writes are on their way to replicas, one server less may hold them. */
  async #mayLoseLog(id: string): Promise<boolean> {
    const until = performance.now() + AWAIT_REPLICATION_MILLISECONDS
    while (performance.now() < until) {
      if (this.lateOrders.isPromotionPending(id)) return false
      if (this.#fleet.isLogHeldBeside(id)) return true
      await delay(REPLICATION_POLL_MILLISECONDS)
    }
    return false
  }

  async #endEntriesLapse(): Promise<void> {
    const servers = this.#fleet.groups.flatMap(group => [...group.servers.keys()])
    for (const server of servers) this.#fleet.lapseEntry(server)
    this.#cutStore(false)
    await Promise.all(
      servers.map(async server => {
        await delay(ENTRY_RETURN_MILLISECONDS * this.#random.next())
        this.#fleet.restoreEntry(server)
      }),
    )
  }

  #cutStore(cut: boolean): void {
    for (const { plan } of this.#fleet.hosts) {
      this.#fleet.relay.cut({ from: [STORE], to: [plan.name], cut, oneWay: false })
    }
  }

  async #meetHolder({
    kind,
    service,
    afterMilliseconds,
  }: Extract<ChangeFault, { kind: 'holderFrozen' | 'holderKilled' }>): Promise<void> {
    const host = await awaitClaimHolder(this.#fleet.store, service)
    if (host === null) return
    await delay(afterMilliseconds)
    const span = LONGEST_FREEZE_MILLISECONDS - SHORTEST_FREEZE_MILLISECONDS
    const frozenMilliseconds = SHORTEST_FREEZE_MILLISECONDS + span * this.#random.next()
    const planned =
      kind === 'holderFrozen'
        ? { fault: { kind: 'hostFrozen', host } as const, durationMilliseconds: frozenMilliseconds }
        : {
            fault: { kind: 'hostKilled', host } as const,
            durationMilliseconds: KILLED_MILLISECONDS,
          }
    await this.#apply({ ...planned, startsAtMilliseconds: 0 })
  }
}
