package cmds

import (
	"fmt"
)

// loadCmd drives a running system.
type loadCmd struct{}

// Run is not there yet.
func (*loadCmd) Run(*env) error {
	return fmt.Errorf("load is not available yet")
}
