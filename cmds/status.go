package cmds

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"github.com/buckthorntrack/buckthorntrack/admin"
	"github.com/buckthorntrack/buckthorntrack/order"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// adminFlags selects the processes to query.
type adminFlags struct {
	Admin []string `default:"127.0.0.1:8081" placeholder:"ADDRESS" help:"Administration addresses of processes."`
	Token string   `help:"Bearer token of the administration."`
}

func (a adminFlags) client(address string) *admin.Client {
	return admin.New(address, a.Token)
}

// statusCmd prints the state of processes and engines.
type statusCmd struct {
	adminFlags
}

// Help returns an example.
func (statusCmd) Help() string {
	return "Example: buckthorntrack status --admin 127.0.0.1:8081,127.0.0.1:8082"
}

// Run prints one block for each process. It fails if a process cannot be queried.
func (c *statusCmd) Run(e *env) error {
	var last error
	for _, address := range c.Admin {
		if err := c.printProcess(e, address); err != nil {
			last = err
			_, _ = fmt.Fprintf(e.stderr, "buckthorntrack: %v\n", err)
		}
	}
	if last != nil {
		return errReported
	}
	return nil
}

// printProcess prints the process at the address with its leases, links and engines.
func (c *statusCmd) printProcess(e *env, address string) error {
	client := c.client(address)
	s, err := client.Status(e.ctx)
	if err != nil {
		return err
	}
	engines, err := client.Engines(e.ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.stdout, "process %s place %s revision %d ready %t stopping %t in flight %d\n",
		s.Process, s.Place, s.Revision, s.Ready, s.Stopping, s.InFlight)
	for service, fence := range s.Holds {
		_, _ = fmt.Fprintf(e.stdout, "  holds %s under fencing number %d\n", service, fence)
	}
	for _, l := range s.Links {
		_, _ = fmt.Fprintf(e.stdout, "  peer %s place %s revision %d\n", l.Process, l.Place, l.Revision)
	}
	for _, engine := range engines {
		printEngine(e.stdout, engine)
	}
	return nil
}

func printEngine(w io.Writer, e admin.Engine) {
	_, _ = fmt.Fprintf(w, "  engine %s service %s role %s in flight %d running %d waiting %d free pieces %d blocked %s\n",
		e.Name, e.Service, e.Role, e.InFlight, e.Report.Running, e.Report.Waiting, e.Report.FreePieces,
		cmp.Or(e.Blocked, "no"))
}

// ordersCmd prints the orders to engines.
type ordersCmd struct {
	adminFlags

	Engine units.EngineName `arg:"" optional:"" help:"Only this engine."`
}

// Help returns an example.
func (ordersCmd) Help() string {
	return "Example: buckthorntrack orders guide-1 --admin 127.0.0.1:8081"
}

// Run prints the journal of intents from the first process that responds.
func (c *ordersCmd) Run(e *env) error {
	var last error
	for _, address := range c.Admin {
		records, err := c.client(address).Orders(e.ctx)
		if err != nil {
			last = err
			continue
		}
		for _, r := range records {
			if c.Engine == "" || c.Engine == r.Engine {
				printRecord(e.stdout, r)
			}
		}
		return nil
	}
	return last
}

func printRecord(w io.Writer, r order.Record) {
	intents := r.History
	if r.Open != nil {
		intents = append(intents, *r.Open)
	}
	for _, i := range intents {
		_, _ = fmt.Fprintf(w, "%s engine %s order %s %s %s from %s fencing number %d why %s: %s %s\n",
			i.Opened.Format(time.RFC3339), i.Engine, i.ID, i.Kind, i.Argument, i.Holder, i.Fence, i.Why, i.Step, i.Note)
	}
}
