export { Agent, type MachineFactory } from './agent.js'
