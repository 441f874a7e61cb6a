package httptarget

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

var _ = ginkgo.Describe("the interface for targets of HTTP routes", func() {
	var (
		registry *Registry
		inGroup  bool
		server   *httptest.Server
		sender   *target.Announcer
	)

	ginkgo.BeforeEach(func() {
		registry, inGroup, sender = NewRegistry(1, zap.NewNop()), true, target.NewAnnouncer(nil)
		engine := web.NewEngine()
		NewAnnouncementAPI(registry, NewGroup(registry, func() []string { return nil }, nil, zap.NewNop()), func() bool { return inGroup }, nil).Register(engine)
		server = httptest.NewServer(engine)
		ginkgo.DeferCleanup(server.Close)
	})

	address := func() string { return strings.TrimPrefix(server.URL, "http://") }
	validAnnouncement := func() *target.HTTPAnnouncement {
		return &target.HTTPAnnouncement{Address: "10.0.0.1:80", Pool: "p", FailureDomain: "nord", Slots: 2, State: target.HTTPReady, StartedAt: 5, Revision: 1}
	}
	faultKind := func(err error) fault.Kind {
		var typed *fault.Error
		gomega.Expect(errors.As(err, &typed)).To(gomega.BeTrue(), "%v", err)
		return typed.Kind
	}

	ginkgo.It("accepts an announcement, a later state and the end of a target", func() {
		gomega.Expect(sender.AnnounceHTTP(context.Background(), address(), "t 1", validAnnouncement())).To(gomega.Succeed())
		leaving := validAnnouncement()
		leaving.Revision, leaving.State = 2, target.HTTPLeaving
		gomega.Expect(sender.AnnounceHTTP(context.Background(), address(), "t 1", leaving)).To(gomega.Succeed())
		records, _, _ := registry.changesSince(0)
		gomega.Expect(records).To(gomega.HaveLen(1))
		gomega.Expect(records[0].ID).To(gomega.Equal("t 1"))
		gomega.Expect(records[0].State).To(gomega.Equal(StateLeaving))
		gomega.Expect(sender.WithdrawHTTP(context.Background(), address(), "t 1")).To(gomega.Succeed())
		records, _, _ = registry.changesSince(0)
		gomega.Expect(records[0].State).To(gomega.Equal(StateGone))
	})

	ginkgo.DescribeTable("rejects an invalid announcement and stores nothing", func(invalidate func(*target.HTTPAnnouncement)) {
		invalid := validAnnouncement()
		invalidate(invalid)
		gomega.Expect(faultKind(sender.AnnounceHTTP(context.Background(), address(), "t", invalid))).To(gomega.Equal(fault.BadRequest))
		records, _, _ := registry.changesSince(0)
		gomega.Expect(records).To(gomega.BeEmpty())
	},
		ginkgo.Entry("no address", func(invalid *target.HTTPAnnouncement) { invalid.Address = "" }),
		ginkgo.Entry("a host name", func(invalid *target.HTTPAnnouncement) { invalid.Address = "desk.example:80" }),
		ginkgo.Entry("no pool", func(invalid *target.HTTPAnnouncement) { invalid.Pool = "" }),
		ginkgo.Entry("no slots", func(invalid *target.HTTPAnnouncement) { invalid.Slots = 0 }),
		ginkgo.Entry("a state that HTTP targets don't have", func(invalid *target.HTTPAnnouncement) { invalid.State = "warm" }),
		ginkgo.Entry("a start before 1970", func(invalid *target.HTTPAnnouncement) { invalid.StartedAt = -1 }),
	)

	ginkgo.It("refuses targets while the process doesn't belong to the group", func() {
		inGroup = false
		gomega.Expect(faultKind(sender.AnnounceHTTP(context.Background(), address(), "t", validAnnouncement()))).To(gomega.Equal(fault.Unavailable))
		gomega.Expect(faultKind(sender.WithdrawHTTP(context.Background(), address(), "t"))).To(gomega.Equal(fault.Unavailable))
	})

	ginkgo.It("rejects an unknown field", func() {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, server.URL+"/v1/http-targets/t", strings.NewReader(`{"addresses": "10.0.0.1:80"}`))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.Body.Close()).To(gomega.Succeed())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	})
})
