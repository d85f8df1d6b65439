package cause_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestCause(t *testing.T) { suite.Run(t, "cause") }
