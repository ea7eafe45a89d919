/**
 * Recognizes commands that end a transaction or are local to it. Transaction ends are read only to answer
 * locally after a transaction was lost with its connection, never to route a statement.
 */

export type TransactionEnd = 'commit' | 'rollback'

const LEADING_COMMENTS = /^(?:\s+|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/)*/
const COMMIT = /^(?:commit|end)\b(?!\s+prepared)/i
const ROLLBACK = /^(?:rollback|abort)\b(?!\s+(?:prepared|(?:work\s+|transaction\s+)?to)\b)/i

export function readTransactionEnd(text: string): TransactionEnd | null {
  const statement = text.replace(LEADING_COMMENTS, '')
  if (COMMIT.test(statement)) return 'commit'
  return ROLLBACK.test(statement) ? 'rollback' : null
}

const LOCAL_SETTING = /^set\s+(?:local|transaction|constraints)\b/i

/** Whether the effect of a statement with the command tag SET is limited to its transaction. */
export const isLocalSetting = (text: string): boolean =>
  LOCAL_SETTING.test(text.replace(LEADING_COMMENTS, ''))
