package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/buckthorntrack/buckthorntrack/front"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// explainTimeout bounds the wait for an explanation.
const explainTimeout = 5 * time.Second

var errNoTarget = errors.New("--host and --path, or --head, are required")

// explainCmd prints the decision that a process would make for a request.
type explainCmd struct {
	Metrics string          `default:"127.0.0.1:9464" placeholder:"ADDRESS" help:"Address of the metrics of the process."`
	Host    string          `help:"Host of the request."`
	Path    string          `help:"Path of the request, with its query."`
	Method  string          `default:"POST" help:"Method of the request."`
	Account string          `help:"Client account."`
	ID      units.RequestID `name:"id" help:"Identifier of the request, which decides between versions of a service."`
	Tokens  units.Tokens    `help:"Tokens of the prompt, all of its own."`
	Output  units.Tokens    `help:"Tokens to generate."`
	Bytes   int64           `help:"Size of the body."`
	Head    string          `type:"existingfile" placeholder:"FILE" help:"File with the head of a request. Keys in it are not sent."`
	JSON    bool            `name:"json" help:"Print JSON."`
}

// Help returns an example.
func (explainCmd) Help() string {
	return "Example: buckthorntrack explain --metrics 10.0.0.7:9464 --host shop.example --path /chat/ --tokens 6000 --output 200"
}

// Run asks the process and prints its answer.
func (c *explainCmd) Run(e *env) error {
	q, err := c.question()
	if err != nil {
		return err
	}
	body, err := json.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode question: %w", err)
	}
	request, err := http.NewRequestWithContext(e.ctx, http.MethodPost, "http://"+c.Metrics+front.ExplainPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("ask %s: %w", c.Metrics, err)
	}
	client := &http.Client{Timeout: explainTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("ask %s: %w", c.Metrics, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: status %d", c.Metrics, response.StatusCode)
	}
	if c.JSON {
		_, err = io.Copy(e.stdout, response.Body)
		return err
	}
	var found front.Explanation
	if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
		return fmt.Errorf("decode the answer of %s: %w", c.Metrics, err)
	}
	return printExplanation(e.stdout, found)
}

// question returns the question that the flags and the file describe, without keys.
func (c *explainCmd) question() (front.Question, error) {
	q := front.Question{
		Method: c.Method, Host: c.Host, Path: c.Path, ID: c.ID, Account: c.Account, Tokens: c.Tokens, Output: c.Output, Bytes: c.Bytes,
	}
	if c.Head != "" {
		file, err := os.Open(filepath.Clean(c.Head))
		if err != nil {
			return q, fmt.Errorf("read head: %w", err)
		}
		defer func() { _ = file.Close() }()
		// A head that was copied may lack its last, empty line.
		request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(file, bytes.NewReader([]byte("\r\n\r\n")))))
		if err != nil {
			return q, fmt.Errorf("%s is not the head of a request", c.Head) // the cause may quote a key
		}
		q.Method, q.Host, q.Path, q.Header = request.Method, request.Host, request.RequestURI, request.Header
		q.Bytes = max(q.Bytes, request.ContentLength)
	}
	q.RemoveKeys()
	if q.Host == "" || q.Path == "" {
		return q, errNoTarget
	}
	return q, nil
}

func printExplanation(w io.Writer, x front.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	line("process\t%s", x.Process)
	line("configuration\tversion %d, confirmed %s", x.ConfigVersion, ageText(x.ConfigAgeMS))
	line("engines\tconfirmed %s", ageText(x.EnginesAgeMS))
	if x.Account != "" {
		line("account\t%s", x.Account)
	}
	line("route\t%s, class %s, timeout %d ms", x.Route, x.Class, x.TimeoutMS)
	line("service\t%s, version %q", x.Service, x.Version)
	if x.Admitted {
		line("admission\tyes: %s", x.Reason)
	} else {
		line("admission\tno: status %d, code %s: %s", x.Status, x.Code, x.Reason)
	}
	if !x.AllLoads {
		line("loads\tas told last; a request asks for them first")
	}
	if x.Run != "" {
		line("choice\tprefill %q, run %q, first event after some %d ms", x.Prefill, x.Run, x.EstimateMS)
	}
	line("")
	line("engine\tuse\trole\tplace\testimate ms\tranking ms\twait ms\trunning\tload age ms\tallowance\theld back\tcached\ttransfer bytes")
	for _, c := range x.Candidates {
		line("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d/%d\t%d\t%d\t%s\t%d\t%d", c.Engine, c.Use, c.Role, c.Place, c.EstimateMS, c.RankingMS,
			c.WaitMS, c.Running, c.Slots, c.LoadAgeMS, c.Allowance, c.HeldBack, c.CachedTokens, c.TransferBytes)
	}
	return table.Flush()
}

func ageText(ms int64) string {
	if ms < 0 {
		return "at no known time"
	}
	return fmt.Sprintf("%d ms ago", ms)
}
