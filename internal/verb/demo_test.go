package verb_test

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"gitlab.com/comfreythread/comfreythread/internal/verb"
)

// TestMain runs the comfreythread command instead of the tests if the
// environment variable that runAsProgramVariable names is set, so that tests can
// start the test binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramVariable) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	code := verb.Main(ctx, append([]string{"comfreythread"}, os.Args[1:]...), os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func TestVerb(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "verb")
}

var _ = ginkgo.DescribeTable("the demo gets correct answers with the deployment", func(deployment string) {
	// Processes may write the last lines of their logs in the background.
	stdout, stderr := gbytes.NewBuffer(), gbytes.NewBuffer()
	code := verb.Main(context.Background(), []string{"comfreythread", "demo", "--deployment", deployment}, stdout, stderr)
	gomega.Expect(code).To(gomega.Equal(verb.ExitOK), string(stderr.Contents()))
	lines := strings.Split(strings.TrimSpace(string(stdout.Contents())), "\n")
	gomega.Expect(lines[len(lines)-1]).To(gomega.ContainSubstring(`"ok":true`))
},
	ginkgo.Entry("Atelier", "atelier"),
	ginkgo.Entry("Banaag", "banaag"),
)
