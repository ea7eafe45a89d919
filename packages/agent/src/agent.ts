/** The agent of one entry host: creates its components and passes events between them. */
import type { Server } from 'node:net'
import {
  WatcherPlan,
  type FailoverEvent,
  type FailoverMachine,
  type Watcher,
} from '@nutmegcourse/coordination'
import type {
  AgentStatusResult,
  AgentUsageResult,
  ListedHost,
  Member,
  GossipItem,
  HeldWrites,
  ProxyReport,
} from '@nutmegcourse/protocol'
import type { AgentSettings } from '@nutmegcourse/settings'
import {
  SystemClock,
  SystemRandom,
  assertNever,
  databaseId,
  incarnation,
  type DatabaseId,
  type EntryHostId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import { HostListClient, StoreClient, listen } from '@nutmegcourse/transport'
import type { Log, Metrics } from '@nutmegcourse/observability'
import { restoreTargets } from './configurationStore.js'
import { DatabaseWatch } from './databaseWatch.js'
import { EventLog } from './eventLog.js'
import { FleetTask } from './fleetTask.js'
import { GroupRecordStore } from './groupRecordStore.js'
import { HostListPoll } from './hostListPoll.js'
import { KnownHosts } from './knownHosts.js'
import { MoveReporter } from './moveReporter.js'
import { ProxyServer } from './proxyServer.js'
import { describeStatus, describeUsage, type ReportSources } from './agentReport.js'
import { buildSnapshot } from './routingSnapshot.js'
import { Coalescer } from './coalescer.js'
import { StoreFollower } from './storeFollower.js'
import { toolHandlers } from './toolHandlers.js'
import { WatchManager } from './watchManager.js'
import { watchTiming, type WatchTiming } from './watchTiming.js'

/** Creates the failover state machine of one database. */
export type MachineFactory = (
  database: DatabaseId,
  self: Watcher,
  timing: WatchTiming,
) => FailoverMachine

/** Changes that arrive together, as when a zone fails, are handled in one plan and one snapshot. */
const PLAN_DELAY_MILLISECONDS = 50
const SNAPSHOT_DELAY_MILLISECONDS = 2
/** Time allowed for the announcement of this host's departure to reach its neighbours. */
const LEAVE_GRACE_MILLISECONDS = 200
/** Hosts per zone that watch the store for the others. With two, one may fail or stall without effect. */
const STORE_FOLLOWERS_PER_ZONE = 2
/** A host whose targets have not been confirmed for this long watches the store itself. */
const FOLLOW_UNCONFIRMED_AFTER_MILLISECONDS = 5000
const FOLLOW_CHECK_MILLISECONDS = 1000
/** In a larger fleet, a starting host waits to get the state from a neighbour before it reads the store. */
const LARGE_FLEET_HOSTS = 12
const PEER_STATE_WAIT_MILLISECONDS = 3000

export class Agent {
  readonly #settings: AgentSettings
  readonly #log: Log
  readonly #metrics: Metrics
  readonly #makeMachine: MachineFactory
  readonly #clock = new SystemClock()
  readonly #hosts = new KnownHosts()
  readonly #store: StoreClient
  readonly #hostList: HostListClient
  readonly #poll: HostListPoll
  readonly #follower: StoreFollower
  readonly #proxies: ProxyServer
  readonly #moveReporter: MoveReporter
  readonly #events: EventLog
  readonly #watchManager: WatchManager
  readonly #plan = new Coalescer(PLAN_DELAY_MILLISECONDS, () => {
    this.#planWatches()
  })
  readonly #publication = new Coalescer(SNAPSHOT_DELAY_MILLISECONDS, () => {
    this.#publish()
  })
  readonly #noteUnreadable = (method: string, detail: string): void => {
    this.#metrics.count('message.unreadable', { method })
    this.#log.warn('unreadable message', { method, detail })
  }
  #fleet: FleetTask | null = null
  #server: Server | null = null
  #followCheck: NodeJS.Timeout | undefined
  #sequence = 0
  #publishedHolderCount = 0
  #startedAt: Milliseconds = this.#clock.now()

  constructor(settings: AgentSettings, log: Log, metrics: Metrics, makeMachine: MachineFactory) {
    this.#settings = settings
    this.#log = log
    this.#metrics = metrics
    this.#makeMachine = makeMachine
    const { store, hostList, storeTimeoutMilliseconds } = settings
    this.#store = new StoreClient(store, storeTimeoutMilliseconds, (method, outcome) => {
      metrics.count('store.call', { method, outcome })
    })
    this.#hostList = new HostListClient(hostList, storeTimeoutMilliseconds)
    this.#poll = new HostListPoll({
      client: this.#hostList,
      zone: settings.zone,
      intervalMilliseconds: settings.hostListIntervalMilliseconds,
      onChange: hosts => {
        this.#hostListChanged(hosts)
      },
    })
    this.#follower = new StoreFollower(this.#store, this.#clock, {
      learned: item => {
        this.#fleet?.learn(item)
      },
      targetsRead: (document, revision, askedAt) => {
        this.#fleet?.handleConfiguration({ kind: 'storeAnswered', document, revision, askedAt })
      },
      valueUnreadable: key => {
        log.error('unreadable value in the store', { key })
      },
    })
    this.#proxies = new ProxyServer({
      reported: report => {
        this.#logProxyReport(report)
      },
      heldWritesChanged: database => {
        this.#moveReporter.check(database)
      },
      unreadable: this.#noteUnreadable,
    })
    this.#moveReporter = new MoveReporter({
      records: () => this.#groupRecords(),
      holdsWrites: held => this.#proxies.holdsWrites(held),
      send: (coordinator, held) => {
        this.#reportHeldWrites(coordinator, held)
      },
    })
    this.#events = new EventLog(settings.entryHost)
    this.#watchManager = new WatchManager({
      self: settings.entryHost,
      startWatch: (database, timing) => this.#startWatch(database, timing),
      timingFor: servers => watchTiming(settings, servers, this.#hosts.entryHosts.length),
      recordOf: database => this.#recordOf(database),
      onPartnersChange: partners => {
        this.#fleet?.setPartners(partners)
      },
    })
  }

  async start(): Promise<{ readonly listen: number; readonly proxyListen: number }> {
    const { listen: endpoint, proxyListen } = this.#settings
    const listening = await listen(endpoint.address, endpoint.port, socket => {
      this.#fleet?.network.accept(socket)
    })
    this.#server = listening.server
    const proxyPort = await this.#proxies.start(proxyListen.address, proxyListen.port)
    this.#fleet = this.#startFleet(listening.port)
    await this.#poll.start()
    this.#startedAt = this.#clock.now()
    this.#startFollowChecks()
    this.#publication.request()
    return { listen: listening.port, proxyListen: proxyPort }
  }

  async stop(): Promise<void> {
    clearInterval(this.#followCheck)
    this.#poll.close()
    this.#watchManager.close()
    this.#fleet?.leave()
    await new Promise(resolve => {
      setTimeout(resolve, LEAVE_GRACE_MILLISECONDS)
    })
    this.#plan.close()
    this.#publication.close()
    this.#follower.setFollowing(false)
    this.#fleet?.close()
    this.#proxies.close()
    this.#server?.close()
    this.#store.close()
    this.#hostList.close()
    this.#metrics.close()
  }

  /** Resource usage of this agent, for operators and benchmarks. */
  usage(): AgentUsageResult {
    return describeUsage(this.#reportSources)
  }

  status(): AgentStatusResult {
    return describeStatus(this.#reportSources, this.#clock.now())
  }

  get #reportSources(): ReportSources {
    return {
      settings: this.#settings,
      fleet: this.#fleet,
      watched: this.#watchManager.watched,
      groups: this.#groupRecords(),
      store: this.#store,
      hostList: this.#hostList,
      storeReachable: this.#follower.reachable,
      proxies: this.#proxies.subscribers,
      counters: this.#metrics.totals(),
    }
  }

  #startFleet(port: number): FleetTask {
    const {
      entryHost,
      zone,
      region,
      listen: endpoint,
      heartbeatIntervalMilliseconds,
    } = this.#settings
    const self: Member = {
      entryHost,
      zone,
      region,
      address: endpoint.address,
      port,
      // Hosts store nothing locally, so the start time serves as the incarnation. If the clock went back,
      // other hosts still gossip a higher incarnation of this host, which it refutes when it arrives.
      incarnation: incarnation(Date.now()),
      status: 'alive',
    }
    const fleet: FleetTask = new FleetTask({
      self,
      clock: this.#clock,
      random: new SystemRandom(),
      heartbeatIntervalMilliseconds,
      toolHandlers: toolHandlers({
        status: () => this.status(),
        usage: () => this.usage(),
        events: this.#events,
        fleet: () => fleet,
        clock: this.#clock,
        proxies: this.#proxies,
        entryHost: this.#settings.entryHost,
        unreadable: this.#noteUnreadable,
      }),
      listener: {
        itemChanged: item => {
          this.#itemChanged(item)
        },
        membershipChanged: (change, host) => {
          this.#metrics.count('membership.changed', { change })
          this.#log.info('membership changed', { change, host })
          this.#plan.request()
          this.#publishIfHoldersChanged()
        },
        confirmationChanged: confirmed => {
          if (!confirmed) this.#log.warn('targets can no longer be confirmed as the newest')
          this.#publication.request()
        },
        opinionReceived: opinion => {
          this.#watchManager.opinionReceived(opinion)
        },
        heldWritesReceived: held => {
          this.#watchManager.heldWritesReceived(held)
        },
        heldWritesLost: (coordinator, error) => {
          this.#metrics.count('move.report_lost', { why: error.kind })
          this.#log.warn('the coordinator of a planned move can not be told that writes are held', {
            coordinator,
            error: error.detail,
          })
        },
        unreadable: this.#noteUnreadable,
        repairTargets: (document, expectedRevision) => {
          this.#log.warn('the store holds older targets; restoring the newest', {
            version: document.version,
          })
          return restoreTargets(this.#store, document, expectedRevision)
        },
      },
    })
    fleet.start()
    return fleet
  }

  #hostListChanged(hosts: readonly ListedHost[]): void {
    this.#hosts.setList(hosts)
    this.#fleet?.handleMembership({ kind: 'hostList', hosts: this.#hosts.entryHosts })
    this.#plan.request()
    this.#publication.request()
  }

  #itemChanged(item: GossipItem): void {
    switch (item.kind) {
      case 'targets':
        this.#log.info('targets in force', { version: item.document.version })
        break
      case 'drains':
        this.#hosts.setDrains(item.drains)
        this.#plan.request()
        break
      case 'group':
        this.#watchManager.recordChanged(item.record, item.revision)
        this.#moveReporter.check(item.record.database)
        break
      case 'member':
        return
      default:
        assertNever(item)
    }
    this.#publication.request()
  }

  /**
   * Checks at once and then periodically whether this host must watch the store. A host that receives
   * the state from no other host must; if all of 1,500 hosts did, their long polls would use up the
   * store's reads.
   */
  #startFollowChecks(): void {
    const check = (): void => {
      this.#follower.setFollowing(this.#shouldFollow())
    }
    check()
    this.#followCheck = setInterval(check, FOLLOW_CHECK_MILLISECONDS)
  }

  #shouldFollow(): boolean {
    const fleet = this.#fleet
    if (fleet === null) return false
    const now = this.#clock.now()
    const isLarge = this.#hosts.entryHosts.length > LARGE_FLEET_HOSTS
    if (isLarge && now - this.#startedAt < PEER_STATE_WAIT_MILLISECONDS) return false
    const age = fleet.configuration.confirmationAge(now)
    if (age === null || age > FOLLOW_UNCONFIRMED_AFTER_MILLISECONDS) return true
    const { zone, region, entryHost } = this.#settings
    const inZone = fleet.membership.workers(now).filter(host => host.zone === zone)
    const plan = new WatcherPlan(inZone, STORE_FOLLOWERS_PER_ZONE)
    // Followers are placed by the same plan as watchers, under a database id that stands for the store.
    const followers = plan.watchersOf(databaseId('store'), [{ zone, region }])
    return followers.some(host => host.entryHost === entryHost)
  }

  #planWatches(): void {
    if (this.#fleet === null) return
    const now = this.#clock.now()
    this.#watchManager.setWriters(this.#fleet.membership.writers(now))
    const workers = this.#fleet.membership.workers(now)
    this.#watchManager.plan(workers, this.#hosts.byDatabase)
  }

  #startWatch(database: DatabaseId, timing: WatchTiming): DatabaseWatch {
    const { entryHost, zone, region, backendUser } = this.#settings
    const self = { entryHost, zone, region }
    return new DatabaseWatch({
      database,
      machine: this.#makeMachine(database, self, timing),
      records: new GroupRecordStore(this.#store),
      clock: this.#clock,
      backendUser,
      listener: {
        opinionFormed: opinion => {
          for (const partner of this.#watchManager.partnersOf(database)) {
            this.#fleet?.network.notify(partner, 'peer.opinion', opinion)
          }
        },
        recordAnnounced: (record, revision) => {
          this.#fleet?.learn({ kind: 'group', record, revision })
        },
        eventHappened: event => {
          this.#recordFailoverEvent(event)
        },
      },
    })
  }

  #recordFailoverEvent(event: FailoverEvent): void {
    this.#events.add(event)
    const { database, step, term, detail } = event
    this.#log.info('failover', { database, step, term, detail })
    if (step === 'completed') this.#metrics.count('failover.completed', { database })
    if (step === 'moveAbandoned') this.#metrics.count('move.abandoned', { database })
    if (step === 'moveUnconfirmed') this.#metrics.count('move.unconfirmed', { database })
    if (step === 'abandoned') this.#metrics.count('failover.abandoned', { database })
  }

  #recordOf(database: DatabaseId) {
    const item = this.#fleet?.gossip.get(`group/${database}`)
    return item?.kind === 'group' ? { record: item.record, revision: item.revision } : null
  }

  #groupRecords(): AgentStatusResult['groups'] {
    const items = [...(this.#fleet?.gossip.items() ?? [])]
    return items.flatMap(item => (item.kind === 'group' ? [item.record] : []))
  }

  /**
   * The number of connection holders is all that proxies need of the membership. Snapshots of a large
   * fleet are costly, so other membership changes publish none.
   */
  #publishIfHoldersChanged(): void {
    const holders = this.#fleet?.membership.connectionHolders() ?? 0
    if (holders === this.#publishedHolderCount) return
    this.#publication.request()
  }

  #reportHeldWrites(coordinator: EntryHostId, held: HeldWrites): void {
    const { entryHost } = this.#settings
    const report = { ...held, host: entryHost }
    this.#log.info('the proxies of this host hold their writes', { ...held })
    if (coordinator !== entryHost) {
      void this.#fleet?.reportHeldWrites(coordinator, report)
      return
    }
    // The watch may be announcing the move just now.
    setImmediate(() => {
      this.#watchManager.heldWritesReceived(report)
    })
  }

  #logProxyReport(report: ProxyReport): void {
    this.#log.debug('proxy report received', { ...report })
  }

  #publish(): void {
    if (this.#fleet === null) return
    this.#sequence += 1
    this.#publishedHolderCount = this.#fleet.membership.connectionHolders()
    this.#proxies.publish(
      buildSnapshot({
        sequence: this.#sequence,
        entryHost: this.#settings.entryHost,
        now: this.#clock.now(),
        configuration: this.#fleet.configuration,
        records: this.#groupRecords(),
        hosts: this.#hosts,
        entryHostCount: this.#publishedHolderCount,
      }),
    )
  }
}
