// Rollouts during a soak: the targets of one pool change their release again and again.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	releasePool = "releases"
	// rolloutDuration is the duration of the orders, and rolloutGrace the time beyond it within which
	// control, which may be without a majority for long, must have ended a rollout.
	rolloutDuration = 12 * time.Second
	rolloutGrace    = recoverLimit
	// releaseSpan is how long the targets of a release run before the order for it, and drainSpan how
	// long those of a release that was rolled back run on.
	releaseSpan = 500 * time.Millisecond
	drainSpan   = 3 * time.Second
	// badAnswers is the number of failed answers from which rollbackSpan counts, and rollbackMargin is for
	// the time that requests are on their way.
	badAnswers     = 50
	rollbackMargin = 500 * time.Millisecond
)

type (
	// releaseFault is what is wrong with a release; the zero value is a good one.
	releaseFault struct {
		failureShare float64
		slowFactor   int
	}

	// rollout is one order of a release and its end.
	rollout struct {
		release string
		fault   releaseFault
		ordered time.Time
		phase   operator.RolloutPhase
	}
)

// isBad reports whether the release should be rolled back.
func (fault releaseFault) isBad() bool {
	return fault != releaseFault{}
}

// changeReleases orders one rollout after the other, of good and of bad releases, until faults ends. The
// targets serve until ctx ends.
func (soak *soak) changeReleases(ctx, faults context.Context, random *rand.Rand) {
	current, stop := soak.startRelease(ctx, 1, releaseFault{})
	for number := 2; faults.Err() == nil; number++ {
		fault := []releaseFault{{}, {failureShare: 0.5}, {slowFactor: 10}}[random.IntN(3)]
		next, stopNext := soak.startRelease(ctx, number, fault)
		sleep(ctx, releaseSpan)
		if len(next) == 0 {
			// The failures to start are recorded.
			continue
		}
		ended := soak.rollOut(ctx, random, next[0].release, fault)
		switch {
		case ctx.Err() != nil:
			stopNext()
		case ended == operator.PhaseCompleted:
			stop()
			current, stop = next, stopNext
		default:
			sleep(ctx, drainSpan)
			stopNext()
		}
	}
	<-ctx.Done()
	for _, standIn := range current {
		standIn.crash()
	}
}

// startRelease starts a target of a release in each failure domain, and returns a function that stops
// them at once.
func (soak *soak) startRelease(ctx context.Context, number int, fault releaseFault) (targets []*standIn, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	for index, domain := range domains {
		ip := fmt.Sprint(soak.addressPrefix, 61+(number*domainCount+index)%180)
		started := &standIn{
			id: fmt.Sprintf("%s.%d.%s", releasePool, number, domain), pool: releasePool, domain: domain, release: fmt.Sprint("v", number), fault: fault,
			proxy:  &proxy{address: fmt.Sprintf("%s:%d", ip, httpPort), upstreamAddress: fmt.Sprintf("%s:%d", ip, gatewayPort)},
			record: &soak.record, controlAddresses: soak.targets[0].controlAddresses,
		}
		if err := started.start(); err != nil {
			soak.record.addFailure("start target " + started.id + ": " + err.Error())
			continue
		}
		go started.announce(ctx)
		targets = append(targets, started)
	}
	return targets, func() {
		cancel()
		for _, standIn := range targets {
			standIn.crash()
		}
	}
}

// rollOut orders a release, waits until the rollout has ended and returns its last phase.
func (soak *soak) rollOut(ctx context.Context, random *rand.Rand, release string, fault releaseFault) operator.RolloutPhase {
	order := &operator.RolloutOrder{Pool: releasePool, Release: release, Duration: duration.Of(rolloutDuration)}
	ordered := time.Now()
	if !soak.retry(ctx, func(ctx context.Context) error {
		_, err := soak.operator(random).StartRollout(ctx, order)
		return err
	}) {
		if ctx.Err() == nil {
			soak.record.addFailure(fmt.Sprintf("no process acknowledged the rollout of %s within %s", release, recoverLimit))
		}
		return ""
	}
	soak.note("rollout of %s ordered, which fails in %v and is slower %d times", release, fault.failureShare, fault.slowFactor)
	var last *operator.Rollout
	if !eventually(ctx, rolloutDuration+rolloutGrace, func() bool {
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		read, err := soak.operator(random).Rollout(limited, releasePool)
		if err == nil && read.Release == release {
			last = read
		}
		return last != nil && last.Phase.Final()
	}) {
		if ctx.Err() == nil {
			soak.record.addFailure(fmt.Sprintf("the rollout of %s did not end within %s", release, rolloutDuration+rolloutGrace))
		}
		return ""
	}
	soak.note("rollout of %s: %s after %s: %s", release, last.Phase, time.Since(ordered).Round(time.Millisecond), last.Reason)
	soak.record.addRollout(rollout{release: release, fault: fault, ordered: ordered, phase: last.Phase})
	return last.Phase
}

func (record *record) addRollout(ended rollout) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.rollouts = append(record.rollouts, ended)
}

// checkRollouts reports bad releases that were completed, or got more requests than they may, or got some
// too long after their failures.
func (record *record) checkRollouts() []string {
	var found []string
	for _, ended := range record.rollouts {
		if !ended.fault.isBad() {
			continue
		}
		report := func(format string, values ...any) {
			found = append(found, "bad release "+ended.release+": "+fmt.Sprintf(format, values...))
		}
		if ended.phase == operator.PhaseCompleted {
			report("the rollout was completed")
		}
		all, sent, failed := 0, 0, 0
		var failedAt time.Time
		for _, run := range record.poolRuns(releasePool) {
			if run.at.Before(ended.ordered) || run.at.After(ended.ordered.Add(rolloutDuration)) {
				continue
			}
			all++
			if run.release != ended.release {
				continue
			}
			sent++
			if !failedAt.IsZero() && run.at.After(failedAt.Add(rollbackSpan+rollbackMargin)) {
				report("a request %s after the %d. failure", run.at.Sub(failedAt).Round(time.Millisecond), badAnswers)
			}
			if run.failed {
				if failed++; failed == badAnswers {
					failedAt = run.at
				}
			}
		}
		if allowed := rolloutShare*float64(all) + rolloutSlack; float64(sent) > allowed {
			report("%d of %d requests, %.0f are allowed", sent, all, allowed)
		}
	}
	return found
}

// poolRuns returns the runs of a pool in the order of their times. The lock must be held.
func (record *record) poolRuns(pool string) []targetRun {
	var runs []targetRun
	for _, run := range record.runs {
		if run.pool == pool {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(left, right targetRun) int { return left.at.Compare(right.at) })
	return runs
}
