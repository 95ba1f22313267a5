package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/buckthorntrack/buckthorntrack/cmds"
)

const (
	awaitTimeout  = 40 * time.Second
	awaitInterval = 50 * time.Millisecond
	callTimeout   = 60 * time.Second

	// Each test process allocates ports from one of portBlocks blocks of portsPerBlock ports, chosen by its process id.
	firstPort     = 12_000
	portBlocks    = 100
	portsPerBlock = 200
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"buckthorntrack": func() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"call":           func() { os.Exit(call(os.Args[1:])) },
		"await":          func() { os.Exit(await(os.Args[1:])) },
	})
}

// TestScenarios runs the commands of the binary as separate processes on loopback.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":  ports,
			"expand": expand,
			"signal": signal,
		},
	})
}

// lastPort is the last allocated port. Ports are below the ephemeral range, since an outgoing connection could
// otherwise take a port between its allocation here and its use by a process.
var lastPort atomic.Int64

// ports sets each variable to a free loopback address that no other script uses.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	lastPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%portBlocks*portsPerBlock))
	for _, name := range args {
		for {
			address := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
			l, err := net.Listen("tcp", address)
			if err != nil {
				continue
			}
			ts.Check(l.Close())
			ts.Setenv(name, address)
			break
		}
	}
}

// expand replaces environment variables in files: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text, err := os.ReadFile(path)
		ts.Check(err)
		ts.Check(os.WriteFile(path, []byte(os.Expand(string(text), ts.Getenv)), 0o600))
	}
}

// signal sends a signal to the background processes that were started with the argument:
// signal TERM|KILL|STOP|CONT ARGUMENT.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	found := false
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			found = true
			ts.Check(c.Process.Signal(signals[args[0]]))
		}
	}
	if !found {
		ts.Fatalf("no background process was started with the argument %q", args[1])
	}
}

// call sends one request and prints status, headers and body: call [-H 'Name: value']... METHOD URL [BODY]. It fails on
// a status of 500 or more.
func call(args []string) int {
	header := http.Header{}
	for len(args) > 1 && args[0] == "-H" {
		name, value, _ := strings.Cut(args[1], ": ")
		header.Set(name, value)
		args = args[2:]
	}
	if len(args) < 2 {
		return 2
	}
	status, text, err := send(args[0], args[1], strings.Join(args[2:], " "), header)
	fmt.Print(text)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if status >= http.StatusInternalServerError {
		return 1
	}
	return 0
}

// await repeats a GET until the response matches: await [-not] URL|URL... REGEXP. With several URLs one must match.
func await(args []string) int {
	flags := flag.NewFlagSet("await", flag.ContinueOnError)
	negate := flags.Bool("not", false, "wait until the response does not match")
	if flags.Parse(args) != nil || flags.NArg() != 2 {
		return 2
	}
	pattern := regexp.MustCompile(flags.Arg(1))
	text := ""
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(awaitInterval) {
		for url := range strings.SplitSeq(flags.Arg(0), "|") {
			var err error
			_, text, err = send(http.MethodGet, url, "", nil)
			if err == nil && pattern.MatchString(text) != *negate {
				return 0
			}
		}
	}
	fmt.Fprintf(os.Stderr, "response of %s did not match in time; the last one was:\n%s\n", flags.Arg(0), text)
	return 1
}

// send sends a request and returns the status and a text of status, headers and body.
func send(method, url, body string, header http.Header) (int, string, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	var text bytes.Buffer
	fmt.Fprintf(&text, "status %d\n", response.StatusCode)
	_ = response.Header.Write(&text)
	text.WriteString("\n")
	_, err = io.Copy(&text, response.Body)
	return response.StatusCode, text.String(), err
}
