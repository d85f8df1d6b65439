package standby_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestStandby(t *testing.T) { suite.Run(t, "standby") }
