package policy_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func httpRoute(kind, host, prefix string) operator.Route {
	return operator.Route{Kind: kind, Pool: "pool-" + kind, HTTP: &operator.HTTPRoute{Host: host, PathPrefix: prefix}}
}

var _ = ginkgo.Describe("routes", func() {
	routes := policy.NewRoutes(&operator.Tables{Routes: []operator.Route{
		httpRoute("root", "a.example", "/"), httpRoute("orders", "a.example", "/orders/"), httpRoute("late", "a.example", "/orders/late/"),
		httpRoute("other", "b.example", "/orders/"), {Kind: "by-kind", Pool: "pool"},
	}})

	ginkgo.DescribeTable("are chosen by host and longest prefix",
		func(host, path, expected string) {
			route, found := routes.Match(host, path)
			if expected == "" {
				gomega.Expect(found).To(gomega.BeFalse())
				return
			}
			gomega.Expect(found).To(gomega.BeTrue())
			gomega.Expect(route.Kind).To(gomega.Equal(expected))
		},
		ginkgo.Entry("longest", "a.example", "/orders/late/7", "late"),
		ginkgo.Entry("shorter", "a.example", "/orders/7", "orders"),
		ginkgo.Entry("a prefix ends at a slash", "a.example", "/orderly/7", "root"),
		ginkgo.Entry("the prefix itself", "a.example", "/orders/", "orders"),
		ginkgo.Entry("the prefix without its slash", "a.example", "/orders", "root"),
		ginkgo.Entry("a port and capital letters in the host", "A.Example:8080", "/orders/late/", "late"),
		ginkgo.Entry("another host", "b.example", "/orders/late/7", "other"),
		ginkgo.Entry("no route of the host matches the path", "b.example", "/hides/", ""),
		ginkgo.Entry("unknown host", "c.example", "/orders/", ""),
		ginkgo.Entry("an asterisk instead of a path", "a.example", "*", ""),
	)

	ginkgo.It("distribute requests by weight", func() {
		split := []operator.WeightedPool{{Pool: "a", Weight: 1}, {Pool: "none", Weight: 0}, {Pool: "b", Weight: 3}}
		counts := map[string]int{}
		for step := range 1000 {
			counts[policy.SelectPool(split, float64(step)/1000)]++
		}
		gomega.Expect(counts).To(gomega.Equal(map[string]int{"a": 250, "b": 750}))
	})
})

// FuzzGreatest compares the result of MergeGreatest with the first records after
// sorting all of them.
func FuzzGreatest(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdefrest"), []byte("zzzzzzzzzzzzzzzz"), 2)
	f.Add([]byte{}, []byte("short"), 5)
	f.Fuzz(func(t *testing.T, first, second []byte, count int) {
		count = min(max(count, 0), 100)
		var records [][]byte
		for _, part := range [][]byte{first, second} {
			for start := 0; start+policy.RecordBytes <= len(part); start += policy.RecordBytes {
				records = append(records, part[start:start+policy.RecordBytes])
			}
		}
		slices.SortFunc(records, func(left, right []byte) int { return bytes.Compare(right, left) })
		expected := bytes.Join(records[:min(count, len(records))], nil)
		if merged := policy.MergeGreatest([][]byte{first, second}, count); !bytes.Equal(merged, expected) {
			t.Errorf("merged %q, expected %q", merged, expected)
		}
	})
}
