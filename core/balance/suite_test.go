package balance_test

import (
	"testing"

	"jacinthferry/standin/suite"
)

func TestBalance(t *testing.T) { suite.Run(t, "balance") }
