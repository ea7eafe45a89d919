/** Implements the agent port over JSON-RPC. */
import type { ResultAsync } from 'neverthrow'
import type {
  AgentExplainResult,
  AgentExplainRoutingParams,
  AgentExplainRoutingResult,
  AgentGetTargetsResult,
  AgentStatusResult,
} from '@nutmegcourse/protocol'
import type { DatabaseId } from '@nutmegcourse/shared'
import type { AgentPort, AgentPortError } from './agentPort.js'
import { callOnce, type RpcEndpoint } from './callOnce.js'

export class AgentOverRpc implements AgentPort {
  readonly #endpoint: RpcEndpoint
  readonly #timeoutMilliseconds: number

  constructor(endpoint: RpcEndpoint, timeoutMilliseconds: number) {
    this.#endpoint = endpoint
    this.#timeoutMilliseconds = timeoutMilliseconds
  }

  getTargets(): ResultAsync<AgentGetTargetsResult, AgentPortError> {
    return this.#call('agent.getTargets', {})
  }

  status(): ResultAsync<AgentStatusResult, AgentPortError> {
    return this.#call('agent.status', {})
  }

  explain(database: DatabaseId): ResultAsync<AgentExplainResult, AgentPortError> {
    return this.#call('agent.explain', { database })
  }

  explainRouting(
    params: AgentExplainRoutingParams,
  ): ResultAsync<AgentExplainRoutingResult, AgentPortError> {
    return this.#call('agent.explainRouting', params)
  }

  #call<Answer>(method: string, params: unknown): ResultAsync<Answer, AgentPortError> {
    return callOnce<Answer>(this.#endpoint, method, params, this.#timeoutMilliseconds).mapErr(
      ({ detail }) => ({ detail }),
    )
  }
}
