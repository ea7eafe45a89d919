#!/usr/bin/env node
/** The entry host's process. */
import { createLog } from '@nutmegcourse/observability'
import {
  LineBackendDialer,
  LineCallerLink,
  PromotionCalls,
  StoreCalls,
  readSettingsFile,
  serveReadiness,
  settingsPath,
} from '@nutmegcourse/platform'
import { SystemClock, SystemRandom } from '@nutmegcourse/shared'
import type { HostSettings, PromotionPort } from '@nutmegcourse/protocol'
import { DecisionLog } from './decisionLog.js'
import { EntryHost } from './entryHost.js'

const EXIT_BAD_SETTINGS = 2

/** Where the settings name no place for promotions, none is ordered. */
const NO_PROMOTION: PromotionPort = {
  promote: () => Promise.resolve({ kind: 'unavailable', detail: 'no address in the settings' }),
}

function run(settings: HostSettings, path: string): void {
  const { entryHost, zone } = settings
  const log = new DecisionLog(createLog({ process: 'host', entryHost, zone }, 'info'))
  const host = new EntryHost(
    settings,
    {
      dialer: new LineBackendDialer(),
      store: new StoreCalls(settings.store),
      promotion:
        settings.promotion === null ? NO_PROMOTION : new PromotionCalls(settings.promotion),
      callerLink: socket => new LineCallerLink(socket),
    },
    log,
    new SystemClock(),
    new SystemRandom(),
  )
  host.start()
  host.listen()
  serveReadiness(settings.readiness, () => host.isReady)
  log.write('started', { settings: path })
  process.on('SIGHUP', () => {
    // What could change while it runs comes from the store; the rest takes effect at the next start.
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

const path = settingsPath(process.env)
if (path === null) {
  console.error('no settings file is named')
  process.exit(EXIT_BAD_SETTINGS)
}
const settings = readSettingsFile(path)
if (settings.isOk()) run(settings.value, path)
else {
  for (const mistake of settings.error) console.error(mistake)
  process.exit(EXIT_BAD_SETTINGS)
}
