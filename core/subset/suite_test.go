package subset_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestSubset(t *testing.T) { suite.Run(t, "subset") }
