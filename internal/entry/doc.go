// Package entry speaks to other entries. Its coordinator serves one request
// at a time per caller: it plans the attempts, sends them to the targets'
// homes, and merges what comes back into one answer or refusal.
package entry
