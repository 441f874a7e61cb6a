package blackboard_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var suite *testing.T

func TestBlackboard(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "blackboard")
}
