// Tables arrive with leases: whole, as an update from the version in force, or announced by their version only. Those that are
// announced are fetched apart, so that leases stay small and are renewed in time.

package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// fetchRetryDelay is the pause after all replicas have failed to send the missing parts.
	fetchRetryDelay = 500 * time.Millisecond
)

// applyTables puts the tables of a lease in force, or requests them if the lease doesn't carry them. The renewal was sent at
// sentAt.
func (leaseholder *Leaseholder) applyTables(lease *control.Lease, sentAt time.Time) {
	tables, version := leaseholder.board.InForce().Tables()
	switch {
	case lease.Tables != nil:
		leaseholder.putInForce(lease.TablesVersion, lease.Tables, sentAt, 0)
	case lease.Update != nil:
		leaseholder.applyUpdate(lease, tables, version, sentAt)
	case version < lease.TablesVersion:
		select {
		case leaseholder.fetch <- struct{}{}:
		default:
		}
	}
}

func (leaseholder *Leaseholder) applyUpdate(lease *control.Lease, tables *operator.Tables, version uint64, sentAt time.Time) {
	update, err := control.DecodeTablesUpdate(lease.Update)
	if err == nil && update.Base != 0 && update.Base != version {
		// A transfer has ended since the renewal was sent. The next lease brings the update from its version.
		leaseholder.Wake()
		return
	}
	if err == nil {
		tables, err = update.Apply(tables, version)
	}
	if err != nil {
		leaseholder.logger.Warn("tables not updated", zap.Uint64("version", lease.TablesVersion), zap.Uint64("in_force", version), zap.Error(err))
		return
	}
	leaseholder.putInForce(lease.TablesVersion, tables, sentAt, len(lease.Update))
}

// putInForce puts tables in force that were requested at startedAt and came as an update of the given size, or whole if it
// is 0.
func (leaseholder *Leaseholder) putInForce(version uint64, tables *operator.Tables, startedAt time.Time, updateBytes int) {
	inForce := leaseholder.board.InForce()
	inForce.Replace(version, tables)
	tables, version = inForce.Tables()
	inForce.SetOut(tables.IsOut(leaseholder.member.FailureDomain))
	leaseholder.metrics.TablesVersion().Set(float64(version))
	leaseholder.logger.Info("tables in force", zap.Uint64("version", version), zap.Uint64("newest", inForce.Newest()),
		zap.Int("update_bytes", updateBytes), zap.Duration("elapsed", time.Since(startedAt)))
	// The new tables may take this entry's failure domain out of service or return it
	// to service. Control must learn at once that the desired member changes.
	leaseholder.Wake()
}

// fetchTables fetches the newest tables whenever that is requested, until ctx ends.
func (leaseholder *Leaseholder) fetchTables(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-leaseholder.fetch:
			leaseholder.fetchNewest(ctx)
		}
	}
}

// fetchNewest fetches the newest tables and puts them in force. Versions that control makes meanwhile don't end the transfer:
// they are small steps from the version that is being fetched.
func (leaseholder *Leaseholder) fetchNewest(ctx context.Context) {
	inForce := leaseholder.board.InForce()
	base, baseVersion := inForce.Tables()
	transfer, startedAt := control.NewTablesTransfer(baseVersion, inForce.Newest()), time.Now()
	if transfer.Version() <= baseVersion {
		return
	}
	for !transfer.Complete() {
		err := leaseholder.renewer.ContinueTransfer(ctx, transfer)
		if err == nil {
			break
		}
		if _, version := inForce.Tables(); ctx.Err() != nil || version >= transfer.Version() {
			return
		}
		leaseholder.logger.Warn("tables not fetched yet", zap.Uint64("version", transfer.Version()), zap.Uint64("in_force", baseVersion),
			zap.Int("received", transfer.Received()), zap.Duration("elapsed", time.Since(startedAt)), zap.Error(err))
		if isNotFound(err) {
			leaseholder.Wake()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchRetryDelay):
		}
	}
	tables, err := transfer.Tables(base, baseVersion)
	if err != nil {
		leaseholder.logger.Warn("tables not updated", zap.Uint64("version", transfer.Version()), zap.Uint64("in_force", baseVersion), zap.Error(err))
		return
	}
	leaseholder.putInForce(transfer.Version(), tables, startedAt, transfer.Received())
	leaseholder.usePendingLease()
}

func isNotFound(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind == fault.NotFound
}
