// The verdict on a new release. It compares the answers of the new release with those of the other
// releases of the pool, for the same routes and localities and over the same time.

package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// RolloutContinue means that neither of the other decisions can be made yet.
	RolloutContinue RolloutDecision = iota
	// RolloutGood means that the release has proved to be good.
	RolloutGood
	// RolloutBad means that the release fails or is slow.
	RolloutBad
	// RolloutTimedOut means that the time is over without another decision.
	RolloutTimedOut
)

const (
	narrow rolloutWidth = iota
	ofRoute
	ofAll
)

const (
	// A release may turn bad late or under load, so the decision that it is good is made no sooner than
	// at rolloutEarliestGood of the duration. After rolloutLatestGood the shift could not be completed.
	rolloutEarliestGood = 0.55
	rolloutLatestGood   = 0.8
	// rolloutEarliestEnd is the part of the duration up to which a shift is monitored at least, and
	// rolloutTimeout the part at which an undecided rollout is rolled back, so that this is committed
	// within the duration.
	rolloutEarliestEnd = 0.8
	rolloutTimeout     = 0.95

	// A slice ends once it is rolloutSliceSpan old and holds rolloutSliceAnswers answers of the new
	// release. The lower limit on answers lets the tests of recent slices work in pools with little traffic.
	rolloutSliceSpan     = 500 * time.Millisecond
	rolloutSliceAnswers  = 16
	maximumRolloutSlices = 24

	// The tolerated share of failures is rolloutFailureMargin plus rolloutFailureFactor times the share
	// at other releases. A bad release may fail only a quarter of its answers, and single failures must
	// not end a rollout. The factor 1.5 missed one in twenty releases that failed a third of their
	// answers beside a usual share of a tenth.
	rolloutFailureMargin = 0.05
	rolloutFailureFactor = 1.25
	// The tolerated share of answers slower than a bound is rolloutSlowMargin plus the greater one of
	// rolloutSlowFactor times the share at other releases and of the share that would result if all
	// answers there took one bucket, 1.4 times, longer. Bad releases take three times or longer for a
	// quarter of their answers.
	rolloutSlowMargin = 0.02
	rolloutSlowFactor = 2

	// rolloutBadChance is the chance of the evidence, if the release was just tolerable, below which it
	// counts as bad. The tests are repeated ten times a second, for several windows, routes and bounds.
	rolloutBadChance = 1e-4
	// rolloutSuspectChance is the chance below which it isn't decided to be good.
	rolloutSuspectChance = 0.05
	// The evidence must remain unlikely without the half of the targets that show it most. Otherwise
	// it is a fault of these targets.
	rolloutBadRestChance     = 0.02
	rolloutSuspectRestChance = 0.2
	// rolloutRestMargin is the tolerated share of failures of these remaining targets on top of the usual
	// one. With the tolerance for all targets, an uneven spread of the failures over three targets hid a
	// release that failed a third of its answers beside a usual share of a tenth.
	rolloutRestMargin = 0.04
	// A route that has fewer answers of the new release than this may have more targets than those
	// that have answered.
	rolloutRouteTargetAnswers = 20
	// minimumRolloutBad is the minimum number of bad answers of a bad release, and
	// minimumRolloutRestBad that of the remaining targets. Two chance failures of these beside a sick
	// target ended rollouts of good releases.
	minimumRolloutBad     = 4
	minimumRolloutRestBad = 3

	// minimumRolloutReference is the number of answers of other releases that a comparison needs.
	// Where a stratum has fewer, the comparison uses a wider one.
	minimumRolloutReference = 20
	// minimumRolloutLastReference is the same number for the widest stratum of latencies, that of a route. Routes aren't
	// compared with each other, because they may differ in latency.
	minimumRolloutLastReference = 8
	// The release is good only with minimumRolloutAnswers answers, minimumRolloutLatencies latencies of
	// warm targets, and minimumRolloutRouteAnswers answers on each route that has an eighth of the requests,
	// or half of the answers to expect there.
	minimumRolloutAnswers      = 16
	minimumRolloutLatencies    = 12
	minimumRolloutRouteAnswers = 4
	rolloutRouteParts          = 8
	// A good release shows that a fault of a part of its answers as small as the parts below is unlikely. The
	// part of slow answers is smaller than a quarter, because some of them are within the bound.
	rolloutFailingPart  = 0.25
	rolloutSlowPart     = 0.2
	rolloutMissedChance = 0.02
	rolloutMissedSlow   = 0.05
	// rolloutSlowShare is the share of answers of other releases above the bound for slow answers.
	rolloutSlowShare = 0.05

	// Test 0 counts failures, and test k from 1 on the latencies that are above bucket k-1.
	rolloutTests = RolloutLatencyBuckets
	// allSlices stands for all slices in a stratum.
	allSlices = -1
)

type (
	// RolloutDecision is what has to become of a rollout.
	RolloutDecision int

	// RolloutVerdict is a decision and the reason for it.
	RolloutVerdict struct {
		Decision RolloutDecision
		Reason   string
		// Clear is true if there is enough evidence and none of it is suspicious, whatever the time.
		Clear bool
	}

	// RolloutHistory is the evidence of a rollout in slices of time. The zero value holds none.
	RolloutHistory struct {
		// slices are the evidence by time; the last one is still open. Old ones are merged.
		slices []RolloutEvidence
		// total is the evidence of all slices, and before that of all but the last one.
		total       RolloutEvidence
		before      map[rolloutCellKey]RolloutCell
		lastStarted time.Duration
	}

	// rolloutCounts counts the results of each test. Test 0 has answers, and the others latencies.
	rolloutCounts struct {
		answers, latencies float64
		counts             [rolloutTests]float64
	}

	// rolloutStratum identifies answers of other releases: those of one slice or of all, and of one route
	// and locality, of one route, or of all.
	rolloutStratum struct {
		slice           int
		width           rolloutWidth
		route, locality string
	}

	// rolloutWidth is narrow for answers on one route from one locality.
	rolloutWidth int

	// rolloutReference holds the answers of other releases by stratum.
	rolloutReference map[rolloutStratum]*rolloutCounts

	// rolloutSample holds the answers of one target of the new release, and how many of them may be
	// bad in each test.
	rolloutSample struct {
		rolloutCounts
		tolerated [rolloutTests]float64
		// usual is the number of bad answers that would be as frequent as at other releases.
		usual [rolloutTests]float64
	}

	// rolloutGroup holds the samples of the answers on one route, or on all (""), by target.
	rolloutGroup map[string]*rolloutSample

	// rolloutSums are the sums of one test over some targets.
	rolloutSums struct {
		total, bad, tolerated, usual float64
	}

	// rolloutFinding is the result of the tests: the worst of all.
	rolloutFinding struct {
		bad, suspect bool
		reason       string
	}
)

// Observe replaces the evidence by a newer state of it, which holds everything that the previous one
// held. Elapsed is the time since the start of the rollout.
func (rolloutHistory *RolloutHistory) Observe(total RolloutEvidence, elapsed time.Duration) {
	if len(rolloutHistory.slices) == 0 {
		rolloutHistory.slices = append(rolloutHistory.slices, RolloutEvidence{})
		rolloutHistory.lastStarted = elapsed
	}
	var last RolloutEvidence
	answers := uint64(0)
	for index := range total.Cells {
		cell := &total.Cells[index]
		earlier := rolloutHistory.before[cell.key()]
		difference := cell.since(&earlier)
		if difference.Answers == 0 {
			continue
		}
		last.Cells = append(last.Cells, difference)
		if difference.New {
			answers += difference.Answers
		}
	}
	rolloutHistory.total = total
	rolloutHistory.slices[len(rolloutHistory.slices)-1] = last
	if answers >= rolloutSliceAnswers && elapsed-rolloutHistory.lastStarted >= rolloutSliceSpan {
		rolloutHistory.endSlice(elapsed)
	}
}

// endSlice starts a new slice. It merges the two oldest ones if there are too many.
func (rolloutHistory *RolloutHistory) endSlice(elapsed time.Duration) {
	rolloutHistory.before = make(map[rolloutCellKey]RolloutCell, len(rolloutHistory.total.Cells))
	for _, cell := range rolloutHistory.total.Cells {
		rolloutHistory.before[cell.key()] = cell
	}
	rolloutHistory.lastStarted = elapsed
	rolloutHistory.slices = append(rolloutHistory.slices, RolloutEvidence{})
	if slices := rolloutHistory.slices; len(slices) > maximumRolloutSlices {
		slices[1] = MergeRolloutEvidence(&slices[0], &slices[1])
		rolloutHistory.slices = slices[1:]
	}
}

// Summary returns the totals of the evidence.
func (rolloutHistory *RolloutHistory) Summary() RolloutSummary {
	return rolloutHistory.total.Summary()
}

// Judge decides on a rollout that has taken the time elapsed of its duration. RolloutGood only concerns a
// trial. A shift may be completed once RolloutMayEnd is true and the verdict is clear.
func (rolloutHistory *RolloutHistory) Judge(elapsed, duration time.Duration) RolloutVerdict {
	reference := rolloutHistory.reference()
	finding, groups := rolloutHistory.test(reference)
	if finding.bad {
		return RolloutVerdict{Decision: RolloutBad, Reason: finding.reason}
	}
	part := float64(elapsed) / float64(duration)
	lacking := rolloutHistory.lacking(reference, groups)
	if lacking == "" && finding.suspect {
		lacking = "the release may be bad: " + finding.reason
	}
	switch {
	case part >= rolloutTimeout && lacking != "":
		return RolloutVerdict{Decision: RolloutTimedOut, Reason: "time ran out: " + lacking}
	case part >= rolloutTimeout:
		return RolloutVerdict{Decision: RolloutTimedOut, Clear: true, Reason: "time ran out before every entry used the new release"}
	case lacking != "":
		return RolloutVerdict{Reason: lacking}
	case part < rolloutEarliestGood:
		return RolloutVerdict{Clear: true, Reason: "the release is good so far"}
	case part > rolloutLatestGood:
		return RolloutVerdict{Clear: true, Reason: "too little time is left to complete the rollout"}
	}
	return RolloutVerdict{Decision: RolloutGood, Clear: true, Reason: rolloutHistory.Describe()}
}

// Describe returns the totals of the evidence in words.
func (rolloutHistory *RolloutHistory) Describe() string {
	summary := rolloutHistory.Summary()
	return fmt.Sprintf("%d of %d answers of %d targets failed, and %d of %d at other releases",
		summary.NewFailures, summary.NewAnswers, summary.NewTargets, summary.OldFailures, summary.OldAnswers)
}

// RolloutMayEnd reports whether a shift has been monitored for long enough to complete it.
func RolloutMayEnd(elapsed, duration time.Duration) bool {
	return float64(elapsed) >= rolloutEarliestEnd*float64(duration)
}

// reference returns the answers of other releases by stratum.
func (rolloutHistory *RolloutHistory) reference() rolloutReference {
	reference := rolloutReference{}
	for number := range rolloutHistory.slices {
		for index := range rolloutHistory.slices[number].Cells {
			cell := &rolloutHistory.slices[number].Cells[index]
			if !cell.New {
				reference.counts(rolloutStratum{slice: number, route: cell.Route, locality: cell.Locality}).add(cell)
			}
		}
	}
	// The narrowest strata are added up to the wider ones, because there are fewer of them than cells.
	for stratum, counts := range maps.Clone(reference) {
		always := stratum
		always.slice = allSlices
		reference.counts(always).addCounts(counts)
		for _, slice := range []int{stratum.slice, allSlices} {
			reference.counts(rolloutStratum{slice: slice, width: ofRoute, route: stratum.route}).addCounts(counts)
			reference.counts(rolloutStratum{slice: slice, width: ofAll}).addCounts(counts)
		}
	}
	return reference
}

// counts returns the counts of a stratum, which it adds if they are missing.
func (rolloutReference rolloutReference) counts(stratum rolloutStratum) *rolloutCounts {
	counts := rolloutReference[stratum]
	if counts == nil {
		counts = &rolloutCounts{}
		rolloutReference[stratum] = counts
	}
	return counts
}

func (rolloutCounts *rolloutCounts) addCounts(added *rolloutCounts) {
	rolloutCounts.answers += added.answers
	rolloutCounts.latencies += added.latencies
	for test := range rolloutCounts.counts {
		rolloutCounts.counts[test] += added.counts[test]
	}
}

// shares returns the shares of bad answers in each test among the answers of other releases that are
// comparable with those of a slice, route and locality. Failures are compared in the same slice first,
// because a fault of both sides ends. Latencies are compared in the same locality first, because they
// depend on the distance.
func (rolloutReference rolloutReference) shares(slice int, route, locality string) (shares [rolloutTests]float64) {
	whole, onRoute := rolloutStratum{slice: slice, route: route, locality: locality}, rolloutStratum{slice: slice, width: ofRoute, route: route}
	wholeAlways, onRouteAlways := whole, onRoute
	wholeAlways.slice, onRouteAlways.slice = allSlices, allSlices
	for _, stratum := range []rolloutStratum{whole, onRoute, {slice: slice, width: ofAll}, wholeAlways, onRouteAlways, {slice: allSlices, width: ofAll}} {
		if counts := rolloutReference[stratum]; counts != nil && counts.answers >= minimumRolloutReference {
			shares[0] = counts.counts[0] / counts.answers
			break
		}
	}
	for test := 1; test < rolloutTests; test++ {
		shares[test] = 1
	}
	for _, stratum := range []rolloutStratum{whole, wholeAlways, onRoute, onRouteAlways} {
		minimum := float64(minimumRolloutReference)
		if stratum == onRouteAlways {
			minimum = minimumRolloutLastReference
		}
		if counts := rolloutReference[stratum]; counts != nil && counts.latencies >= minimum {
			for test := 1; test < rolloutTests; test++ {
				// Half an answer is added on each side, because a share of none among a few answers
				// doesn't show that slow answers are unusual.
				shares[test] = (counts.counts[test] + 0.5) / (counts.latencies + 1)
			}
			break
		}
	}
	return shares
}

// add adds the answers of a cell.
func (rolloutCounts *rolloutCounts) add(cell *RolloutCell) {
	rolloutCounts.answers += float64(cell.Answers)
	rolloutCounts.counts[0] += float64(cell.Failures)
	above := 0.0
	for bucket := RolloutLatencyBuckets - 1; bucket >= 1; bucket-- {
		above += float64(cell.Latencies[bucket])
		rolloutCounts.counts[bucket] += above
	}
	rolloutCounts.latencies += above + float64(cell.Latencies[0])
}

// total returns the number of answers that a test covers.
func (rolloutCounts *rolloutCounts) total(test int) float64 {
	if test == 0 {
		return rolloutCounts.answers
	}
	return rolloutCounts.latencies
}

// test runs the tests of all answers and of those of each route, over the last slices and over all. It
// returns the worst finding and the groups over all slices.
func (rolloutHistory *RolloutHistory) test(reference rolloutReference) (rolloutFinding, map[string]rolloutGroup) {
	groups, targets := map[string]rolloutGroup{"": {}}, rolloutHistory.targetsByRoute()
	sharesOf := map[rolloutStratum][rolloutTests]float64{}
	var worst rolloutFinding
	last := len(rolloutHistory.slices) - 1
	for number := last; number >= 0; number-- {
		for index := range rolloutHistory.slices[number].Cells {
			cell := &rolloutHistory.slices[number].Cells[index]
			if !cell.New {
				continue
			}
			stratum := rolloutStratum{slice: number, route: cell.Route, locality: cell.Locality}
			shares, known := sharesOf[stratum]
			if !known {
				shares = reference.shares(number, cell.Route, cell.Locality)
				sharesOf[stratum] = shares
			}
			if groups[cell.Route] == nil {
				groups[cell.Route] = rolloutGroup{}
			}
			groups[""].add(cell, &shares)
			if cell.Route != "" {
				groups[cell.Route].add(cell, &shares)
			}
		}
		// The tests cover the last 1, 2, 4, 8 and so on slices, because many good answers of earlier
		// slices would hide a release that turns bad late.
		if covered := last - number + 1; covered&(covered-1) != 0 && number > 0 {
			continue
		}
		for _, route := range slices.Sorted(maps.Keys(groups)) {
			worst = worst.or(groups[route].test(route, targets[route]))
		}
	}
	return worst, groups
}

// targetsByRoute returns the number of targets that serve each route, and of all (""), as far as the
// answers of the new release show it.
func (rolloutHistory *RolloutHistory) targetsByRoute() map[string]int {
	served, answers := map[string]map[string]bool{"": {}}, map[string]uint64{}
	for index := range rolloutHistory.total.Cells {
		cell := &rolloutHistory.total.Cells[index]
		if !cell.New || cell.Answers == 0 {
			continue
		}
		if served[cell.Route] == nil {
			served[cell.Route] = map[string]bool{}
		}
		served[""][cell.Target], served[cell.Route][cell.Target] = true, true
		answers[cell.Route] += cell.Answers
	}
	targets := map[string]int{}
	for route := range served {
		targets[route] = len(served[route])
		if answers[route] < rolloutRouteTargetAnswers {
			targets[route] = len(served[""])
		}
	}
	return targets
}

// or returns the worse one of two findings.
func (rolloutFinding rolloutFinding) or(other rolloutFinding) rolloutFinding {
	if rolloutFinding.bad || rolloutFinding.suspect && !other.bad {
		return rolloutFinding
	}
	return other
}

// add adds the answers of a cell, with the shares of bad answers among comparable ones.
func (rolloutGroup rolloutGroup) add(cell *RolloutCell, shares *[rolloutTests]float64) {
	sample := rolloutGroup[cell.Target]
	if sample == nil {
		sample = &rolloutSample{}
		rolloutGroup[cell.Target] = sample
	}
	var counts rolloutCounts
	counts.add(cell)
	sample.answers += counts.answers
	sample.latencies += counts.latencies
	for test := range rolloutTests {
		sample.counts[test] += counts.counts[test]
		tolerated := rolloutFailureMargin + rolloutFailureFactor*shares[test]
		if test > 0 {
			oneBucketLonger := 1.0
			if test > 1 {
				oneBucketLonger = shares[test-1]
			}
			tolerated = rolloutSlowMargin + max(rolloutSlowFactor*shares[test], oneBucketLonger)
		}
		sample.tolerated[test] += min(tolerated, 1) * counts.total(test)
		sample.usual[test] += shares[test] * counts.total(test)
	}
}

// test runs all tests on the answers of a group.
func (rolloutGroup rolloutGroup) test(route string, targets int) rolloutFinding {
	var worst rolloutFinding
	for test := range rolloutTests {
		all := rolloutGroup.sum(test)
		if all.bad < minimumRolloutBad || all.bad <= all.tolerated {
			continue
		}
		chance := chanceOfAtLeast(all.bad, all.total, all.tolerated)
		if chance >= rolloutSuspectChance {
			continue
		}
		rest := rolloutGroup.sumOfRest(test, targets)
		restChance := chanceOfAtLeast(rest.bad, rest.total, rest.tolerated)
		finding := rolloutFinding{
			bad:     chance < rolloutBadChance && restChance < rolloutBadRestChance && rest.bad >= minimumRolloutRestBad,
			suspect: restChance < rolloutSuspectRestChance,
		}
		if finding.bad || finding.suspect {
			finding.reason = describeFinding(test, route, len(rolloutGroup), &all)
			worst = worst.or(finding)
		}
	}
	return worst
}

// sum returns the sums of a test over all targets.
func (rolloutGroup rolloutGroup) sum(test int) (all rolloutSums) {
	for _, sample := range rolloutGroup {
		all.add(sample, test)
	}
	return all
}

// sumOfRest returns the sums of a test over the targets that remain without the half that shows most
// bad answers. Targets without an answer in the group count as remaining ones.
func (rolloutGroup rolloutGroup) sumOfRest(test, targets int) (rest rolloutSums) {
	var samples []*rolloutSample
	for _, sample := range rolloutGroup {
		if sample.total(test) > 0 {
			samples = append(samples, sample)
		}
	}
	slices.SortFunc(samples, func(left, right *rolloutSample) int {
		return cmp.Compare(right.counts[test]-right.tolerated[test], left.counts[test]-left.tolerated[test])
	})
	for _, sample := range samples[min(targets/2, len(samples)):] {
		rest.add(sample, test)
	}
	if test == 0 {
		rest.tolerated = min(rest.usual+rolloutRestMargin*rest.total, rest.total)
	}
	return rest
}

func (rolloutSums *rolloutSums) add(sample *rolloutSample, test int) {
	rolloutSums.total += sample.total(test)
	rolloutSums.bad += sample.counts[test]
	rolloutSums.tolerated += sample.tolerated[test]
	rolloutSums.usual += sample.usual[test]
}

func describeFinding(test int, route string, targets int, sums *rolloutSums) string {
	what := "failed"
	if test > 0 {
		what = "took longer than " + rolloutBucketEnd(test-1).Round(time.Millisecond/10).String()
	}
	where := ""
	if route != "" {
		where = fmt.Sprintf(" on route %q", route)
	}
	return fmt.Sprintf("%.0f of %.0f answers of %d targets%s %s, where %.1f would be usual and %.1f tolerable",
		sums.bad, sums.total, targets, where, what, sums.usual, sums.tolerated)
}

// lacking returns what the evidence lacks for the decision that the release is good, or "".
func (rolloutHistory *RolloutHistory) lacking(reference rolloutReference, groups map[string]rolloutGroup) string {
	always := reference[rolloutStratum{slice: allSlices, width: ofAll}]
	if always == nil || always.answers < minimumRolloutReference {
		return "too few answers of other releases to compare with"
	}
	answers, rest := groups[""].sum(0), groups[""].sumOfRest(0, len(groups[""]))
	switch {
	case answers.total < minimumRolloutAnswers:
		return fmt.Sprintf("too few answers of the release: %.0f", answers.total)
	case chanceOfAtMost(rest.bad, rest.total, rest.usual+rolloutFailingPart*(rest.total-rest.usual)) >= rolloutMissedChance:
		return fmt.Sprintf("too few answers of the release to exclude failures: %.0f of %.0f failed", answers.bad, answers.total)
	}
	for stratum, counts := range reference {
		if stratum.slice != allSlices || stratum.width != ofRoute || counts.answers*rolloutRouteParts < always.answers {
			continue
		}
		expected := counts.answers / always.answers * answers.total
		if onRoute := groups[stratum.route].sum(0); onRoute.total < min(minimumRolloutRouteAnswers, math.Ceil(expected/2)) {
			return fmt.Sprintf("too few answers of the release on route %q: %.0f", stratum.route, onRoute.total)
		}
	}
	return lackingLatencies(groups[""])
}

// lackingLatencies returns what the latencies lack for the decision that the release is good, or "".
func lackingLatencies(group rolloutGroup) string {
	for test := 1; test < rolloutTests; test++ {
		all, rest := group.sum(test), group.sumOfRest(test, len(group))
		if all.total < minimumRolloutLatencies {
			return fmt.Sprintf("too few answers of warm targets of the release: %.0f", all.total)
		}
		if all.usual > rolloutSlowShare*all.total {
			continue
		}
		if chanceOfAtMost(rest.bad, rest.total, rest.usual+rolloutSlowPart*(rest.total-rest.usual)) >= rolloutMissedSlow {
			return fmt.Sprintf("too few answers of the release to exclude that it is slow: %.0f of %.0f took longer than %s",
				all.bad, all.total, rolloutBucketEnd(test-1).Round(time.Millisecond/10))
		}
		return ""
	}
	return "too few latencies of other releases to compare with"
}

// chanceOfAtLeast returns the chance that at least count of total answers are bad if expected ones are.
func chanceOfAtLeast(count, total, expected float64) float64 {
	if count <= expected || total <= 0 {
		return 1
	}
	chance := expected / total
	term := binomialTerm(count, total, chance)
	sum := term
	for count < total && term > sum*1e-9 {
		term *= (total - count) / (count + 1) * chance / (1 - chance)
		sum += term
		count++
	}
	return min(sum, 1)
}

// chanceOfAtMost returns the chance that at most count of total answers are bad if expected ones are.
func chanceOfAtMost(count, total, expected float64) float64 {
	return chanceOfAtLeast(total-count, total, total-expected)
}

// binomialTerm returns the chance of exactly count bad answers.
func binomialTerm(count, total, chance float64) float64 {
	if chance <= 0 || chance >= 1 {
		return 0
	}
	logarithm := logFactorial(total) - logFactorial(count) - logFactorial(total-count) + count*math.Log(chance) + (total-count)*math.Log1p(-chance)
	return math.Exp(logarithm)
}

func logFactorial(number float64) float64 {
	logarithm, _ := math.Lgamma(number + 1)
	return logarithm
}
