// Package verb holds the commands of the command line, one file a verb, and
// the table that finds them.
package verb
