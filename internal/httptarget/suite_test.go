package httptarget

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var (
	// suite is the running test, which bubble.Run requires.
	suite *testing.T
)

func TestHTTPTarget(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "httptarget")
}
