package verb_test

import (
	"bytes"
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
	// asCommand makes the test binary act as the program.
	asCommand = "COMFREYTHREAD_TEST_AS_COMMAND"
	patience  = time.Minute
	traceID   = "0af7651916cd43dd8448eb211c80319c"
)

// run runs a verb in this process.
func run(arguments ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := verb.Main(context.Background(), append([]string{"comfreythread"}, arguments...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// traced sends a query under a trace of the caller's.
func traced(ctx context.Context, address string) {
	body := fmt.Sprintf(`{"id":"traced.%d","kind":"bay-log.search","timeout":"1s","idempotent":true}`, time.Now().Add(time.Minute).Unix())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/requests", strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	response, err := http.DefaultClient.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.Body.Close()).To(gomega.Succeed())
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
}

// freeAddress returns an address on a loopback IP that nothing else uses.
func freeAddress(ip string) string {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startProcess starts serve with the settings as a process of its own.
func startProcess(folder string, started *settings.Settings, stdout io.Writer) *exec.Cmd {
	path := filepath.Join(folder, started.Name+".json")
	data, err := json.Marshal(started)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(os.WriteFile(path, data, 0o600)).To(gomega.Succeed())
	command := exec.Command(os.Args[0], "serve", "--settings", path)
	command.Env = append(os.Environ(), asCommand+"=1")
	command.Stdout, command.Stderr = stdout, ginkgo.GinkgoWriter
	gomega.Expect(command.Start()).To(gomega.Succeed())
	return command
}

// processes is a tier of processes of their own, and targets in this one.
type processes struct {
	replicas, entries []*settings.Settings
	// commands are first those of the replicas and then those of the entries.
	commands []*exec.Cmd
	tables   string
	targets  []*standin.Target
	// spans is what the processes wrote to their stdout.
	spans *gbytes.Buffer
}

// startProcesses starts three control replicas and a number of entries, and
// applies the deployment's tables. All end with the spec.
func startProcesses(deployment standin.Deployment, entries int) *processes {
	folder := ginkgo.GinkgoT().TempDir()
	started := &processes{tables: filepath.Join(folder, "tables.json"), spans: gbytes.NewBuffer()}
	var addresses []string
	for number := range 3 + entries {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+os.Getpid()/64%250, number+1)
		made := &settings.Settings{
			Name: fmt.Sprintf("vm-%d", number), FailureDomain: deployment.FailureDomains[number%3],
			HTTPAddress: freeAddress(ip), PeerAddress: freeAddress(ip), LogLevel: "warn",
		}
		if number < 3 {
			made.Control = &settings.Control{DataFolder: filepath.Join(folder, made.Name)}
			addresses = append(addresses, made.PeerAddress)
			started.replicas = append(started.replicas, made)
			continue
		}
		made.Entry = true
		started.entries = append(started.entries, made)
	}
	for _, made := range append(started.replicas[:3:3], started.entries...) {
		made.ControlReplicas = addresses
		made.Tracing.Exporter = settings.ExportStdout
		command := startProcess(folder, made, started.spans)
		started.commands = append(started.commands, command)
		ginkgo.DeferCleanup(func() {
			_ = command.Process.Kill()
			_ = command.Wait()
		})
	}
	data, _ := json.Marshal(deployment.Tables())
	gomega.Expect(os.WriteFile(started.tables, data, 0o600)).To(gomega.Succeed())
	gomega.Eventually(func() string {
		_, output := run("apply", "--tables", started.tables, "--change-id", "first", "--address", started.entries[0].HTTPAddress)
		return output
	}).WithTimeout(patience).Should(gomega.ContainSubstring("is version 1"))
	return started
}

// startTargets starts the targets of a pool, which announce themselves to all
// entries but the first.
func (processes *processes) startTargets(announcements []target.Announcement, behaviour standin.Behaviour) {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	for index, announcement := range announcements {
		listener, err := tcp.Listen(ctx, "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		announcement.Address = listener.Addr().String()
		started := standin.NewTarget(announcement, behaviour, tcp.Dial)
		processes.targets = append(processes.targets, started)
		go func() { _ = started.Serve(listener) }()
		ginkgo.DeferCleanup(started.Stop)
		entry := processes.entries[1+index%(len(processes.entries)-1)].HTTPAddress
		gomega.Eventually(started.Announce).WithArguments(ctx, entry).WithTimeout(patience).Should(gomega.Succeed())
		go started.Renew(ctx, entry)
	}
}

// isWhole reports whether a query through the second entry is answered whole.
func (processes *processes) isWhole() bool {
	code, output := run("query", "--kind", "bay-log.search", "--idempotent", "--runs", "3", "--address", processes.entries[1].HTTPAddress, "--output", "json")
	var answer caller.Answer
	return code == verb.ExitOK && json.Unmarshal([]byte(output), &answer) == nil && answer.Coverage.Complete
}

var _ = ginkgo.Describe("a tier of processes", func() {
	ginkgo.It("answers a query while one of its entries is killed", func(ctx context.Context) {
		deployment := standin.Banaag
		deployment.Pools = deployment.Pools[2:3]
		started := startProcesses(deployment, 6)
		entries, commands, tables, query := started.entries, started.commands, started.tables, started.isWhole
		started.startTargets(deployment.Announcements(deployment.Pools[0]), standin.Behaviour{})
		gomega.Eventually(query).WithTimeout(patience).Should(gomega.BeTrue())
		gomega.Expect(commands[3].Process.Kill()).To(gomega.Succeed())
		gomega.Eventually(query).WithTimeout(patience).Should(gomega.BeTrue())
		// A control replica is lost too: the tables can still be changed.
		gomega.Expect(commands[0].Process.Kill()).To(gomega.Succeed())
		gomega.Eventually(func() string {
			_, output := run("apply", "--tables", tables, "--base", "1", "--change-id", "second", "--address", entries[2].HTTPAddress)
			return output
		}).WithTimeout(patience).Should(gomega.ContainSubstring("is version 2"))
		gomega.Eventually(query).WithTimeout(patience).Should(gomega.BeTrue())
		code, output := run("status", "--address", entries[2].HTTPAddress)
		gomega.Expect(code).To(gomega.Equal(verb.ExitOK), output)
		traced(ctx, entries[1].HTTPAddress)
		for _, hop := range []string{"request", "home batch", "target attempt"} {
			gomega.Eventually(func() string { return string(started.spans.Contents()) }).WithTimeout(patience).
				Should(gomega.MatchRegexp(`"Name":"%s","SpanContext":{"TraceID":"%s"`, hop, traceID))
		}
		// A planned stop ends well.
		gomega.Expect(commands[8].Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		gomega.Expect(commands[8].Wait()).To(gomega.Succeed())
	})
})

var _ = ginkgo.DescribeTable("a wrong command line names the remedy", func(code int, message string, arguments ...string) {
	got, output := run(arguments...)
	gomega.Expect(output).To(gomega.ContainSubstring(message))
	gomega.Expect(got).To(gomega.Equal(code))
},
	ginkgo.Entry("unknown verb", verb.ExitUsage, `"fly" is unknown`, "fly"),
	ginkgo.Entry("unknown flag", verb.ExitUsage, "comfreythread help status", "status", "--colour"),
	ginkgo.Entry("unknown output", verb.ExitUsage, "use text or json", "status", "--output", "xml"),
	ginkgo.Entry("missing file", verb.ExitFailed, "name an existing file", "check", "--tables", "none.json"),
	ginkgo.Entry("nothing to check", verb.ExitUsage, "name a file", "check"),
	ginkgo.Entry("unknown deployment", verb.ExitUsage, "use atelier or banaag", "demo", "--deployment", "x"),
	ginkgo.Entry("payload that isn't JSON", verb.ExitUsage, "quote it", "query", "--kind", "x", "--payload", "{"),
	ginkgo.Entry("nobody there", verb.ExitUnavailable, "check --address", "status", "--address", "127.0.0.1:1"),
	ginkgo.Entry("help", verb.ExitOK, "comfreythread query --kind", "help", "query"),
)
