// The home's side of allotments: it counts the requests of a tenant at all entries, and tells entries
// when they have to ask before each request.

package permit

import (
	"context"
	"maps"
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// MethodAccount is the peer method that reports admitted requests of tenants to their home, and asks
	// it for further ones.
	MethodAccount = "permit.account"
	// MethodRevoke is the peer method by which a home tells an entry that it has to ask before each
	// request of some tenants.
	MethodRevoke = "permit.revoke"

	// tenantPrefix begins the name by which the home of a tenant is chosen.
	tenantPrefix = "tenant:"
	// floodFactor is the multiple of its rate that a tenant is supposed to send at worst to entries that
	// don't reply.
	floodFactor = 4
	// maximumReported bounds the change of one count in a message, so that a damaged one doesn't refuse a
	// tenant for longer than some minutes.
	maximumReported = 10_000
)

type (
	// Account reports the requests of several tenants at one entry to their home.
	Account struct {
		Entry   string        `msgpack:"e"`
		Reports []UsageReport `msgpack:"r"`
	}

	// UsageReport tells how many requests of a tenant an entry has admitted without asking.
	UsageReport struct {
		Tenant string `msgpack:"t"`
		// Session identifies the entry's count among those that it kept for the tenant, and Sequence
		// orders the reports of one count.
		Session  uint64 `msgpack:"s"`
		Sequence uint64 `msgpack:"q"`
		// Total is the number of admitted requests since the begin of the session, without those that were
		// asked for and less those that haven't run. Confirmed is the part of it that a reply has confirmed.
		// As the home takes the difference from the last report, a report that is lost or arrives twice
		// changes nothing.
		Total     int64 `msgpack:"n"`
		Confirmed int64 `msgpack:"c"`
		// Ask asks for one further request.
		Ask bool `msgpack:"a,omitempty"`
	}

	// AccountReply holds one grant for each report, in the same order.
	AccountReply struct {
		Grants []Grant `msgpack:"g"`
		// Order orders the replies and revocations of one home.
		Order uint64 `msgpack:"o"`
	}

	// Grant is the reply to a UsageReport.
	Grant struct {
		// NotHome is true if the asked entry is not the tenant's home; the report has had no effect then.
		NotHome bool `msgpack:"h,omitempty"`
		Granted bool `msgpack:"g,omitempty"`
		// Wait is the time until the next request can be granted, if this one wasn't.
		Wait time.Duration `msgpack:"w,omitempty"`
		// Credit is the number of requests that the entry may admit before its report on them has been
		// answered; if it is zero, the entry has to ask before each one.
		Credit int `msgpack:"c,omitempty"`
	}

	// Revocation withdraws the credit for some tenants.
	Revocation struct {
		Home    string   `msgpack:"h"`
		Tenants []string `msgpack:"t"`
		Order   uint64   `msgpack:"o"`
	}

	// Empty is a reply without content.
	Empty struct{}

	// account is the count of one tenant's requests at its home.
	account struct {
		allotment policy.Allotment
		perSecond float64
		// charged is what was counted for entries that couldn't be told to ask, since the bucket became low.
		charged float64
		// alerted is true if all entries have been told to ask since the bucket became low.
		alerted bool
		// started is true once no other entry counts the tenant's requests any more.
		started bool
		holders map[string]*holder
	}

	// holder is an entry that has reported requests of the tenant.
	holder struct {
		session, sequence uint64
		total             int64
		credit            int
		// creditUntil is when the credit ends, with a margin.
		creditUntil time.Time
	}
)

// applyAccount counts the reports of an entry and decides on what it asks for.
func (permits *Permits) applyAccount(received *Account) *AccountReply {
	permits.observe()
	fenced := permits.board.InForce().Fenced() && !permits.confirmsHome()
	permits.lock.Lock()
	reply := &AccountReply{Grants: make([]Grant, len(received.Reports))}
	revoked := map[string]map[string]int{}
	for index := range received.Reports {
		report := &received.Reports[index]
		counted := permits.accounts[report.Tenant]
		switch {
		case fenced || !permits.isHome(report.Tenant):
			reply.Grants[index] = Grant{NotHome: true}
		case counted == nil:
			// The home's tables have no limit for this tenant.
			reply.Grants[index] = Grant{Granted: true}
		default:
			reply.Grants[index] = counted.apply(received.Entry, report, time.Now())
			if received.Entry == permits.self {
				// The home asks itself each time, at no cost.
				counted.holders[received.Entry].credit = 0
			}
			for entry, credit := range counted.revoke(permits.board.Membership().View().Members, time.Now()) {
				if revoked[entry] == nil {
					revoked[entry] = map[string]int{}
				}
				revoked[entry][report.Tenant] = credit
			}
		}
	}
	permits.order++
	reply.Order = permits.order
	order := permits.order
	permits.lock.Unlock()
	for entry, credits := range revoked {
		permits.sendRevocation(entry, credits, order)
	}
	return reply
}

// apply counts a report and decides on its question.
func (account *account) apply(entry string, report *UsageReport, now time.Time) Grant {
	reporter := account.holders[entry]
	if reporter == nil || reporter.session != report.Session {
		reporter = &holder{session: report.Session, total: report.Confirmed}
		account.holders[entry] = reporter
	}
	if report.Sequence > reporter.sequence {
		change := min(maximumReported, max(-maximumReported, report.Total-reporter.total))
		account.allotment.Count(float64(change), now)
		reporter.sequence, reporter.total = report.Sequence, report.Total
	}
	grant := Grant{}
	if report.Ask {
		grant.Granted, grant.Wait = account.allotment.Take(now)
	}
	if account.started {
		grant.Credit = account.allotment.Credit(len(account.holders), now)
	}
	reporter.credit, reporter.creditUntil = grant.Credit, now.Add(creditSpan+creditMargin)
	return grant
}

// revoke takes the credit from all entries if the bucket is low, and returns the credits of those that have to
// be told, by entry. Once for each time that the bucket becomes low, these are all entries, because each may have
// a first credit.
func (account *account) revoke(members []membership.Member, now time.Time) map[string]int {
	if account.started && !account.allotment.Low(now) {
		account.charged, account.alerted = 0, false
		return nil
	}
	credits := map[string]int{}
	if account.started && !account.alerted {
		account.alerted = true
		for index := range members {
			if account.holders[members[index].ID] == nil {
				credits[members[index].ID] = firstCredit
			}
		}
	}
	for entry, holder := range account.holders {
		if holder.credit > 0 && now.Before(holder.creditUntil) {
			credits[entry] = holder.credit
		}
		holder.credit = 0
	}
	return credits
}

// sendRevocation tells an entry to ask before each request of the tenants in credits.
func (permits *Permits) sendRevocation(entry string, credits map[string]int, order uint64) {
	view := permits.board.Membership().View()
	member, found := view.Member(entry)
	if !found {
		return
	}
	revocation := &Revocation{Home: permits.self, Tenants: slices.Sorted(maps.Keys(credits)), Order: order}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), accountTimeout)
		defer cancel()
		if _, err := frame.Call[Revocation, Empty](ctx, permits.client(member.PeerAddress), MethodRevoke, revocation); err != nil {
			permits.charge(credits)
		}
	}()
}

// charge counts the credits of an entry that couldn't be told to ask, because it may be cut off and use them
// until it hears from others that it is; see Permits.avoidHome. What is counted while a bucket is low is bounded
// by what a flood may bring in that time, so that a tenant below its rate isn't refused for long.
func (permits *Permits) charge(credits map[string]int) {
	permits.lock.Lock()
	defer permits.lock.Unlock()
	for tenant, credit := range credits {
		if counted := permits.accounts[tenant]; counted != nil {
			charged := min(float64(credit), floodFactor*counted.perSecond*accountTimeout.Seconds()-counted.charged)
			counted.charged += charged
			counted.allotment.Count(charged, time.Now())
		}
	}
}

// observe follows the view and the tables: this entry keeps an account for each limited tenant whose home
// it is, from the time at which it becomes the home, so that the bucket of an idle tenant is full when
// its requests come.
func (permits *Permits) observe() {
	if permits.limits == nil {
		return
	}
	tables, version := permits.board.InForce().Tables()
	placement := permits.board.Membership().Placement()
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	number := placement.View().Number
	if number != permits.viewNumber || version != permits.tablesVersion {
		permits.replaceAccounts(tables.Tenants, placement, now)
		permits.viewNumber, permits.tablesVersion = number, version
	}
	if permits.unstarted == 0 {
		return
	}
	permits.unstarted = 0
	for tenant, counted := range permits.accounts {
		if !counted.started && permits.board.Membership().MayUse(permits.self, tenantPrefix+tenant, "") {
			counted.started = true
			counted.allotment.Start(now)
		}
		if !counted.started {
			permits.unstarted++
		}
	}
}

// replaceAccounts keeps the accounts of the tenants whose home this entry is. The lock must be held.
func (permits *Permits) replaceAccounts(tenants []operator.Tenant, placement *membership.Placement, now time.Time) {
	view := placement.View()
	// Another entry may have been the home in a view that this entry hasn't seen.
	missedView := view.Number > permits.viewNumber+1
	kept := make(map[string]*account, len(permits.accounts))
	for index := range tenants {
		tenant := &tenants[index]
		home, found := placement.Home(tenantPrefix+tenant.Name, "")
		if !found || home.ID != permits.self || !isRate(tenant.RatePerSecond) || tenant.RatePerSecond == 0 {
			continue
		}
		counted := permits.accounts[tenant.Name]
		if counted == nil {
			counted = &account{holders: map[string]*holder{}}
			permits.unstarted++
		} else if missedView {
			counted.allotment.Restart(now)
		}
		counted.perSecond = tenant.RatePerSecond
		counted.allotment.SetLimit(tenant.RatePerSecond, max(0, tenant.Burst), permits.limits, now)
		maps.DeleteFunc(counted.holders, func(entry string, _ *holder) bool {
			_, found := view.Member(entry)
			return !found
		})
		kept[tenant.Name] = counted
	}
	permits.accounts = kept
}

// isHome reports whether this entry is the home of a tenant under the newest view.
func (permits *Permits) isHome(tenant string) bool {
	home, found := permits.board.Membership().Placement().Home(tenantPrefix+tenant, "")
	return found && home.ID == permits.self
}
