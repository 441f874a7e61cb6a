package verb_test

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/internal/verb"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

var _ = ginkgo.Describe("the commands of docs/OPERATIONS.md", func() {
	ginkgo.It("exit with the documented codes", func(ctx ginkgo.SpecContext) {
		deployment := standin.Banaag
		deployment.Pools = deployment.Pools[3:]
		system, err := tier.Start(ctx, tier.Options{Deployment: deployment, Logs: io.Discard})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = system.Stop(ctx) }()
		address := system.Entries()[0].Settings().HTTPAddress
		newSettings := *system.Replicas()[0].Settings()
		newSettings.Name, newSettings.HTTPAddress, newSettings.PeerAddress = "control-luzon-2", "127.0.0.1:0", "127.0.0.1:0"
		newSettings.Control = &settings.Control{DataFolder: ginkgo.GinkgoT().TempDir()}
		listeners, err := process.Listen(ctx, &newSettings, process.Network{})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		newProcess := process.New(&newSettings, listeners, process.Network{}, zap.NewNop(), io.Discard)
		gomega.Expect(newProcess.Start(ctx)).To(gomega.Succeed())
		defer func() { _ = newProcess.Stop(ctx) }()
		folder := ginkgo.GinkgoT().TempDir()
		writeTables := func(name string, tables operator.Tables) string {
			path := filepath.Join(folder, name)
			data, err := json.Marshal(tables)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
			return path
		}
		initial, oneOut, allOut, unknownOut := deployment.Tables(), deployment.Tables(), deployment.Tables(), deployment.Tables()
		oneOut.FailureDomainsOut = []string{"luzon"}
		allOut.FailureDomainsOut = deployment.FailureDomains
		unknownOut.FailureDomainsOut = []string{"mars"}
		paths := map[string]string{"first": writeTables("first", initial), "out": writeTables("out", oneOut), "all": writeTables("all", allOut), "mars": writeTables("mars", unknownOut)}
		for _, step := range []struct {
			code      int
			message   string
			arguments []string
		}{
			{verb.ExitOK, "would be version 2; nothing is changed", []string{"apply", "--tables", paths["out"], "--base", "1", "--change-id", "a", "--dry-run"}},
			{verb.ExitOK, "version 1, in force everywhere: version 1", []string{"status"}},
			{verb.ExitDifferent, `+ failure_domains_out ["luzon"]`, []string{"diff", "--tables", paths["out"]}},
			{verb.ExitOK, "is version 2, in force everywhere", []string{"apply", "--tables", paths["out"], "--base", "1", "--change-id", "a", "--wait"}},
			{verb.ExitOK, "is version 2, in force everywhere", []string{"apply", "--tables", paths["out"], "--base", "1", "--change-id", "a", "--wait"}},
			{verb.ExitConflict, `change "a" won`, []string{"apply", "--tables", paths["first"], "--base", "1", "--change-id", "b"}},
			{verb.ExitConflict, "different content", []string{"apply", "--tables", paths["first"], "--base", "1", "--change-id", "a"}},
			{verb.ExitFailed, "--allow-all-out", []string{"apply", "--tables", paths["all"], "--base", "2", "--change-id", "c", "--dry-run"}},
			{verb.ExitFailed, `failure domain "mars"`, []string{"apply", "--tables", paths["mars"], "--base", "2", "--change-id", "c"}},
			{verb.ExitOK, "0 difference(s)", []string{"diff", "--tables", paths["first"], "--version", "1"}},
			{verb.ExitFailed, "version 9 doesn't exist", []string{"get", "--version", "9"}},
			{verb.ExitOK, "luzon           out", []string{"status"}},
			{verb.ExitOK, "is caught up and counted", []string{"replica", "add", "--name", "control-luzon-2", "--peer-address", newSettings.PeerAddress}},
			{verb.ExitOK, "doesn't belong to the group", []string{"replica", "remove", "--id", "control-luzon"}},
			{verb.ExitOK, "doesn't belong to the group", []string{"replica", "remove", "--id", "control-mistyped"}},
			{verb.ExitFailed, "has said hello", []string{"replica", "add", "--name", "control-mistyped", "--peer-address", "127.0.0.1:1"}},
			{verb.ExitOK, "is version 3, in force everywhere", []string{"apply", "--tables", paths["first"], "--base", "2", "--change-id", "roll-back-to-1", "--wait"}},
			{verb.ExitUsage, "exclude each other", []string{"apply", "--tables", paths["first"], "--base", "3", "--declared", "7", "--change-id", "d"}},
			{verb.ExitOK, "would be version 4", []string{"apply", "--tables", paths["first"], "--declared", "7", "--change-id", "declared-7", "--dry-run"}},
			{verb.ExitOK, "is version 4, in force everywhere", []string{"apply", "--tables", paths["first"], "--declared", "7", "--change-id", "declared-7", "--wait"}},
			{verb.ExitOK, "is version 4", []string{"apply", "--tables", paths["first"], "--declared", "6", "--change-id", "declared-6"}},
			{verb.ExitOK, "luzon is out as of version 5", []string{"domain", "out", "--name", "luzon"}},
			{verb.ExitOK, "luzon           out", []string{"status"}},
			{verb.ExitOK, "luzon is in as of version 6", []string{"domain", "in", "--name", "luzon"}},
			{verb.ExitFailed, "the name is missing or too long", []string{"domain", "out", "--name", strings.Repeat("x", 1000)}},
			{verb.ExitFailed, "rollouts are not turned on", []string{"rollout", "start", "--pool", "cards", "--release", "v2", "--duration", "1m"}},
			{verb.ExitFailed, "the duration is missing or out of range", []string{"rollout", "start", "--pool", "cards", "--release", "v2", "--duration", "2h"}},
			{verb.ExitFailed, "never had a rollout", []string{"rollout", "status", "--pool", "cards"}},
			{verb.ExitFailed, "is not IP:port", []string{"replica", "add", "--name", "x", "--peer-address", "here"}},
		} {
			code, output := runVerb(append(step.arguments, "--address", address)...)
			gomega.Expect(output).To(gomega.ContainSubstring(step.message))
			gomega.Expect(code).To(gomega.Equal(step.code), output)
		}
	})
})
