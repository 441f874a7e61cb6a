// Package entry communicates with other entries. Its coordinator plans the
// attempts of a request, sends them to the homes of the targets, and merges the
// results into one answer or refusal. The package also keeps the entry's lease
// and replicates the directory of targets and the crash verdicts.
package entry
