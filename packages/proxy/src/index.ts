export * from './decisionCore.js'
export * from './errorsPage.js'
export * from './proxyShell.js'
