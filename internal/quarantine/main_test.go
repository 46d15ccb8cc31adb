package quarantine

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(20261204, 0)
	goleak.VerifyTestMain(m)
}
