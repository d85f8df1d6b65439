package check_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestCheck(t *testing.T) { suite.Run(t, "check") }
