// The entry's side of allotments: it admits requests of a tenant while its home's word allows it, and asks
// otherwise.

package permit

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// MethodDistrust is the peer method by which an entry tells the others that a home didn't reply.
	MethodDistrust = "permit.distrust"

	// reportDelay is the time for which reports to one home are collected.
	reportDelay = 20 * time.Millisecond
	// accountTimeout bounds a call to a home. A first call takes four round trips of 24 ms where the home
	// is in another region, and links may be slow.
	accountTimeout = 250 * time.Millisecond
	// creditSpan is how long a credit lasts without a further reply. It is the longest time for which an
	// entry that the home couldn't tell to ask goes on admitting; a tenant whose requests come to an entry
	// less often has to wait for the home's reply there.
	creditSpan = 10 * time.Minute
	// firstCredit is the credit of an entry that has had no request of a tenant for a window. Without it, each
	// first request would wait for the home's reply, from another region after opening a connection.
	firstCredit = 1
	// creditMargin is how much longer the home assumes that a credit lasts.
	creditMargin = 5 * time.Second
	// unsureHomeRetries and unsureHomeDelay bound how long an entry waits for an agreement on who is the
	// home, while views change.
	unsureHomeRetries = 3
	unsureHomeDelay   = 50 * time.Millisecond
	// returnSpan is how long after an admission from its own part an entry gives no request back to the
	// home, because that hasn't counted it. It is the longest time that a request takes.
	returnSpan = 30 * time.Second
	// maximumSilence bounds the time for which an entry refuses without asking, because requests that
	// haven't run may be given back meanwhile.
	maximumSilence = time.Second
	// distrustInterval is the least time between two notices about one home.
	distrustInterval = time.Second
	// fallbackLogInterval is the least time between two log lines about one home.
	fallbackLogInterval = 10 * time.Second

	// Ways in which a request was decided on, as label values.
	wayCredit   = "credit"
	wayAsked    = "asked"
	waySeparate = "separate"
)

type (
	// Distrust tells that a home didn't reply.
	Distrust struct {
		Home string `msgpack:"h"`
	}

	// usage is what an entry knows of one tenant.
	usage struct {
		// home and incarnation are those of the process that counts. Everything up to separate is void if they
		// change.
		home        string
		incarnation uint64
		session     uint64
		sequence    uint64
		// total and confirmed are those of UsageReport.
		total, confirmed int64
		// confirmedSequence is that of the newest report that a reply has confirmed.
		confirmedSequence uint64
		credit            int
		// creditFrom is when the call was made whose reply gave the credit.
		creditFrom time.Time
		// revokedOrder is the order of the last revocation.
		revokedOrder uint64
		refusedUntil time.Time

		separate   policy.SeparateLimit
		separateAt time.Time
		usedAt     time.Time
	}

	// homeLink is what an entry knows of the way to a home, by its peer address.
	homeLink struct {
		avoidUntil time.Time
		// reports holds the tenants whose reports wait to be sent.
		reports map[string]bool
		// fallen is true while this entry uses its own parts, loggedAt and restoredAt are when the begin and
		// the end of that were last logged, and distrustedAt is when the others were last told or heard of it.
		fallen       bool
		loggedAt     time.Time
		restoredAt   time.Time
		distrustedAt time.Time
		usedAt       time.Time
	}
)

// EnforceAllotments makes Reserve keep the allotments of tenants. It must be called before the first request.
func (permits *Permits) EnforceAllotments(limits policy.AllotmentLimits) {
	permits.limits = &limits
}

// registerAllotments adds the peer methods of allotments.
func (permits *Permits) registerAllotments(server *frame.Server) {
	if permits.limits == nil {
		return
	}
	frame.Handle(server, MethodAccount, func(_ context.Context, account *Account) (*AccountReply, error) {
		return permits.applyAccount(account), nil
	})
	frame.Handle(server, MethodView, func(context.Context, *Empty) (*ViewNumber, error) {
		return &ViewNumber{Number: permits.board.Membership().View().Number}, nil
	})
	frame.Handle(server, MethodRevoke, func(_ context.Context, revocation *Revocation) (*Empty, error) {
		permits.applyRevocation(revocation)
		return new(Empty), nil
	})
	frame.Handle(server, MethodDistrust, func(_ context.Context, distrust *Distrust) (*Empty, error) {
		permits.applyDistrust(distrust.Home)
		return new(Empty), nil
	})
}

// Reserve reports whether a request of a tenant may run now, and otherwise after what time one may. It asks
// the tenant's home unless the home's last reply allows the request. If the home can't be asked, this entry
// uses its own part of the allotment. A nil tenant and one without a rate have no limit.
func (permits *Permits) Reserve(ctx context.Context, tenant *operator.Tenant) (granted bool, wait time.Duration) {
	if permits.limits == nil || tenant == nil || !(tenant.RatePerSecond > 0) {
		return true, 0
	}
	permits.observe()
	decision, way, err := permits.reserve(ctx, tenant)
	if err != nil {
		if ctx.Err() != nil {
			return false, 0
		}
		decision, way = permits.reserveSeparately(tenant), waySeparate
	}
	result := resultRefused
	if decision.Granted {
		result = resultGranted
	}
	permits.allotments.WithLabelValues(result, way).Inc()
	return decision.Granted, decision.Wait
}

// Return takes back a reservation of a request that hasn't run.
func (permits *Permits) Return(tenant string) {
	if permits.limits == nil {
		return
	}
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	used := permits.usages[tenant]
	home, found := permits.tenantHome(tenant)
	if used == nil || !found || !used.countedBy(&home) || !used.separateAt.IsZero() && now.Sub(used.separateAt) < returnSpan {
		return
	}
	used.total--
	used.usedAt = now
	permits.scheduleReport(tenant, &home, reportDelay)
}

// reserve decides by the home's last reply, or asks the home.
func (permits *Permits) reserve(ctx context.Context, tenant *operator.Tenant) (decision Grant, way string, err error) {
	for retries := 0; ; retries++ {
		home, found := permits.tenantHome(tenant.Name)
		if !found {
			return Grant{}, "", errNotHome
		}
		decided, report, err := permits.decideByCredit(tenant, &home)
		if err != nil {
			return Grant{}, "", err
		}
		if report == nil {
			return decided, wayCredit, nil
		}
		grant, err := permits.account(ctx, &home, []UsageReport{*report})
		switch {
		case err != nil:
			return Grant{}, "", err
		case !grant[0].NotHome:
			return grant[0], wayAsked, nil
		case retries >= unsureHomeRetries:
			permits.avoidHome(&home, errNotHome)
			return Grant{}, "", errNotHome
		}
		select {
		case <-ctx.Done():
			return Grant{}, "", ctx.Err()
		case <-time.After(unsureHomeDelay):
		}
	}
}

// decideByCredit decides without asking if the home's last reply allows it. Otherwise it returns the report
// to ask with.
func (permits *Permits) decideByCredit(tenant *operator.Tenant, home *membership.Member) (Grant, *UsageReport, error) {
	isSelf := home.ID == permits.self
	reachable := isSelf || permits.client(home.PeerAddress).Reachable()
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	permits.sweep(now)
	used := permits.usage(tenant.Name, home)
	used.usedAt = now
	switch {
	case now.Before(used.refusedUntil):
		return Grant{Wait: used.refusedUntil.Sub(now)}, nil, nil
	case now.Before(permits.link(home.PeerAddress).avoidUntil):
		return Grant{}, nil, frame.ErrNotSent
	case !isSelf && reachable && used.total-used.confirmed < int64(used.credit) && lasts(used.creditFrom, now) && !permits.board.InForce().Fenced():
		used.total++
		permits.scheduleReport(tenant.Name, home, reportDelay)
		return Grant{Granted: true}, nil, nil
	}
	report := used.report(tenant.Name)
	report.Ask = true
	return Grant{}, &report, nil
}

// lasts reports whether a credit from a time is still valid, by the monotonic and the wall clock, because
// either may have stopped while the VM was frozen.
func lasts(from, now time.Time) bool {
	return now.Sub(from) < creditSpan && now.Round(0).Sub(from.Round(0)) < creditSpan
}

// reserveSeparately decides by this entry's own part of the allotment.
func (permits *Permits) reserveSeparately(tenant *operator.Tenant) Grant {
	entries := len(permits.board.Membership().View().Members)
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	used := permits.usages[tenant.Name]
	if used == nil {
		used = new(usage)
		permits.usages[tenant.Name] = used
	}
	used.usedAt = now
	granted, wait := used.separate.Take(permits.limits.SeparateRate(tenant.RatePerSecond, max(0, tenant.Burst)), entries, rand.Float64(), now)
	if granted {
		used.separateAt = now
	}
	return Grant{Granted: granted, Wait: wait}
}

// account sends reports to a home, or applies them if this entry is the home, and follows the reply.
func (permits *Permits) account(ctx context.Context, home *membership.Member, reports []UsageReport) ([]Grant, error) {
	sent := &Account{Entry: permits.self, Reports: reports}
	calledAt := time.Now()
	reply, err := permits.callHome(ctx, home, sent)
	if err == nil && len(reply.Grants) != len(reports) {
		err = errors.New("the reply doesn't have one grant for each report; check the release of the home")
	}
	if err != nil {
		if ctx.Err() == nil {
			permits.avoidHome(home, err)
		}
		return nil, err
	}
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	for index := range reports {
		grant := &reply.Grants[index]
		used := permits.usages[reports[index].Tenant]
		if used == nil || used.session != reports[index].Session || grant.NotHome {
			continue
		}
		if reports[index].Sequence > used.confirmedSequence {
			used.confirmed, used.confirmedSequence = reports[index].Total, reports[index].Sequence
		}
		used.credit, used.creditFrom = grant.Credit, calledAt
		if reply.Order < used.revokedOrder {
			used.credit = 0
		}
		if reports[index].Ask && !grant.Granted {
			used.refusedUntil = now.Add(min(maximumSilence, max(0, grant.Wait)))
		}
	}
	permits.restored(home, now)
	return reply.Grants, nil
}

func (permits *Permits) callHome(ctx context.Context, home *membership.Member, sent *Account) (*AccountReply, error) {
	if home.ID == permits.self {
		return permits.applyAccount(sent), nil
	}
	callContext, cancel := context.WithTimeout(ctx, accountTimeout)
	defer cancel()
	return frame.Call[Account, AccountReply](callContext, permits.client(home.PeerAddress), MethodAccount, sent)
}

// scheduleReport makes the report on a tenant be sent to its home, together with others. The lock must be held.
func (permits *Permits) scheduleReport(tenant string, home *membership.Member, delay time.Duration) {
	link := permits.link(home.PeerAddress)
	if link.reports != nil {
		link.reports[tenant] = true
		return
	}
	link.reports = map[string]bool{tenant: true}
	sentTo := *home
	time.AfterFunc(delay, func() { permits.sendReports(&sentTo) })
}

// sendReports sends the collected reports to a home. After a failure they are sent again for a window, while this
// entry believes that the home is one: the totals in them tell the home what it has already counted. Later,
// requests that were admitted before a window have no effect on the bound, and the next question holds their total.
func (permits *Permits) sendReports(home *membership.Member) {
	permits.lock.Lock()
	link := permits.link(home.PeerAddress)
	var reports []UsageReport
	for _, tenant := range slices.Sorted(maps.Keys(link.reports)) {
		if used := permits.usages[tenant]; used != nil && used.countedBy(home) && used.total != used.confirmed {
			reports = append(reports, used.report(tenant))
		}
	}
	link.reports = nil
	permits.lock.Unlock()
	if len(reports) == 0 {
		return
	}
	if _, err := permits.account(context.Background(), home, reports); err == nil {
		return
	}
	permits.lock.Lock()
	defer permits.lock.Unlock()
	for index := range reports {
		current, found := permits.tenantHome(reports[index].Tenant)
		used := permits.usages[reports[index].Tenant]
		if found && current.ID == home.ID && used != nil && used.countedBy(&current) && time.Since(used.usedAt) < permits.limits.Window {
			permits.scheduleReport(reports[index].Tenant, home, homeRetryDelay)
		}
	}
}

// applyRevocation follows the word of a home that this entry has to ask.
func (permits *Permits) applyRevocation(revocation *Revocation) {
	permits.lock.Lock()
	defer permits.lock.Unlock()
	for _, tenant := range revocation.Tenants {
		home, found := permits.tenantHome(tenant)
		if !found || home.ID != revocation.Home {
			continue
		}
		used := permits.usage(tenant, &home)
		used.credit, used.revokedOrder = 0, max(used.revokedOrder, revocation.Order)
		if used.usedAt.IsZero() {
			used.usedAt = time.Now()
		}
	}
}

// applyDistrust makes this entry ask a home that didn't reply to another entry. If the home was lost, each
// entry would otherwise use up its credit first, which many entries together can't be allowed.
func (permits *Permits) applyDistrust(home string) {
	view := permits.board.Membership().View()
	member, found := view.Member(home)
	if !found {
		return
	}
	permits.lock.Lock()
	defer permits.lock.Unlock()
	permits.link(member.PeerAddress).distrustedAt = time.Now()
	permits.dropCredits(home)
}

// dropCredits makes this entry ask a home before each request. The lock must be held.
func (permits *Permits) dropCredits(home string) {
	for _, used := range permits.usages {
		if used.home == home {
			used.credit = 0
		}
	}
}

// avoidHome records that a home didn't reply. If it did before, the other entries are told.
func (permits *Permits) avoidHome(home *membership.Member, cause error) {
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	link := permits.link(home.PeerAddress)
	link.avoidUntil = now.Add(homeRetryDelay)
	permits.dropCredits(home.ID)
	if link.fallen {
		return
	}
	link.fallen = true
	if now.Sub(link.loggedAt) >= fallbackLogInterval {
		link.loggedAt = now
		permits.logger.Warn("home of tenants doesn't count their requests; using this entry's own parts of their allotments",
			zap.String("home", home.ID), zap.Error(cause))
	}
	if home.ID == permits.self || now.Sub(link.distrustedAt) < distrustInterval {
		return
	}
	link.distrustedAt = now
	for _, member := range permits.board.Membership().View().Members {
		if member.ID == permits.self || member.ID == home.ID {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), accountTimeout)
			defer cancel()
			// A notice that is lost leaves the other entry to find out by itself.
			_, _ = frame.Call[Distrust, Empty](ctx, permits.client(member.PeerAddress), MethodDistrust, &Distrust{Home: home.ID})
		}()
	}
}

// restored records that a home replied. The lock must be held.
func (permits *Permits) restored(home *membership.Member, now time.Time) {
	link := permits.link(home.PeerAddress)
	if !link.fallen {
		return
	}
	link.fallen, link.avoidUntil = false, time.Time{}
	// The line is left out if the one before it was.
	if now.Sub(link.loggedAt) < fallbackLogInterval || link.restoredAt.Before(link.loggedAt) {
		link.restoredAt = now
		permits.logger.Info("home of tenants counts their requests again", zap.String("home", home.ID))
	}
}

// usage returns what this entry knows of a tenant under its present home. The lock must be held.
func (permits *Permits) usage(tenant string, home *membership.Member) *usage {
	used := permits.usages[tenant]
	if used == nil {
		used = new(usage)
		permits.usages[tenant] = used
	}
	if !used.countedBy(home) {
		now := time.Now()
		lastUsedAt := used.usedAt
		*used = usage{home: home.ID, incarnation: home.Incarnation, session: rand.Uint64(), separate: used.separate, separateAt: used.separateAt}
		if now.Sub(lastUsedAt) >= permits.limits.Window && permits.mayUseFirstCredit(tenant, now) {
			used.credit, used.creditFrom = firstCredit, now
		}
	}
	return used
}

// mayUseFirstCredit reports whether an entry may admit the first request of a tenant in a while before the home
// has counted anything of it. Only so many entries do that as the tolerance covers, because they may be cut off
// from the home, or all have just started.
func (permits *Permits) mayUseFirstCredit(tenant string, now time.Time) bool {
	tables, _ := permits.board.InForce().Tables()
	for index := range tables.Tenants {
		if limited := &tables.Tenants[index]; limited.Name == tenant {
			tolerance := permits.limits.Tolerance(limited.RatePerSecond, max(0, limited.Burst))
			covered := policy.AllotmentFirstCredits(tolerance, now.Sub(permits.createdAt) < 2*permits.limits.Window)
			return rand.Float64()*float64(max(1, len(permits.board.Membership().View().Members))) < covered
		}
	}
	return false
}

func (used *usage) countedBy(home *membership.Member) bool {
	return used.home == home.ID && used.incarnation == home.Incarnation
}

// report returns the next report on a tenant.
func (used *usage) report(tenant string) UsageReport {
	used.sequence++
	return UsageReport{Tenant: tenant, Session: used.session, Sequence: used.sequence, Total: used.total, Confirmed: used.confirmed}
}

// link returns what this entry knows of the way to a home. The lock must be held.
func (permits *Permits) link(address string) *homeLink {
	link := permits.links[address]
	if link == nil {
		link = new(homeLink)
		permits.links[address] = link
	}
	link.usedAt = time.Now()
	return link
}

func (permits *Permits) tenantHome(tenant string) (membership.Member, bool) {
	return permits.board.Membership().Placement().Home(tenantPrefix+tenant, "")
}

// sweepAllotments removes what this entry hasn't used lately. The lock must be held.
func (permits *Permits) sweepAllotments(now time.Time) {
	maps.DeleteFunc(permits.usages, func(_ string, used *usage) bool {
		return now.Sub(used.usedAt) >= creditSpan
	})
	maps.DeleteFunc(permits.links, func(_ string, link *homeLink) bool {
		return link.reports == nil && now.Sub(link.usedAt) >= creditSpan
	})
	for _, counted := range permits.accounts {
		maps.DeleteFunc(counted.holders, func(_ string, holder *holder) bool { return now.After(holder.creditUntil) })
	}
}
