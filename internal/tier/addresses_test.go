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
	// addressQueries is the number of address queries to an entry in one check.
	addressQueries = 300
)

// queryAddresses queries an entry's addresses repeatedly and returns the ordered list of each
// answer.
func queryAddresses(expect gomega.Gomega, started *tier.Tier, entry *tier.Process, times int) [][]string {
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

// countListedBefore counts the answers that list one address ahead of another.
func countListedBefore(answers [][]string, address, other string) int {
	count := 0
	for _, answer := range answers {
		index, otherIndex := slices.Index(answer, address), slices.Index(answer, other)
		if index >= 0 && (otherIndex < 0 || index < otherIndex) {
			count++
		}
	}
	return count
}

func domainOctet(address string) string {
	return strings.Split(address, ".")[1]
}

// changeTables applies an edited copy of the newest tables. It returns when control
// has accepted it; entries may act on it later.
func changeTables(expect gomega.Gomega, started *tier.Tier, id string, edit func(tables *operator.Tables)) {
	history, err := started.Control().Tables(context.Background(), 0)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	tables := history.Tables
	edit(&tables)
	_, err = started.Control().Change(context.Background(), &operator.Change{ID: id, Base: history.Version, Tables: tables})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
}

var _ = ginkgo.Describe("the addresses for callers", func() {
	ginkgo.It("distribute callers over entries and failure domains", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			entries := load.tier.Entries()
			for _, asked := range entries {
				answers := queryAddresses(expect, load.tier, asked, addressQueries)
				firstCounts := map[string]int{}
				for _, answer := range answers {
					expect.Expect(answer).To(gomega.HaveLen(4))
					domains := map[string]bool{}
					for _, address := range answer[:3] {
						domains[domainOctet(address)] = true
					}
					expect.Expect(domains).To(gomega.HaveLen(3), "%v", answer)
					firstCounts[answer[0]]++
				}
				for _, listed := range entries {
					// The expected count is 50, with a standard deviation of 6.5.
					expect.Expect(firstCounts[listed.Settings().HTTPAddress]).To(gomega.BeNumerically("~", addressQueries/6, 33), "%s of %v", listed.Settings().Name, firstCounts)
				}
			}
		})
	})

	ginkgo.It("rank a busy entry lower, in its own answers too", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for _, slowed := range load.tier.Targets() {
				slowed.Behave(func(behaviour *standin.Behaviour) {
					behaviour.RunDuration = func(*target.Run) time.Duration { return 20 * time.Second }
				})
			}
			for range 20 {
				request := newSearch("long")
				request.RunsPerShard, request.Timeout = 1, duration.Of(30*time.Second)
				load.send(0, request)
			}
			// Each second, an entry compares its load with one of the other five.
			time.Sleep(10 * time.Second)
			busy, neighbour := load.tier.Entries()[0].Settings().HTTPAddress, load.tier.Entries()[1].Settings().HTTPAddress
			for _, asked := range load.tier.Entries() {
				answers := queryAddresses(expect, load.tier, asked, addressQueries)
				expect.Expect(countListedBefore(answers, busy, neighbour)).To(gomega.BeNumerically("<=", addressQueries/5), "at %s", asked.Settings().Name)
			}
			load.running.Wait()
		})
	})

	ginkgo.It("stop listing a stopping entry, which still serves callers that hold older lists until those reach their max-age", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			stopping := load.tier.Entries()[0]
			address := stopping.Settings().HTTPAddress
			stopped := make(chan error, 1)
			start := time.Now()
			go func() { stopped <- load.tier.StopProcess(context.Background(), stopping) }()
			lastListed, sent := start, 0
			for time.Since(start) < control.LeaseDuration+settings.DefaultAddressMaxAge {
				for _, asked := range load.tier.Entries()[1:] {
					if slices.ContainsFunc(queryAddresses(expect, load.tier, asked, 5), func(answer []string) bool { return slices.Contains(answer, address) }) {
						lastListed = time.Now()
					}
				}
				if time.Since(lastListed) < settings.DefaultAddressMaxAge*99/100 {
					load.send(0, newSearch("old list "+time.Now().String()))
					sent++
				}
				time.Sleep(20 * time.Millisecond)
			}
			load.running.Wait()
			expect.Expect(<-stopped).To(gomega.Succeed())
			expect.Expect(lastListed.Sub(start)).To(gomega.BeNumerically("<=", control.LeaseDuration))
			expect.Expect(load.failures).To(gomega.BeEmpty())
			expect.Expect(load.refusals).To(gomega.BeEmpty())
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(sent))
		})
	})

	ginkgo.It("list a starting entry only once it has the directory of targets", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			for range 3 {
				restarted := load.tier.Entries()[0]
				address := restarted.Settings().HTTPAddress
				expect.Expect(load.tier.StopProcess(context.Background(), restarted)).To(gomega.Succeed())
				expect.Expect(load.tier.StartProcess(context.Background(), restarted)).To(gomega.Succeed())
				listed := func() bool {
					return slices.ContainsFunc(load.tier.Entries()[1:], func(asked *tier.Process) bool {
						return slices.ContainsFunc(queryAddresses(expect, load.tier, asked, 5), func(answer []string) bool { return slices.Contains(answer, address) })
					})
				}
				start := time.Now()
				for !listed() {
					expect.Expect(time.Since(start)).To(gomega.BeNumerically("<=", recoverySpan))
					time.Sleep(10 * time.Millisecond)
				}
				load.reset()
				load.send(0, newSearch("at once"))
				load.running.Wait()
				expect.Expect(load.refusals).To(gomega.BeEmpty())
				expect.Expect(load.completeAnswerCount()).To(gomega.Equal(1))
			}
		})
	})

	ginkgo.It("list neither fenced entries nor entries of a failure domain that is taken out, until they return", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			entriesListing := func(address string) []string {
				var listing []string
				for _, asked := range load.tier.Entries() {
					if asked.Settings().HTTPAddress == address {
						continue
					}
					if slices.ContainsFunc(queryAddresses(expect, load.tier, asked, addressQueries/6), func(answer []string) bool { return slices.Contains(answer, address) }) {
						listing = append(listing, asked.Settings().Name)
					}
				}
				return listing
			}
			cutOff := load.tier.Entries()[2]
			forEachControlLink := func(apply func(from, to string)) {
				for _, replica := range load.tier.Replicas() {
					apply(cutOff.IP(), replica.IP())
					apply(replica.IP(), cutOff.IP())
				}
			}
			forEachControlLink(load.network.Cut)
			time.Sleep(recoverySpan)
			expect.Expect(entriesListing(cutOff.Settings().HTTPAddress)).To(gomega.BeEmpty())
			client := load.tier.Client(cutOff)
			defer client.Close()
			_, err := client.Send(context.Background(), newFiling("at a fenced entry"))
			var refusal *caller.Refusal
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
			expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
			expect.Expect(refusal.Entries).NotTo(gomega.BeEmpty())
			expect.Expect(refusal.Entries).NotTo(gomega.ContainElement(cutOff.Settings().HTTPAddress))
			forEachControlLink(load.network.Heal)
			time.Sleep(recoverySpan)
			expect.Expect(entriesListing(cutOff.Settings().HTTPAddress)).To(gomega.HaveLen(5))

			changeTables(expect, load.tier, "out", func(tables *operator.Tables) { tables.FailureDomainsOut = []string{"nord"} })
			time.Sleep(recoverySpan)
			for _, outOfService := range load.tier.Entries()[:2] {
				expect.Expect(entriesListing(outOfService.Settings().HTTPAddress)).To(gomega.BeEmpty())
			}
			// A caller with an outdated list sends to an entry of the failure domain that is out.
			time.Sleep(settings.DefaultAddressMaxAge)
			outOfServiceClient := load.tier.Client(load.tier.Entries()[0])
			defer outOfServiceClient.Close()
			_, err = outOfServiceClient.Send(context.Background(), newSearch("at an entry that is out"))
			expect.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
			expect.Expect(refusal.Run).To(gomega.Equal(caller.NotRun))
			expect.Expect(refusal.Entries).NotTo(gomega.BeEmpty())
			for _, listed := range refusal.Entries {
				expect.Expect(domainOctet(listed)).NotTo(gomega.Equal("1"))
			}
			changeTables(expect, load.tier, "back", func(tables *operator.Tables) { tables.FailureDomainsOut = nil })
			time.Sleep(recoverySpan)
			for _, restored := range load.tier.Entries()[:2] {
				expect.Expect(entriesListing(restored.Settings().HTTPAddress)).To(gomega.HaveLen(5))
			}
		})
	})
})
