// Package entry communicates with other entries. An entry is a node of the query
// tier: it coordinates requests of callers, and it is the home of some targets, to
// which it alone sends runs. The coordinator plans the attempts of a request, sends
// them to the homes of the targets, and merges the results into one answer or
// refusal. The package also keeps the entry's lease and replicates the directory of
// targets and the crash verdicts.
package entry
