package verb_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/internal/verb"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// runAsProgramVariable is the environment variable that makes the test binary
	// run as the comfreythread command.
	runAsProgramVariable = "COMFREYTHREAD_TEST_AS_COMMAND"
	eventuallyTimeout    = time.Minute
	traceID              = "0af7651916cd43dd8448eb211c80319c"
)

// runVerb runs a verb in this process, and returns its exit code and output.
func runVerb(arguments ...string) (int, string) {
	stdout, stderr := gbytes.NewBuffer(), gbytes.NewBuffer()
	code := verb.Main(context.Background(), append([]string{"comfreythread"}, arguments...), stdout, stderr)
	return code, string(stdout.Contents()) + string(stderr.Contents())
}

// sendTracedQuery sends a query with the trace context of a caller.
func sendTracedQuery(ctx context.Context, address string) {
	body := fmt.Sprintf(`{"id":"traced.%d","kind":"bay-log.search","timeout":"1s","idempotent":true}`, time.Now().Add(time.Minute).Unix())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/requests", strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	response, err := http.DefaultClient.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.Body.Close()).To(gomega.Succeed())
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
}

// freeAddress returns an unused address on a loopback IP.
func freeAddress(ip string) string {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startProcess runs serve with the settings in a process of its own.
func startProcess(folder string, processSettings *settings.Settings, stdout io.Writer) *exec.Cmd {
	path := filepath.Join(folder, processSettings.Name+".json")
	data, err := json.Marshal(processSettings)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	command := exec.Command(os.Args[0], "serve", "--settings", path)
	command.Env = append(os.Environ(), runAsProgramVariable+"=1")
	command.Stdout, command.Stderr = stdout, ginkgo.GinkgoWriter
	gomega.Expect(command.Start()).To(gomega.Succeed())
	return command
}

// processTier is a tier whose control replicas and entries are processes of their
// own, with targets in the test process.
type processTier struct {
	replicas, entries []*settings.Settings
	// commands holds the processes of the replicas, followed by those of the
	// entries.
	commands   []*exec.Cmd
	tablesPath string
	targets    []*standin.Target
	// spans collects the trace spans that the processes write to stdout.
	spans *gbytes.Buffer
}

// startProcessTier starts three control replicas and the given number of
// entries, and applies the deployment's tables. The processes are killed at the
// end of the spec.
func startProcessTier(deployment standin.Deployment, entryCount int) *processTier {
	folder := ginkgo.GinkgoT().TempDir()
	system := &processTier{tablesPath: filepath.Join(folder, "tables.json"), spans: gbytes.NewBuffer()}
	var peerAddresses []string
	for number := range 3 + entryCount {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+os.Getpid()/64%250, number+1)
		processSettings := &settings.Settings{
			Name: fmt.Sprintf("vm-%d", number), FailureDomain: deployment.FailureDomains[number%3],
			HTTPAddress: freeAddress(ip), PeerAddress: freeAddress(ip), LogLevel: "warn",
		}
		if number < 3 {
			processSettings.Control = &settings.Control{DataFolder: filepath.Join(folder, processSettings.Name)}
			peerAddresses = append(peerAddresses, processSettings.PeerAddress)
			system.replicas = append(system.replicas, processSettings)
			continue
		}
		processSettings.Entry = true
		system.entries = append(system.entries, processSettings)
	}
	for _, processSettings := range append(system.replicas[:3:3], system.entries...) {
		processSettings.ControlReplicas = peerAddresses
		processSettings.Tracing.Exporter = settings.ExportStdout
		command := startProcess(folder, processSettings, system.spans)
		system.commands = append(system.commands, command)
		ginkgo.DeferCleanup(func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		})
	}
	data, _ := json.Marshal(deployment.Tables())
	gomega.Expect(os.WriteFile(system.tablesPath, data, 0o600)).To(gomega.Succeed())
	gomega.Eventually(func() string {
		_, output := runVerb("apply", "--tables", system.tablesPath, "--change-id", "first", "--address", system.entries[0].HTTPAddress)
		return output
	}).WithTimeout(eventuallyTimeout).Should(gomega.ContainSubstring("is version 1"))
	return system
}

// startTargets starts the targets of a pool, and spreads their announcements
// over all entries but the first.
func (processTier *processTier) startTargets(announcements []target.Announcement, behaviour standin.Behaviour) {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	for index, announcement := range announcements {
		listener, err := tcp.Listen(ctx, "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		announcement.Address = listener.Addr().String()
		standinTarget := standin.NewTarget(announcement, behaviour, tcp.Dial)
		processTier.targets = append(processTier.targets, standinTarget)
		go func() { _ = standinTarget.Serve(listener) }()
		ginkgo.DeferCleanup(standinTarget.Stop)
		entry := processTier.entries[1+index%(len(processTier.entries)-1)].HTTPAddress
		gomega.Eventually(standinTarget.Announce).WithArguments(ctx, entry).WithTimeout(eventuallyTimeout).Should(gomega.Succeed())
		go standinTarget.Renew(ctx, entry)
	}
}

// answersCompletely reports whether a query through the second entry gets a
// complete answer.
func (processTier *processTier) answersCompletely() bool {
	code, output := runVerb("query", "--kind", "bay-log.search", "--idempotent", "--runs", "3", "--address", processTier.entries[1].HTTPAddress, "--output", "json")
	var answer caller.Answer
	return code == verb.ExitOK && json.Unmarshal([]byte(output), &answer) == nil && answer.Coverage.Complete
}

var _ = ginkgo.Describe("a tier of processes", func() {
	ginkgo.It("answers queries after an entry and a control replica are killed", func(ctx context.Context) {
		deployment := standin.Banaag
		deployment.Pools = deployment.Pools[2:3]
		system := startProcessTier(deployment, 6)
		entries, commands, tables, queryIsComplete := system.entries, system.commands, system.tablesPath, system.answersCompletely
		system.startTargets(deployment.Announcements(deployment.Pools[0]), standin.Behaviour{})
		gomega.Eventually(queryIsComplete).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
		// Commands 0 to 2 are the control replicas, and 3 to 8 the entries.
		gomega.Expect(commands[3].Process.Kill()).To(gomega.Succeed())
		gomega.Eventually(queryIsComplete).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
		// The tables can still be changed after the loss of a control replica.
		gomega.Expect(commands[0].Process.Kill()).To(gomega.Succeed())
		gomega.Eventually(func() string {
			_, output := runVerb("apply", "--tables", tables, "--base", "1", "--change-id", "second", "--address", entries[2].HTTPAddress)
			return output
		}).WithTimeout(eventuallyTimeout).Should(gomega.ContainSubstring("is version 2"))
		gomega.Eventually(queryIsComplete).WithTimeout(eventuallyTimeout).Should(gomega.BeTrue())
		code, output := runVerb("status", "--address", entries[2].HTTPAddress)
		gomega.Expect(code).To(gomega.Equal(verb.ExitOK), output)
		sendTracedQuery(ctx, entries[1].HTTPAddress)
		for _, hop := range []string{"request", "home batch", "target attempt"} {
			gomega.Eventually(func() string { return string(system.spans.Contents()) }).WithTimeout(eventuallyTimeout).
				Should(gomega.MatchRegexp(`"Name":"%s","SpanContext":{"TraceID":"%s"`, hop, traceID))
		}
		// A process that is stopped by SIGTERM exits without an error.
		gomega.Expect(commands[8].Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		gomega.Expect(commands[8].Wait()).To(gomega.Succeed())
	})
})

var _ = ginkgo.DescribeTable("an invalid command line prints the remedy", func(code int, message string, arguments ...string) {
	gotCode, output := runVerb(arguments...)
	gomega.Expect(output).To(gomega.ContainSubstring(message))
	gomega.Expect(gotCode).To(gomega.Equal(code))
},
	ginkgo.Entry("unknown verb", verb.ExitUsage, `"fly" is unknown`, "fly"),
	ginkgo.Entry("unknown flag", verb.ExitUsage, "comfreythread help status", "status", "--colour"),
	ginkgo.Entry("unknown output", verb.ExitUsage, "use text or json", "status", "--output", "xml"),
	ginkgo.Entry("missing file", verb.ExitFailed, "name an existing file", "check", "--tables", "none.json"),
	ginkgo.Entry("nothing to check", verb.ExitUsage, "name a file", "check"),
	ginkgo.Entry("unknown deployment", verb.ExitUsage, "use atelier or banaag", "demo", "--deployment", "x"),
	ginkgo.Entry("payload that isn't JSON", verb.ExitUsage, "quote it", "query", "--kind", "x", "--payload", "{"),
	ginkgo.Entry("no process at the address", verb.ExitUnavailable, "check --address", "status", "--address", "127.0.0.1:1"),
	ginkgo.Entry("help", verb.ExitOK, "comfreythread query --kind", "help", "query"),
)
