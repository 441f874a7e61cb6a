// Announcements of a stand-in target to entries.

package standin

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// Announce sends the target's announcement to the entry at an IP:port.
func (standin *Target) Announce(ctx context.Context, entry string) error {
	announcement := standin.Announcement()
	_, err := target.NewAnnouncer(standin.dial).Announce(ctx, entry, &announcement)
	return err
}

// Renew announces the target to the entry at regular intervals until ctx ends.
func (standin *Target) Renew(ctx context.Context, entry string) {
	ticker := time.NewTicker(standin.Announcement().TTL.Std() / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = standin.Announce(ctx, entry)
		}
	}
}
