// A rollout moves the requests of a pool from its present targets to those of a new release, if that
// release proves to be good.

package operator

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// MaximumRolloutDuration bounds RolloutOrder.Duration.
	MaximumRolloutDuration = time.Hour

	// PhaseTrial sends the new release a limited number of requests.
	PhaseTrial RolloutPhase = "trial"
	// PhaseShift sends the new release all requests, and a bad verdict is still possible.
	PhaseShift RolloutPhase = "shift"
	// PhaseCompleted is final: the targets of other releases may be stopped.
	PhaseCompleted RolloutPhase = "completed"
	// PhaseRolledBack is final: the new release gets no requests.
	PhaseRolledBack RolloutPhase = "rolled_back"
)

type (
	// RolloutPhase is the phase of a rollout. It only moves forward.
	RolloutPhase string

	// RolloutOrder asks control to move the requests of a pool to the targets of a release.
	RolloutOrder struct {
		Pool    string `json:"pool" msgpack:"p"`
		Release string `json:"release" msgpack:"r"`
		// Duration is the time within which the rollout has to be completed or rolled back.
		Duration duration.Duration `json:"duration" msgpack:"d"`
	}

	// Rollout is the newest rollout of a pool.
	Rollout struct {
		Pool     string            `json:"pool"`
		Release  string            `json:"release"`
		Duration duration.Duration `json:"duration"`
		// StartedAt is when control accepted the order, by the leader's clock. It identifies the
		// rollout among those of the pool.
		StartedAt time.Time    `json:"started_at"`
		Phase     RolloutPhase `json:"phase"`
		// Reason is why the rollout is in its phase.
		Reason string `json:"reason,omitempty"`
	}
)

// Final reports whether no other phase follows.
func (phase RolloutPhase) Final() bool {
	return phase == PhaseCompleted || phase == PhaseRolledBack
}

// Rollout returns the newest rollout of a pool, or nil if there was none.
func (tables *Tables) Rollout(pool string) *Rollout {
	for index := range tables.Rollouts {
		if tables.Rollouts[index].Pool == pool {
			return &tables.Rollouts[index]
		}
	}
	return nil
}
