// Package suite runs the Ginkgo specs of a package in the same order in every run.
package suite

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// knownFailures is the environment variable that lists the specs, one a line, that fail because of a known fault
// and are skipped. The check script sets it from KNOWN-RED.txt and runs those specs separately.
const knownFailures = "KNOWN_RED"

// randomSeed makes the order of the specs the same in every run.
const randomSeed = 1

// Run runs the specs of the calling package as the suite with that name. It is to be called once, from a test.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = randomSeed
	for _, spec := range strings.Split(os.Getenv(knownFailures), "\n") {
		if spec != "" {
			suite.SkipStrings = append(suite.SkipStrings, regexp.QuoteMeta(spec))
		}
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}
