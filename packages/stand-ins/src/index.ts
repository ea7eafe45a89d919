/** Stand-ins for the platform and the databases. Private: only tests, benchmarks and the soak use them. */
export * from './backendServer/backendServer.js'
export * from './backendServer/backendServerSettings.js'
export * from './hostList/hostListServer.js'
export * from './pick.js'
export * from './process/ports.js'
export * from './relay/relay.js'
export * from './store/storeServer.js'
export * from './hostPlatform/index.js'
