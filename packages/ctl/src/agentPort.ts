/** The calls of the agent that commands use. */
import type { ResultAsync } from 'neverthrow'
import type {
  AgentExplainResult,
  AgentExplainRoutingParams,
  AgentExplainRoutingResult,
  AgentGetTargetsResult,
  AgentStatusResult,
} from '@nutmegcourse/protocol'
import type { DatabaseId } from '@nutmegcourse/shared'

/** One kind of failure is enough: the calls only read, so nothing can have changed. */
export interface AgentPortError {
  readonly detail: string
}

export interface AgentPort {
  getTargets(): ResultAsync<AgentGetTargetsResult, AgentPortError>
  status(): ResultAsync<AgentStatusResult, AgentPortError>
  explain(database: DatabaseId): ResultAsync<AgentExplainResult, AgentPortError>
  explainRouting(
    params: AgentExplainRoutingParams,
  ): ResultAsync<AgentExplainRoutingResult, AgentPortError>
}
