package rollout_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestRollout(t *testing.T) { suite.Run(t, "rollout") }
