/** Starts a backend server stand-in as a process. */
import { announceReady, endWithParent, readStandInSettings } from '../process/standInProcess.js'
import { BackendServer } from './backendServer.js'
import { backendServerSettingsSchema } from './backendServerSettings.js'

endWithParent()
const server = new BackendServer(await readStandInSettings(backendServerSettingsSchema))
announceReady({ port: await server.start() })
