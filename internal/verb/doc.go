// Package verb implements the subcommands (verbs) of the comfreythread command
// line, one file per verb, and builds the command line from the list of them.
package verb
