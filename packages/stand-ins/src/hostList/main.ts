/** Starts the host list stand-in as a process. */
import { announceReady, endWithParent, readStandInSettings } from '../process/standInProcess.js'
import { HostListServer, hostListSettingsSchema } from './hostListServer.js'

endWithParent()
const server = new HostListServer(await readStandInSettings(hostListSettingsSchema))
announceReady({ ...(await server.start()) })
