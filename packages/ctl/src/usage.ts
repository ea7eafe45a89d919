/** The help texts of nutmegcoursectl. */

export const GENERAL_USAGE = `Usage: nutmegcoursectl COMMAND [OPTIONS]

Commands:
  apply FILE        apply the targets in FILE to the whole fleet
  get               print the targets in force
  diff FILE         print what applying FILE would change
  status            print entry hosts, databases, targets in force, refusals
  explain WHAT NAME explain routing (class, session) or the last change of primary (database)
  logs WHAT FILE... search or summarize the logs of entry hosts
  slots HOST:PORT   print queues of backend servers and shares of customers
  drain SERVER      stop assigning new work to a backend server

Options of every command:
  --settings FILE   addresses of the store and an agent (YAML; default: NUTMEGCOURSECTL_SETTINGS)
  --json            print one JSON value to standard output
  --help            print this text, or the help of a command

If FILE is -, standard input is read.

Exit status: 0 success; 1 diff found differences; 2 usage error; 3 invalid document;
4 conflict with another change; 5 unreachable, nothing changed; 6 outcome unknown.
`

export const COMMAND_USAGE = {
  apply: `Usage: nutmegcoursectl apply FILE [--expect-version N] [--as NAME]

Validates FILE and applies it to the whole fleet. An invalid document changes nothing.

  --expect-version N  refuse unless version N is in force
  --as NAME           name recorded as the author of the change (default: the login name)

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

For a database, prints the steps of its last change of primary.

Examples:
  nutmegcoursectl explain database sched-1
  nutmegcoursectl explain class gallery_browsing
`,
  logs: `Usage: nutmegcoursectl logs request ID FILE... [--json]
       nutmegcoursectl logs change SERVICE FILE... [--json]
       nutmegcoursectl logs token N FILE... [--json]
       nutmegcoursectl logs summary FILE... [--json]

Reads log lines of any number of entry hosts, in any order (format: docs/LOGS.md). Needs no settings.
change prints all changes of primary of SERVICE. token prints the one with fencing token N, with what happened to
the service and to the hosts that took part from 10 s before it to 15 s after it.
Times are from the clocks of the hosts, which may differ by some milliseconds.

Examples:
  cat host-*.log | nutmegcoursectl logs request 5c0e7a21d94b36f8 -
  nutmegcoursectl logs change quai-sched host-1.log host-2.log
  cat host-*.log | nutmegcoursectl logs token 4711 -
`,
  slots: `Usage: nutmegcoursectl slots HOST:PORT [--json]

Asks the metrics address of an entry host. Needs no settings. Prints the queue of each backend server by
class, and the ten customers with the most slot time. A server's queue stands at its dispatcher: ask that host.

Example:
  nutmegcoursectl slots 10.0.3.7:9464
`,
  drain: `Usage: nutmegcoursectl drain SERVER [--undo] [--json]

A draining primary is replaced by a planned change of primary. Work in progress is completed.

Examples:
  nutmegcoursectl drain sched-1-a
  nutmegcoursectl drain sched-1-a --undo
`,
} as const

export type CommandName = keyof typeof COMMAND_USAGE

export const isCommandName = (text: string): text is CommandName => text in COMMAND_USAGE
