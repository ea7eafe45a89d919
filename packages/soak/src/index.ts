/** The fault soak: real entry hosts under random faults, checked against their promises. Private. */
export * from './faultPlan.js'
export { PromiseJudge, type ReadRule } from './promiseJudge.js'
export * from './runSoak.js'
export type { OnTold, ToldStatement } from './soakCaller.js'
