package proxy_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestProxy(t *testing.T) { suite.Run(t, "proxy") }
