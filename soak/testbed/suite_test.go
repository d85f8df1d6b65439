package testbed_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestTestbed(t *testing.T) { suite.Run(t, "world") }
