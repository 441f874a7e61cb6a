// Limits on message sizes and retained entries. Tests use smaller ones to reach the code that
// depends on them with little data.

package replica

const (
	// maximumAppendBytes bounds the commands in one message, unless a single one is larger.
	maximumAppendBytes = 512 << 10
	// maximumPartBytes bounds the part of a snapshot in one message.
	maximumPartBytes = 1 << 20
	// retainedEntryCount is how many of the entries that a snapshot covers stay in memory, for
	// replicas that lag slightly.
	retainedEntryCount = 1024
)

type (
	// sizes bound what a core sends and retains.
	sizes struct {
		appendBytes        int
		partBytes          int
		retainedEntryCount uint64
	}
)

func defaultSizes() sizes {
	return sizes{appendBytes: maximumAppendBytes, partBytes: maximumPartBytes, retainedEntryCount: retainedEntryCount}
}
