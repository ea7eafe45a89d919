/** Executes one parsed command. */
import type { CtlSettings } from '@nutmegcourse/settings'
import { drainBackendServer } from './commands/drainCommand.js'
import { explain } from './commands/explainCommand.js'
import { showStatus } from './commands/statusCommand.js'
import { applyTargets, diffTargets, getTargets } from './commands/targetsCommands.js'
import type { AgentPort } from './agentPort.js'
import { AgentOverRpc } from './agentOverRpc.js'
import { succeed, type CommandResult } from './exitCode.js'
import type { Command } from './parseCommand.js'
import { StoreOverRpc } from './storeOverRpc.js'

export interface CommandContext {
  readonly settings: CtlSettings
  /** The text of the FILE operand; empty for commands without one. */
  readonly document: string
  readonly json: boolean
  readonly operator: string
  readonly changeId: string
}

/** Commands that need settings. Except for `help`, they ask the store or an agent. */
export type FleetCommand = Exclude<Command, { kind: 'logs' | 'slots' }>

export async function runCommand(
  command: FleetCommand,
  context: CommandContext,
): Promise<CommandResult> {
  const { settings, document, json, changeId } = context
  const store = new StoreOverRpc(settings.store, settings.timeoutMilliseconds)
  const agent = new AgentOverRpc(settings.agent, settings.timeoutMilliseconds)
  switch (command.kind) {
    case 'help':
      return succeed(command.text)
    case 'apply':
      return applyTargets(store, {
        text: document,
        file: command.file,
        changedBy: command.changedBy ?? context.operator,
        changeId,
        expectVersion: command.expectVersion,
        fleetVersion: await newestVersionOf(agent),
        json,
      })
    case 'get':
      return getTargets(store, json)
    case 'diff':
      return diffTargets(store, { text: document, file: command.file, json })
    case 'drain':
      return drainBackendServer(store, {
        backendServer: command.backendServer,
        undo: command.undo,
        json,
      })
    case 'status':
      return showStatus(agent, json)
    case 'explain':
      return explain(agent, { subject: command.subject, name: command.name, json })
  }
}

/**
 * Returns 0 if the agent does not answer. The store's version alone then determines the next one; a store
 * that holds older targets than the fleet is repaired by the fleet.
 */
async function newestVersionOf(agent: AgentPort): Promise<number> {
  const known = await agent.getTargets()
  return known.map(({ targets }) => targets?.version ?? 0).unwrapOr(0)
}
