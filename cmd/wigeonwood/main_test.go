package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/cli"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(cli.Main())
	}
	testscript.Main(m, map[string]func(){
		"wigeonwood": func() { os.Exit(cli.Main()) },
	})
}

// TestScripts runs the scripts in testdata/script. Each script starts processes of the
// program and calls them over loopback.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Condition: func(name string) (bool, error) {
			if name != "otherbuild" {
				return false, fmt.Errorf("unknown condition %q", name)
			}
			return os.Getenv(testkit.OtherBuildEnv) != "", nil
		},
		Setup: func(env *testscript.Env) error {
			env.Setenv("OTHER_BUILD", os.Getenv(testkit.OtherBuildEnv))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":  setPorts,
			"http":   callHTTP,
			"until":  runUntil,
			"entry":  setEntry,
			"leader": setLeader,
			"big":    callLargeBody,
		},
	})
}

// setPorts is "ports VARIABLE...": it sets each variable to a loopback address whose
// port is free for TCP and UDP.
func setPorts(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		addr, err := testkit.FreeAddrOfProcess()
		ts.Check(err)
		ts.Setenv(name, addr)
	}
}

const httpTimeout = 20 * time.Second

// callHTTP is "http STATUS METHOD URL [HEADER:VALUE]... [BODY]". It writes the headers
// and the body of the response to the script's stdout and sets REQUEST_ID to its
// request id.
func callHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: http status method url [header:value]... [body]")
	}
	out, status, err := sendRequest(args[1], args[2], args[3:])
	fmt.Fprint(ts.Stdout(), out)
	ts.Check(err)
	if _, after, ok := strings.Cut(out, "X-Request-Id: "); ok {
		id, _, _ := strings.Cut(after, "\r")
		ts.Setenv("REQUEST_ID", id)
	}
	if got := strconv.Itoa(status); got != args[0] {
		ts.Fatalf("status %s, want %s\n%s", got, args[0], out)
	}
}

// callLargeBody is "big STATUS METHOD URL [HEADER:VALUE]... BYTES": it works like
// callHTTP with a body of BYTES bytes.
func callLargeBody(ts *testscript.TestScript, neg bool, args []string) {
	last := len(args) - 1
	size, err := strconv.Atoi(args[last])
	ts.Check(err)
	callHTTP(ts, neg, append(args[:last:last], strings.Repeat("x", size)))
}

// sendRequest sends a request and returns the headers and the body of the response as
// text. Elements of rest of the form NAME:VALUE are headers of the request; the last
// element of another form is the body.
func sendRequest(method, url string, rest []string) (out string, status int, err error) {
	body := ""
	header := http.Header{}
	for _, arg := range rest {
		name, value, isHeader := strings.Cut(arg, ":")
		if isHeader && !strings.ContainsAny(name, " {\"=") {
			header.Set(name, value)
			continue
		}
		body = arg
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	req.Header = header
	client := &http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: httpTimeout}}
	resp, err := client.Do(req)
	if err != nil {
		return "", 0, err
	}
	defer resp.Body.Close()
	var buf bytes.Buffer
	_ = resp.Header.Write(&buf)
	_, err = io.Copy(&buf, resp.Body)
	return buf.String(), resp.StatusCode, err
}

const (
	pollTimeout  = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

// runUntil is "until STATUS METHOD URL [HEADER:VALUE]... [BODY] [-- TEXT]": it repeats
// an HTTP call until the response has the status and, if given, contains the text.
func runUntil(ts *testscript.TestScript, neg bool, args []string) {
	text := ""
	if n := len(args); n > 2 && args[n-2] == "--" {
		text = args[n-1]
		args = args[:n-2]
	}
	deadline := time.Now().Add(pollTimeout)
	for {
		out, status, err := sendRequest(args[1], args[2], args[3:])
		if err == nil && strconv.Itoa(status) == args[0] && strings.Contains(out, text) {
			fmt.Fprint(ts.Stdout(), out)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("not within %v: status %d, error %v\n%s", pollTimeout, status, err, out)
		}
		time.Sleep(pollInterval)
	}
}

// setEntry is "entry VARIABLE ADDRESS": it requests the entry addresses from the
// instance at ADDRESS and sets VARIABLE to the first one.
func setEntry(ts *testscript.TestScript, neg bool, args []string) {
	out, status, err := sendRequest(http.MethodGet, "http://"+args[1]+"/v1/entries", nil)
	ts.Check(err)
	if status != http.StatusOK {
		ts.Fatalf("status %d\n%s", status, out)
	}
	body := out[strings.Index(out, "{"):]
	var answer struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
	}
	ts.Check(json.Unmarshal([]byte(body), &answer))
	ts.Setenv(args[0], answer.Entries[0].Addr)
}

// setLeader is "leader VARIABLE ADMIN-ADDRESS PEER-ADDRESS=NAME...": it sets
// VARIABLE to the name of the leading replica.
func setLeader(ts *testscript.TestScript, neg bool, args []string) {
	client := &admin.Client{Addr: args[1], Token: ts.Getenv("WIGEONWOOD_ADMIN_TOKEN"), HTTP: &http.Client{Timeout: httpTimeout}}
	reply := &pb.QueryReply{}
	ts.Check(client.Get(context.Background(), "/admin/v1/replicas", nil, reply))
	for _, r := range reply.Replicas {
		for _, pair := range args[2:] {
			addr, name, _ := strings.Cut(pair, "=")
			if r.Leader && r.Addr == addr {
				ts.Setenv(args[0], name)
				return
			}
		}
	}
	ts.Fatalf("no leader among %v", reply.Replicas)
}
