package tier_test

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// questions is how often an entry is asked for addresses in one check.
	questions = 300
)

// ask returns the addresses that an entry names in many answers, in order.
func ask(expect gomega.Gomega, started *tier.Tier, entry *tier.Process, times int) [][]string {
	client := started.Client(entry)
	defer client.Close()
	var answers [][]string
	for range times {
		addresses, err := client.Addresses(context.Background())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(addresses.MaxAge.Std()).To(gomega.Equal(settings.DefaultAddressMaxAge))
		answers = append(answers, addresses.Entries)
	}
	return answers
}

// namedFirst counts the answers that name one address before another.
func namedFirst(answers [][]string, address, other string) int {
	first := 0
	for _, answer := range answers {
		at, otherAt := slices.Index(answer, address), slices.Index(answer, other)
		if at >= 0 && (otherAt < 0 || at < otherAt) {
			first++
		}
	}
	return first
}

func domainNumber(address string) string {
	return strings.Split(address, ".")[1]
}

// change changes the tables that were applied last, and returns when all
// entries have them.
func change(expect gomega.Gomega, started *tier.Tier, id string, edit func(tables *operator.Tables)) {
	history, err := started.Control().Tables(context.Background(), 0)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	tables := history.Tables
	edit(&tables)
	_, err = started.Control().Change(context.Background(), &operator.Change{ID: id, Base: history.Version, Tables: tables})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
}

var _ = ginkgo.Describe("the addresses for callers", func() {
	ginkgo.It("spread callers over entries and failure domains", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			entries := load.tier.Entries()
			for _, asked := range entries {
				answers := ask(expect, load.tier, asked, questions)
				firsts := map[string]int{}
				for _, answer := range answers {
					expect.Expect(answer).To(gomega.HaveLen(4))
					domains := map[string]bool{}
					for _, address := range answer[:3] {
						domains[domainNumber(address)] = true
					}
					expect.Expect(domains).To(gomega.HaveLen(3), "%v", answer)
					firsts[answer[0]]++
				}
				for _, named := range entries {
					// An even share is 50 with a standard deviation of 6.5.
					expect.Expect(firsts[named.Settings().HTTPAddress]).To(gomega.BeNumerically("~", questions/6, 33), "%s of %v", named.Settings().Name, firsts)
				}
			}
		})
	})

	ginkgo.It("name a busy entry less often, also at itself", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for _, slowed := range load.tier.Targets() {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.Work = func(*target.Run) time.Duration { return 20 * time.Second }
				})
			}
			for range 20 {
				request := search("long")
				request.RunsPerShard, request.Timeout = 1, duration.Of(30*time.Second)
				load.send(0, request)
			}
			// Each entry compares itself with one of five others a second.
			time.Sleep(10 * time.Second)
			busy, neighbour := load.tier.Entries()[0].Settings().HTTPAddress, load.tier.Entries()[1].Settings().HTTPAddress
			for _, asked := range load.tier.Entries() {
				answers := ask(expect, load.tier, asked, questions)
				expect.Expect(namedFirst(answers, busy, neighbour)).To(gomega.BeNumerically("<=", questions/5), "at %s", asked.Settings().Name)
			}
			load.running.Wait()
		})
	})

	ginkgo.It("are served until their max-age by an entry that stops, and don't name it once it has withdrawn", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			stopping := load.tier.Entries()[0]
			address := stopping.Settings().HTTPAddress
			stopped := make(chan error, 1)
			begun := time.Now()
			go func() { stopped <- load.tier.StopProcess(context.Background(), stopping) }()
			lastNamed, sent := begun, 0
			for time.Since(begun) < control.LeaseDuration+settings.DefaultAddressMaxAge {
				for _, asked := range load.tier.Entries()[1:] {
					if slices.ContainsFunc(ask(expect, load.tier, asked, 5), func(answer []string) bool { return slices.Contains(answer, address) }) {
						lastNamed = time.Now()
					}
				}
				if time.Since(lastNamed) < settings.DefaultAddressMaxAge*99/100 {
					load.send(0, search("old list "+time.Now().String()))
					sent++
				}
				time.Sleep(20 * time.Millisecond)
			}
			load.running.Wait()
			expect.Expect(<-stopped).To(gomega.Succeed())
			expect.Expect(lastNamed.Sub(begun)).To(gomega.BeNumerically("<=", control.LeaseDuration))
			expect.Expect(load.failures).To(gomega.BeEmpty())
			expect.Expect(load.refusals).To(gomega.BeEmpty())
			expect.Expect(load.complete()).To(gomega.Equal(sent))
		})
	})

	ginkgo.It("name an entry that starts only once it knows the targets", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for range 3 {
				restarted := load.tier.Entries()[0]
				address := restarted.Settings().HTTPAddress
				expect.Expect(load.tier.StopProcess(context.Background(), restarted)).To(gomega.Succeed())
				expect.Expect(load.tier.StartProcess(context.Background(), restarted)).To(gomega.Succeed())
				named := func() bool {
					return slices.ContainsFunc(load.tier.Entries()[1:], func(asked *tier.Process) bool {
						return slices.ContainsFunc(ask(expect, load.tier, asked, 5), func(answer []string) bool { return slices.Contains(answer, address) })
					})
				}
				begun := time.Now()
				for !named() {
					expect.Expect(time.Since(begun)).To(gomega.BeNumerically("<=", recovery))
					time.Sleep(10 * time.Millisecond)
				}
				load.reset()
				load.send(0, search("at once"))
				load.running.Wait()
				expect.Expect(load.refusals).To(gomega.BeEmpty())
				expect.Expect(load.complete()).To(gomega.Equal(1))
			}
		})
	})

	ginkgo.It("don't name a fenced entry, nor entries of a failure domain that is out, until they return", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			names := func(address string) []string {
				var naming []string
				for _, asked := range load.tier.Entries() {
					if asked.Settings().HTTPAddress == address {
						continue
					}
					if slices.ContainsFunc(ask(expect, load.tier, asked, questions/6), func(answer []string) bool { return slices.Contains(answer, address) }) {
						naming = append(naming, asked.Settings().Name)
					}
				}
				return naming
			}
			cutOff := load.tier.Entries()[2]
			each := func(do func(from, to string)) {
				for _, replica := range load.tier.Replicas() {
					do(cutOff.IP(), replica.IP())
					do(replica.IP(), cutOff.IP())
				}
			}
			each(load.network.Cut)
			time.Sleep(recovery)
			expect.Expect(names(cutOff.Settings().HTTPAddress)).To(gomega.BeEmpty())
			client := load.tier.Client(cutOff)
			defer client.Close()
			_, err := client.Send(context.Background(), file("at a fenced entry"))
			var refusal *caller.Refusal
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
			expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
			expect.Expect(refusal.Entries).NotTo(gomega.BeEmpty())
			expect.Expect(refusal.Entries).NotTo(gomega.ContainElement(cutOff.Settings().HTTPAddress))
			each(load.network.Heal)
			time.Sleep(recovery)
			expect.Expect(names(cutOff.Settings().HTTPAddress)).To(gomega.HaveLen(5))

			change(expect, load.tier, "out", func(tables *operator.Tables) { tables.FailureDomainsOut = []string{"nord"} })
			time.Sleep(recovery)
			for _, out := range load.tier.Entries()[:2] {
				expect.Expect(names(out.Settings().HTTPAddress)).To(gomega.BeEmpty())
			}
			// An old list leads to an entry that is out.
			time.Sleep(settings.DefaultAddressMaxAge)
			old := load.tier.Client(load.tier.Entries()[0])
			defer old.Close()
			_, err = old.Send(context.Background(), search("at an entry that is out"))
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
			expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
			expect.Expect(refusal.Entries).NotTo(gomega.BeEmpty())
			for _, named := range refusal.Entries {
				expect.Expect(domainNumber(named)).NotTo(gomega.Equal("1"))
			}
			change(expect, load.tier, "back", func(tables *operator.Tables) { tables.FailureDomainsOut = nil })
			time.Sleep(recovery)
			for _, back := range load.tier.Entries()[:2] {
				expect.Expect(names(back.Settings().HTTPAddress)).To(gomega.HaveLen(5))
			}
		})
	})
})
