// Order of the requests that wait for a place while a pool or the entry has reached its limit of requests in
// progress.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaximumWaiting bounds the requests that wait for one resource. It leaves room for others in
	// MaximumInFlight.
	MaximumWaiting = 128
	// shareHalfLife is the half-life of the counts from which served shares are taken. It is long enough for
	// tenants with one request in ten seconds.
	shareHalfLife = 30 * time.Second
	// guaranteedShare is the served share, relative to that of all, below which a tenant or a kind goes first. The
	// requirement is a quarter.
	guaranteedShare = 0.35
	// guaranteedTurns is the share of all places that may be given out of the usual order for that reason, so
	// that many small classes don't turn the order of priorities around.
	guaranteedTurns = 1.0 / 3
	// forgottenCount is the count at which a tenant or kind without waiting requests is forgotten.
	forgottenCount = 0.05
	// maximumDelayShare is the share of its remaining time for which a caller waits before it retries.
	maximumDelayShare = 1.0 / 3
	// leastReturnDelay is the shortest delay before a retry.
	leastReturnDelay = 20 * time.Millisecond
	// delayJitter is the part of a delay that is random.
	delayJitter = 0.2
	// cappedDelayJitter is that of a delay that the caller's remaining time has shortened, with which many callers
	// would otherwise return at the same time.
	cappedDelayJitter = 0.5
)

const (
	// Queued means that the request waits.
	Queued OfferResult = iota
	// RefusedLate means that the request can't be served in time.
	RefusedLate
	// RefusedFull means that the queue is full of requests that are at least as urgent.
	RefusedFull
)

type (
	// OfferResult is what becomes of a request that is offered to a WaitQueue.
	OfferResult uint8

	// WaitItem is a request that waits. The exported fields are set by the caller.
	WaitItem struct {
		// Resource is what the request waits for, and Kind its route. Each kind waits for one resource.
		Resource, Kind string
		// Tenant is empty for a request without one. Weight, above zero, is its rate.
		Tenant   string
		Weight   float64
		Priority Priority
		// ObjectiveUntil and ServeUntil are the latest times to take up the request for an answer within its
		// objective and within its deadline.
		ObjectiveUntil, ServeUntil time.Time

		class *waitClass
	}

	// Offer is the result of an offer, with the number of requests that would be served earlier, the wait expected from
	// it, and the request that was displaced and is now refused, or nil.
	Offer struct {
		Result    OfferResult
		Position  int
		Wait      time.Duration
		Displaced *WaitItem
	}

	// WaitQueue orders waiting requests: those of starved tenants and kinds, then by priority, then fairly between
	// tenants by their weights, then by the served share of the kind. Within a class the oldest goes first, or the newest
	// once the oldest can no longer meet its objective. Create it with NewWaitQueue.
	WaitQueue struct {
		bound     int
		waiting   int
		resources map[string]*waitResource
		// turns is the number of places that may be given out of the usual order now.
		turns    float64
		forgotAt time.Time
	}

	// waitResource is the part of the queue for one resource.
	waitResource struct {
		shares  servedShare
		waiting int
		classes map[waitClassKey]*waitClass
		flows   map[string]*waitFlow
		// weight is the sum of the weights of flows.
		weight float64
		kinds  map[string]*servedShare
		// virtualTime is the start tag of the latest request that was taken up.
		virtualTime float64
		// nextReturn is when the next of the callers that are refused should return.
		nextReturn time.Time
	}

	waitClassKey struct {
		tenant, kind string
		priority     Priority
	}

	// waitClass holds the waiting requests of one tenant and kind, in the order of their arrival.
	waitClass struct {
		key      waitClassKey
		resource *waitResource
		flow     *waitFlow
		kind     *servedShare
		items    []*WaitItem
	}

	// waitFlow is a tenant at a resource.
	waitFlow struct {
		shares servedShare
		weight float64
		// finish is the virtual finish time of its latest request that was taken up.
		finish float64
	}

	// servedShare counts requests that had to wait, and those of them that were served. Both counts decay.
	servedShare struct {
		offered, served float64
		countedAt       time.Time
	}
)

// NewWaitQueue returns a queue in which up to bound requests wait for each resource.
func NewWaitQueue(bound int) *WaitQueue {
	return &WaitQueue{bound: bound, resources: map[string]*waitResource{}}
}

// Waiting returns the number of waiting requests.
func (waitQueue *WaitQueue) Waiting() int {
	return waitQueue.waiting
}

// WaitingFor returns the number of requests that wait for a resource.
func (waitQueue *WaitQueue) WaitingFor(resource string) int {
	if found := waitQueue.resources[resource]; found != nil {
		return found.waiting
	}
	return 0
}

// Offer queues a request or refuses it. Interval is the expected time between two places that become free.
func (waitQueue *WaitQueue) Offer(item *WaitItem, interval time.Duration, now time.Time) Offer {
	waitQueue.forget(now)
	class := waitQueue.class(item, now)
	resource := class.resource
	for _, shares := range []*servedShare{&resource.shares, &class.flow.shares, class.kind} {
		shares.decay(now)
		shares.offered++
	}
	offer := Offer{Position: resource.position(class)}
	offer.Wait = time.Duration(offer.Position+1) * interval
	starved := class.isStarved(resource.shares.share(), now)
	if now.After(item.ServeUntil) || !starved && now.Add(offer.Wait).After(item.ServeUntil) {
		offer.Result = RefusedLate
		return offer
	}
	if resource.waiting >= waitQueue.bound {
		offer.Displaced = resource.leastUrgent(class, starved, now)
		if offer.Displaced == nil {
			offer.Result = RefusedFull
			return offer
		}
		waitQueue.Remove(offer.Displaced)
	}
	item.class = class
	class.items = append(class.items, item)
	resource.classes[class.key] = class
	resource.waiting++
	waitQueue.waiting++
	return offer
}

// Next removes and returns the request that is served next among those whose resource has a free place, or nil. Expired
// requests must have been removed before.
func (waitQueue *WaitQueue) Next(now time.Time, hasPlace func(resource string) bool) *WaitItem {
	var classes []*waitClass
	offered, served := 0.0, 0.0
	for name, resource := range waitQueue.resources {
		if resource.waiting == 0 || !hasPlace(name) {
			continue
		}
		resource.shares.decay(now)
		offered, served = offered+resource.shares.offered, served+resource.shares.served
		for _, class := range resource.classes {
			classes = append(classes, class)
		}
	}
	if len(classes) == 0 {
		return nil
	}
	waitQueue.turns = min(1, waitQueue.turns+guaranteedTurns)
	mean := served / max(1, offered)
	chosen := slices.MinFunc(classes, compareClasses)
	if waitQueue.turns >= 1-1e-9 {
		starving := slices.MinFunc(classes, func(left, right *waitClass) int {
			return cmp.Compare(left.relativeShare(mean, now), right.relativeShare(mean, now))
		})
		if starving != chosen && starving.isStarved(mean, now) {
			chosen = starving
			waitQueue.turns--
		}
	}
	item := chosen.first(now)
	waitQueue.Remove(item)
	resource, flow := chosen.resource, chosen.flow
	resource.virtualTime = max(resource.virtualTime, flow.finish)
	flow.finish = resource.virtualTime + 1/flow.weight
	for _, shares := range []*servedShare{&resource.shares, &flow.shares, chosen.kind} {
		shares.decay(now)
		shares.served++
	}
	return item
}

// Expire removes and returns the requests that can no longer be served in time.
func (waitQueue *WaitQueue) Expire(now time.Time) []*WaitItem {
	var expired []*WaitItem
	for _, resource := range waitQueue.resources {
		for _, class := range resource.classes {
			for _, item := range class.items {
				if now.After(item.ServeUntil) {
					expired = append(expired, item)
				}
			}
		}
	}
	for _, item := range expired {
		waitQueue.Remove(item)
	}
	return expired
}

// Remove removes a request and reports whether it was waiting.
func (waitQueue *WaitQueue) Remove(item *WaitItem) bool {
	class := item.class
	if class == nil {
		return false
	}
	item.class = nil
	class.items = slices.DeleteFunc(class.items, func(other *WaitItem) bool { return other == item })
	if len(class.items) == 0 {
		delete(class.resource.classes, class.key)
	}
	class.resource.waiting--
	waitQueue.waiting--
	return true
}

// ReturnDelay returns the delay after which the caller of a refused request may retry. Callers that are refused together
// return one after the other, at the intervals in which places become free, behind the requests that wait. Random is a
// number in [0, 1).
func (waitQueue *WaitQueue) ReturnDelay(resource string, wait, interval, remaining time.Duration, random float64, now time.Time) time.Duration {
	found := waitQueue.resources[resource]
	if found == nil {
		found = waitQueue.resource(resource)
	}
	longest := time.Duration(maximumDelayShare * float64(max(0, remaining)))
	returnAt := now.Add(wait)
	if found.nextReturn.After(returnAt) {
		returnAt = found.nextReturn
	}
	if delay := returnAt.Sub(now); delay <= longest {
		found.nextReturn = returnAt.Add(interval)
		return min(longest, max(leastReturnDelay, time.Duration((1-delayJitter*random)*float64(delay))))
	}
	return time.Duration((1 - cappedDelayJitter*random) * float64(longest))
}

// class returns the class of a request.
func (waitQueue *WaitQueue) class(item *WaitItem, now time.Time) *waitClass {
	resource := waitQueue.resource(item.Resource)
	key := waitClassKey{tenant: item.Tenant, kind: item.Kind, priority: item.Priority}
	flow, kind := resource.flows[item.Tenant], resource.kinds[item.Kind]
	if flow == nil {
		flow = &waitFlow{shares: servedShare{countedAt: now}}
		resource.flows[item.Tenant] = flow
	}
	if kind == nil {
		kind = &servedShare{countedAt: now}
		resource.kinds[item.Kind] = kind
	}
	resource.weight += item.Weight - flow.weight
	flow.weight = item.Weight
	if class := resource.classes[key]; class != nil {
		return class
	}
	return &waitClass{key: key, resource: resource, flow: flow, kind: kind}
}

func (waitQueue *WaitQueue) resource(name string) *waitResource {
	resource := waitQueue.resources[name]
	if resource == nil {
		resource = &waitResource{classes: map[waitClassKey]*waitClass{}, flows: map[string]*waitFlow{}, kinds: map[string]*servedShare{}}
		waitQueue.resources[name] = resource
	}
	return resource
}

// forget drops resources, tenants and kinds that haven't waited for long.
func (waitQueue *WaitQueue) forget(now time.Time) {
	if now.Sub(waitQueue.forgotAt) < shareHalfLife {
		return
	}
	waitQueue.forgotAt = now
	for name, resource := range waitQueue.resources {
		flows, kinds := map[*waitFlow]bool{}, map[*servedShare]bool{}
		for _, class := range resource.classes {
			flows[class.flow], kinds[class.kind] = true, true
		}
		for tenant, flow := range resource.flows {
			if flow.shares.decay(now); flow.shares.offered < forgottenCount && !flows[flow] {
				delete(resource.flows, tenant)
				resource.weight -= flow.weight
			}
		}
		for kind, shares := range resource.kinds {
			if shares.decay(now); shares.offered < forgottenCount && !kinds[shares] {
				delete(resource.kinds, kind)
			}
		}
		if len(resource.flows) == 0 && len(resource.kinds) == 0 {
			delete(waitQueue.resources, name)
		}
	}
}

// position returns the number of waiting requests that would be served before a further one of a class.
func (waitResource *waitResource) position(class *waitClass) int {
	own, others := 0.0, map[*waitFlow]float64{}
	ahead := 0
	for _, other := range waitResource.classes {
		switch order := other.key.priority.Compare(class.key.priority); {
		case order < 0:
			ahead += len(other.items)
		case order == 0 && other.flow == class.flow:
			own += float64(len(other.items))
		case order == 0:
			others[other.flow] += float64(len(other.items))
		}
	}
	ahead += int(own)
	for flow, count := range others {
		ahead += int(min(count, (own+1)*flow.weight/class.flow.weight))
	}
	return ahead
}

// leastUrgent returns the request that makes room for another one of a class, or nil if that is the least urgent one
// itself.
func (waitResource *waitResource) leastUrgent(class *waitClass, starved bool, now time.Time) *WaitItem {
	mean := waitResource.shares.share()
	counts := map[*waitFlow]float64{class.flow: 1}
	for _, other := range waitResource.classes {
		counts[other.flow] += float64(len(other.items))
	}
	load := func(class *waitClass) float64 { return counts[class.flow] / class.flow.weight }
	var least *waitClass
	if !starved {
		least = class
	}
	for _, other := range waitResource.classes {
		if other == class || other.isStarved(mean, now) {
			continue
		}
		if least == nil || cmp.Or(other.key.priority.Compare(least.key.priority), cmp.Compare(load(other), load(least))) > 0 {
			least = other
		}
	}
	switch {
	case least == nil || len(least.items) == 0:
		return nil
	case now.After(least.items[0].ObjectiveUntil):
		return least.items[0]
	case least == class:
		return nil
	}
	return least.items[len(least.items)-1]
}

// first returns the request of a class that is served next.
func (waitClass *waitClass) first(now time.Time) *WaitItem {
	if now.After(waitClass.items[0].ObjectiveUntil) {
		return waitClass.items[len(waitClass.items)-1]
	}
	return waitClass.items[0]
}

// relativeShare returns the lower of the served shares of the tenant and the kind, relative to that of all. The tenant's counts
// only while it is served less than its weight entitles it to, so that it isn't raised by requests beyond its rate.
func (waitClass *waitClass) relativeShare(mean float64, now time.Time) float64 {
	relative, flow, all := waitClass.kind.relative(mean, now), waitClass.flow, &waitClass.resource.shares
	tenants := flow.shares.relative(mean, now)
	all.decay(now)
	if tenants < relative && flow.shares.served/flow.weight < all.served/waitClass.resource.weight {
		return tenants
	}
	return relative
}

func (waitClass *waitClass) isStarved(mean float64, now time.Time) bool {
	return waitClass.relativeShare(mean, now) < guaranteedShare
}

// compareClasses orders classes by priority, by the virtual start time of the tenant, and by the served share of the kind.
func compareClasses(left, right *waitClass) int {
	return cmp.Or(
		left.key.priority.Compare(right.key.priority),
		cmp.Compare(left.startTag(), right.startTag()),
		cmp.Compare(left.kind.share(), right.kind.share()),
		cmp.Compare(left.key.tenant, right.key.tenant), cmp.Compare(left.key.kind, right.key.kind),
	)
}

// startTag returns the virtual start time of the next request of the class, relative to the virtual time of its resource.
func (waitClass *waitClass) startTag() float64 {
	return max(0, waitClass.flow.finish-waitClass.resource.virtualTime)
}

func (servedShare *servedShare) share() float64 {
	return servedShare.served / max(1, servedShare.offered)
}

// relative returns the share relative to mean. One more request counts as served by the mean share, so that the first
// one isn't starved.
func (servedShare *servedShare) relative(mean float64, now time.Time) float64 {
	if mean == 0 {
		return 1
	}
	servedShare.decay(now)
	return (servedShare.served + mean) / (servedShare.offered + 1) / mean
}

func (servedShare *servedShare) decay(now time.Time) {
	passed := now.Sub(servedShare.countedAt)
	if passed <= 0 {
		return
	}
	factor := math.Exp2(-passed.Seconds() / shareHalfLife.Seconds())
	servedShare.offered, servedShare.served, servedShare.countedAt = servedShare.offered*factor, servedShare.served*factor, now
}
