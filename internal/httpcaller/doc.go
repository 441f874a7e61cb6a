// Package httpcaller serves callers that address a route by host and path. It
// forwards each request unchanged to one target, or to one target of each shard,
// and returns the response.
package httpcaller
