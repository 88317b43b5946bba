package guarantee

import (
	"os"
	"testing"

	"greengagedoor.example/greengagedoor/internal/process/standin/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Main(m))
}
