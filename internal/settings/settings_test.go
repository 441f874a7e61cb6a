package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

func TestSettings(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "settings")
}

// Each case in testdata is a settings file with the expected output in a file beside it.
var _ = ginkgo.Describe("settings", func() {
	paths, _ := filepath.Glob("testdata/*.json")
	for _, path := range paths {
		ginkgo.It("loads "+filepath.Base(path)+" with the expected result", func() {
			expected, err := os.ReadFile(strings.TrimSuffix(path, ".json") + ".expected")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			output := "ok\n"
			if _, err := settings.Load(path); err != nil {
				output = err.Error() + "\n"
			}
			gomega.Expect(output).To(gomega.Equal(string(expected)))
		})
	}
})

func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob("testdata/*.json")
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := settings.Parse(data)
		if (parsed == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v, want exactly one of them to be nil", parsed, err)
		}
	})
}
