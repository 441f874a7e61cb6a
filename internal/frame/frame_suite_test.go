package frame_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var suite *testing.T

func TestFrame(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "frame")
}
