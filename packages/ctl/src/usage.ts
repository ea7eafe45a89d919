/** The help texts. */

export const GENERAL_USAGE = `Usage: nutmegcoursectl COMMAND [OPTIONS]

Commands:
  apply FILE        put the targets in FILE in force
  get               print the targets in force
  diff FILE         what FILE would change
  status            entry hosts, databases, targets in force, refusals
  explain WHAT NAME why work went where it went: class, session or database
  logs WHAT FILE... what entry hosts' logs tell of a request or a change of primary
  drain SERVER      give a backend server no new work

Options of every command:
  --settings FILE   where the store and an agent are (YAML; or NUTMEGCOURSECTL_SETTINGS)
  --json            one JSON value on standard output
  --help            this text, or a command's own

FILE may be - for standard input.

Exit status: 0 done; 1 diff found differences; 2 usage; 3 the document has mistakes;
4 another operator was first; 5 unreachable, nothing changed; 6 outcome unknown.
`

export const COMMAND_USAGE = {
  apply: `Usage: nutmegcoursectl apply FILE [--expect-version N] [--as NAME]

Checks FILE whole and puts it in force everywhere. Nothing is changed by a document with mistakes.

  --expect-version N  refuse unless version N is in force
  --as NAME           who changes it (default: the login name)

Examples:
  nutmegcoursectl apply targets.yaml
  nutmegcoursectl get | sed 's/0.8/0.9/' | nutmegcoursectl apply -
`,
  get: `Usage: nutmegcoursectl get [--json]

Example:
  nutmegcoursectl get > targets.yaml
`,
  diff: `Usage: nutmegcoursectl diff FILE [--json]

Example:
  nutmegcoursectl diff targets.yaml || echo "would change something"
`,
  status: `Usage: nutmegcoursectl status [--json]

Example:
  nutmegcoursectl status --json | jq .targetsVersion
`,
  explain: `Usage: nutmegcoursectl explain class|session|database NAME [--json]

For a database: its last change of primary, step by step.

Examples:
  nutmegcoursectl explain database sched-1
  nutmegcoursectl explain class gallery_browsing
`,
  logs: `Usage: nutmegcoursectl logs request ID FILE... [--json]
       nutmegcoursectl logs change SERVICE FILE... [--json]
       nutmegcoursectl logs summary FILE... [--json]

Reads the lines that entry hosts wrote (docs/LOGS.md), of any number of hosts, in any order. Needs no
settings. Times are the hosts' own, which may differ by some milliseconds.

Examples:
  cat host-*.log | nutmegcoursectl logs request 5c0e7a21d94b36f8 -
  nutmegcoursectl logs change quai-sched host-1.log host-2.log
`,
  drain: `Usage: nutmegcoursectl drain SERVER [--undo] [--json]

A draining primary is moved by plan. Work in flight is finished.

Examples:
  nutmegcoursectl drain sched-1-a
  nutmegcoursectl drain sched-1-a --undo
`,
} as const

export type CommandName = keyof typeof COMMAND_USAGE

export const isCommandName = (text: string): text is CommandName => text in COMMAND_USAGE
