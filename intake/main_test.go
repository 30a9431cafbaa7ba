package intake

import (
	"os"
	"testing"

	"hyssophub/props"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }
