/** Starts the store stand-in as a process. */
import { announceReady, endWithParent, readStandInSettings } from '../process/standInProcess.js'
import { StoreServer, storeSettingsSchema } from './storeServer.js'

endWithParent()
announceReady({
  port: await new StoreServer(await readStandInSettings(storeSettingsSchema)).start(),
})
