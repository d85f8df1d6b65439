package gather_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestGather(t *testing.T) { suite.Run(t, "gather") }
