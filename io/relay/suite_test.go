package relay_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestRelay(t *testing.T) { suite.Run(t, "relay") }
