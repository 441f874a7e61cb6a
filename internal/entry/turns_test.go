package entry

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

func TestTurns(t *testing.T) {
	expect := gomega.NewWithT(t)
	var members []membership.Member
	for number := range 5 {
		members = append(members, membership.Member{ID: strconv.Itoa(number)})
	}
	turns := new(turns)
	for range 20 {
		had := map[string]bool{}
		for range members {
			had[turns.next(members).ID] = true
		}
		expect.Expect(had).To(gomega.HaveLen(len(members)))
	}
	for number := range members {
		// A member that leaves or joins within a round changes no other's turn.
		turns.next(members)
		members[number].ID += "-again"
	}
	expect.Expect(turns.next(members[:1]).ID).To(gomega.Equal("0-again"))
}
