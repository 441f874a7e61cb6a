// What one entry may use of what all share.

package httpcaller

import (
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// leastConnections is what each entry may open to a target, however many
	// entries there are: most use the targets of their own region alone.
	leastConnections = 2
)

// connectionLimit returns how many connections this entry may open to one target
// of a pool.
func (server *Server) connectionLimit(pool *operator.Pool) int {
	if pool == nil {
		return leastConnections
	}
	return max(leastConnections, pool.Connections/server.entries())
}
