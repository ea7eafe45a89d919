export * from './jsonRpcConnection.js'
export * from './transportError.js'
export * from './controlConnection.js'
