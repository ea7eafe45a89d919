/** Makes one JSON-RPC call on its own connection, so that a broken connection affects only that call. */
import { openJsonRpc, type JsonRpcConnection, type TransportError } from '@nutmegcourse/transport'
import type { ResultAsync } from 'neverthrow'

export interface RpcEndpoint {
  readonly address: string
  readonly port: number
}

export function callOnce<Answer>(
  { address, port }: RpcEndpoint,
  method: string,
  params: unknown,
  timeoutMilliseconds: number,
): ResultAsync<Answer, TransportError> {
  const call = (connection: JsonRpcConnection): ResultAsync<Answer, TransportError> => {
    const close = (): void => {
      connection.close()
    }
    return connection
      .request<Answer>(method, params, timeoutMilliseconds)
      .andTee(close)
      .orTee(close)
  }
  return openJsonRpc(address, port, {}, timeoutMilliseconds).andThen(call)
}
