/** Starts the network stand-in as a process. */
import { announceReady, endWithParent, readStandInSettings } from '../process/standInProcess.js'
import { Relay, relaySettingsSchema } from './relay.js'

endWithParent()
announceReady({ port: await new Relay(await readStandInSettings(relaySettingsSchema)).start() })
