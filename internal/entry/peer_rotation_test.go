package entry

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

func TestPeerRotation(t *testing.T) {
	expect := gomega.NewWithT(t)
	var members []membership.Member
	for number := range 5 {
		members = append(members, membership.Member{ID: strconv.Itoa(number)})
	}
	peerRotation := new(peerRotation)
	for range 20 {
		visited := map[string]bool{}
		for range members {
			visited[peerRotation.next(members).ID] = true
		}
		expect.Expect(visited).To(gomega.HaveLen(len(members)))
	}
	for number := range members {
		// A member that leaves or joins within a round doesn't affect the turns
		// of the others.
		peerRotation.next(members)
		members[number].ID += "-again"
	}
	expect.Expect(peerRotation.next(members[:1]).ID).To(gomega.Equal("0-again"))
}
