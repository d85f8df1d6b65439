package registry_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestRegistry(t *testing.T) { suite.Run(t, "registry") }
