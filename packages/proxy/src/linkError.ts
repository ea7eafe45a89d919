/** Errors of the agent link and of position queries, converted from transport errors. */
import type { TransportError } from '@nutmegcourse/transport'

export type LinkError =
  /** No request was sent, since there is no connection, or none that carries it. */
  | { readonly kind: 'notConnected'; readonly detail: string }
  /** A request was sent, but no answer arrived. */
  | { readonly kind: 'unanswered'; readonly detail: string }
  /** The other side answered with an error. */
  | { readonly kind: 'declined'; readonly detail: string }

export function toLinkError(error: TransportError): LinkError {
  switch (error.kind) {
    case 'connectRefused':
    case 'connectTimeout':
    case 'tooLong':
      return { kind: 'notConnected', detail: error.detail }
    case 'connectionLost':
    case 'answerTimeout':
      return { kind: 'unanswered', detail: error.detail }
    case 'remote':
      return { kind: 'declined', detail: error.detail }
  }
}
