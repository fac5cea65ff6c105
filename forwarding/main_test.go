package forwarding

import (
	"os"
	"testing"

	"github.com/monsoonthread/monsoonthread/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
