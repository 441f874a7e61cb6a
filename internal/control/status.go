// The status reports only what the leader can state with certainty.

package control

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func (service *Service) status(ctx context.Context, _ *StatusRequest) (*operator.Status, error) {
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return nil, err
	}
	service.lock.Lock()
	newest, view, now := service.state.Newest(), service.state.View(), time.Now()
	status := &operator.Status{
		Version:           newest.Version,
		InForceVersion:    tenure.inForce(now, newest.Version),
		View:              view.Number,
		SettledView:       tenure.settled(now, &view),
		Term:              tenure.term,
		FailureDomainsOut: newest.Tables.FailureDomainsOut,
	}
	for index := range view.Members {
		status.Entries = append(status.Entries, tenure.describe(now, &view.Members[index]))
	}
	service.lock.Unlock()
	status.InForce = tenure.earlierLeasesExpired(now) && status.InForceVersion == status.Version
	status.FailureDomains = service.state.failureDomains()
	service.describeReplicas(status)
	return status, service.confirmTenure(ctx, tenure)
}

// describe returns the status of a member. A member without a recorded lease is reported as
// fenced only after all leases of earlier leaders have expired.
func (tenure *tenure) describe(now time.Time, member *membership.Member) operator.EntryStatus {
	status := operator.EntryStatus{ID: member.ID, Address: member.CallerAddress, FailureDomain: member.FailureDomain, Stopping: member.Stopping}
	key := processKeyOf(member)
	status.Fenced = !tenure.mayHoldLease(now, key)
	if holder, known := tenure.holders[key]; known {
		status.Version, status.View, status.LeaseUntil = holder.version, holder.oldestView, holder.expiry
	}
	return status
}

func (service *Service) describeReplicas(status *operator.Status) {
	group := service.log.Status()
	status.Leader = group.LeaderID
	for _, member := range group.Replicas {
		status.Replicas = append(status.Replicas, operator.ReplicaStatus{
			ID: member.ID, Address: member.Address, Index: member.Match, Lag: member.Lag, Voter: member.Voter,
		})
	}
}

// failureDomains returns the status of all failure domains that have or had entries.
func (state *State) failureDomains() []operator.FailureDomainStatus {
	state.lock.RLock()
	defer state.lock.RUnlock()
	newest := state.data.Tables.newest()
	entries := map[string]int{}
	for _, member := range state.data.View.View.Members {
		entries[member.FailureDomain]++
	}
	var described []operator.FailureDomainStatus
	for _, name := range state.data.View.FailureDomains {
		described = append(described, operator.FailureDomainStatus{Name: name, Out: newest.Tables.IsOut(name), Entries: entries[name]})
	}
	return described
}
