export { ProxyCore } from './proxyCore.js'
export * from './proxyMessages.js'
export { proxyOptions, type ProxyOptions, type ProxyPlace } from './proxyOptions.js'
export type { RoutingQuestion } from './explanation.js'
