#!/usr/bin/env node
/** Entry point of the process of an entry host. */
import { parseArgs } from 'node:util'
import { createLog, openStandardOutput } from '@nutmegcourse/observability'
import {
  LineBackendDialer,
  LineCallerLink,
  HttpPromotionPort,
  HttpStoreLink,
  readSettingsFile,
  serveReadiness,
  settingsPath,
} from '@nutmegcourse/platform'
import { SystemClock, SystemRandom, isPort } from '@nutmegcourse/shared'
import type { HostAddress, HostSettings, PromotionPort } from '@nutmegcourse/protocol'
import { DecisionLog } from './decisionLog.js'
import { HostMetrics, serveMetrics } from './hostMetrics.js'
import { EntryHost } from './entryHost.js'

const EXIT_BAD_SETTINGS = 2
/** A configured port cannot be listened on, perhaps only for now: a supervisor may start the process again. */
const EXIT_NOT_LISTENING = 3

/** Used where the settings contain no address for promotions: every order fails as unavailable. */
const PROMOTION_UNAVAILABLE: PromotionPort = {
  promote: () =>
    Promise.resolve({ kind: 'unavailable', detail: 'no promotion address in the settings' }),
}

function run(settings: HostSettings, path: string): void {
  const { entryHost, zone } = settings
  const output = openStandardOutput()
  const metrics = new HostMetrics()
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())
  metrics.gauge('log_lines_dropped_total', () => output.dropped)
  const log = new DecisionLog(
    createLog({ process: 'host', entryHost, zone }, 'info', output),
    metrics,
  )
  const host = new EntryHost(
    settings,
    {
      dialer: new LineBackendDialer(),
      store: new HttpStoreLink(settings.store),
      promotion:
        settings.promotion === null
          ? PROMOTION_UNAVAILABLE
          : new HttpPromotionPort(settings.promotion),
      callerLink: socket => new LineCallerLink(socket),
    },
    log,
    metrics,
    new SystemClock(),
    new SystemRandom(),
  )
  metrics.gauge('sessions', () => host.sessions.size)
  metrics.gauge('servers_ejected', () => host.ejectedServers)
  const { knowledge } = host
  metrics.gauge('configuration_version', () => knowledge.version ?? 0)
  metrics.gauge('configuration_is_confirmed', () => Number(knowledge.isConfirmed))
  metrics.gauge('store_known_age_milliseconds', () => Math.round(knowledge.ageMilliseconds))
  metrics.gauge('follows_store_itself', () => Number(knowledge.sourceName === 'store'))
  const notListening = (what: string, isRequired: boolean) => (error: Error) => {
    log.write('not_listening', { what, detail: error.message })
    if (isRequired) process.exit(EXIT_NOT_LISTENING)
  }
  host.start()
  host.listen(notListening('callers', true))
  const metricsAddress = metricsListenAddress(settings)
  if (metricsAddress !== null) {
    serveMetrics(metricsAddress, metrics, () => host.slotStatus).on(
      'error',
      notListening('metrics', false),
    )
  }
  serveReadiness(settings.readiness, () => host.isReady).on(
    'error',
    notListening('readiness', true),
  )
  log.write('started', { settings: path })
  process.on('SIGHUP', () => {
    // The file is only validated: its settings take effect at the next start, and dynamic configuration comes from
    // the store.
    const read = readSettingsFile(path)
    log.write('reloaded', { mistakes: read.isErr() ? read.error : [] })
  })
  process.on('SIGTERM', () => {
    log.write('stopping', {})
    void host.stop().then(() => {
      log.write('stopped', {})
      process.exit(0)
    })
  })
}

/** `--metrics-port` takes precedence over the settings, whose port differs from day to day. */
function metricsListenAddress(settings: HostSettings): HostAddress | null {
  const { values } = parseArgs({ options: { 'metrics-port': { type: 'string' } } })
  const port = Number(values['metrics-port'])
  return isPort(port) ? { host: settings.callers.host, port } : settings.metrics
}

const path = settingsPath(process.env)
if (path === null) {
  console.error('no settings file given')
  process.exit(EXIT_BAD_SETTINGS)
}
const settings = readSettingsFile(path)
if (settings.isOk()) run(settings.value, path)
else {
  for (const mistake of settings.error) console.error(mistake)
  process.exit(EXIT_BAD_SETTINGS)
}
