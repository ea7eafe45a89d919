/** Errors of the proxy's links to its agent and to backend servers' logs, turned from the transport's. */
import type { TransportError } from '@nutmegcourse/transport'

export type LinkError =
  /** Nothing was asked: no connection stands. */
  | { readonly kind: 'notConnected'; readonly detail: string }
  /** Asked, without an answer. */
  | { readonly kind: 'unanswered'; readonly detail: string }
  /** The other side said no. */
  | { readonly kind: 'declined'; readonly detail: string }

export function toLinkError(error: TransportError): LinkError {
  switch (error.kind) {
    case 'connectRefused':
    case 'connectTimeout':
      return { kind: 'notConnected', detail: error.detail }
    case 'connectionLost':
    case 'answerTimeout':
      return { kind: 'unanswered', detail: error.detail }
    case 'remote':
      return { kind: 'declined', detail: error.detail }
  }
}
