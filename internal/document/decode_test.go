package document_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/document"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

func TestDocument(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "document")
}

var _ = ginkgo.DescribeTable("a change of tables", func(data, problem string) {
	err := document.Decode([]byte(data), new(operator.Change))
	if problem == "" {
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return
	}
	gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(problem)))
},
	ginkgo.Entry("well formed", `{"id":"a","base":1,"tables":{"routes":[{"kind":"k","pool":"p"}],"pools":[{"name":"p","connect_timeout":"1s"}]}}`, ""),
	ginkgo.Entry("unknown nested field", `{"tables":{"pools":[{},{"slot":1}]}}`, "tables.pools[1].slot: the field is unknown"),
	ginkgo.Entry("duplicate nested field", `{"tables":{"pools":[{"slots":1,"slots":2}]}}`, "tables.pools[0].slots: the field stands twice"),
	ginkgo.Entry("duration without a unit", `{"tables":{"pools":[{"connect_timeout":5}]}}`, `tables.pools[0].connect_timeout: a duration is text with a unit; remedy: write it like "250ms"`),
	ginkgo.Entry("object instead of a list", `{"tables":{"pools":{}}}`, "tables.pools: a list belongs here"),
	ginkgo.Entry("negative number", `{"base":-1}`, "base: a number -1 stands where a uint64 belongs"),
	ginkgo.Entry("field name in the wrong case", `{"ID":"a"}`, "ID: the field is unknown"),
)

// FuzzDecode decodes arbitrary bytes as each document that a peer can send, and checks that
// an accepted document can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"t","address":"10.0.0.7:80","pool":"p","shards":2,"shard":1,"index_versions":[1,2],"ttl":"3s"}`))
	f.Add([]byte(`{"id":"a","base":1,"tables":{"failure_domains_out":["nord"],"routes":[],"pools":[{"cold":{"slots":1}}]}}`))
	f.Add([]byte(`{"tables":null,"tables":{}}`))
	f.Add([]byte(`[[[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, into := range []any{new(target.Announcement), new(operator.Change)} {
			if document.Decode(data, into) != nil {
				continue
			}
			encoded, err := json.Marshal(into)
			if err != nil {
				t.Fatal(err)
			}
			if err := document.Decode(encoded, into); err != nil {
				t.Fatalf("decode the encoded document %s: %v", encoded, err)
			}
		}
	})
}
