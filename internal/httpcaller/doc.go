// Package httpcaller speaks to callers that name a host and a path: it forwards
// their requests whole to targets, one or one of each shard, and returns the
// answer.
package httpcaller
