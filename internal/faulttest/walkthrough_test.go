package faulttest

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/operator"
)

// tool runs the operators' tool and returns its output and exit code.
func (f *fleet) tool(args ...string) (string, int) {
	f.t.Helper()
	dir, err := binaries()
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(dir, "quetzalglade"), args...)
	cmd.Env = append(os.Environ(), "QUETZALGLADE_SETTINGS="+f.toolSettings())
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		f.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *fleet) toolSettings() string {
	file := filepath.Join(f.t.TempDir(), "ops.ini")
	text := "[platform]\nstore = http://" + f.storeProxy.addr() + "\nvm_list = " + f.listURL + "\n[access]\nkey = " + fleetKey + "\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// TestOperatorWalkthrough goes the way of a new operator: check, publish, send
// a request, look at the fleet, explain the request, drain, roll back.
func TestOperatorWalkthrough(t *testing.T) {
	engine := fastEngine()
	engine.Models = []string{"repair-7b"}
	f := startFleet(t, fleetOptions{engines: 2, plains: 1, entries: 1, engine: engine, documents: []config.Document{{Name: "none"}}})
	pedalia := filepath.Join("..", "..", "examples", "pedalia")
	Convey("The declarations of the example are published, used and explained", t, func() {
		out, code := f.tool("check", pedalia)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "2 declaration files are valid")

		out, code = f.tool("publish", "--dry-run", pedalia)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "+ service repair-guide")
		So(out, ShouldContainSubstring, "version 1 stays in force")

		out, code = f.tool("publish", pedalia)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "published version 2")
		So(out, ShouldContainSubstring, "in force at 4 of 4 processes")

		request := f.repairGuide()
		out, code = f.tool("explain", request)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "route")
		So(out, ShouldContainSubstring, "candidate model-")
		So(out, ShouldContainSubstring, "admit")
		So(out, ShouldContainSubstring, "end (complete)")
	})
	Convey("Status names every process, in JSON too, and says who is silent", t, func() {
		out, code := f.tool("status", "--output", "json")
		So(code, ShouldEqual, 0)
		var status operator.Status
		So(json.Unmarshal([]byte(out), &status), ShouldBeNil)
		So(len(status.Processes), ShouldEqual, 4)
		So(status.Behind(2), ShouldBeEmpty)

		f.targets[1].agent.kill()
		out, code = f.tool("status")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "version 2 in force")
		So(out, ShouldContainSubstring, "0.0 MB")
		So(out, ShouldContainSubstring, "1 processes do not answer: model-2")
		out, _ = f.tool("explain", "--target", "model-1")
		So(out, ShouldContainSubstring, "not told: model-2 did not answer")
		f.targets[1].agent.restart()
	})
	Convey("A drained target refuses new work until it is undrained", t, func() {
		_, code := f.tool("drain", "booking-1")
		So(code, ShouldEqual, 0)
		eventually(t, startWait, "entry sees two targets", func() bool { return f.sees(f.entries[0], 2) })
		status, _, failure, err := invoke(context.Background(), f.entries[0].addr, http.MethodGet, "/s/booking/visits/1", "", "")
		So(err, ShouldBeNil)
		So(status, ShouldNotEqual, http.StatusOK)
		So(failure, ShouldNotBeNil)
		_, code = f.tool("undrain", "booking-1")
		So(code, ShouldEqual, 0)
	})
	rollback(t, f)
}

// rollback checks the commands that go back to an earlier version, and that
// faulty declarations change nothing.
func rollback(t *testing.T, f *fleet) {
	Convey("The quarantine is listed", t, func() {
		out, code := f.tool("quarantine", "list")
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "FINGERPRINT")
	})
	Convey("A rollback is a new, higher version", t, func() {
		out, code := f.tool("rollback", "--to", "1")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "published version 3")
		out, code = f.tool("history")
		So(code, ShouldEqual, 0)
		So(strings.Count(out, "\n"), ShouldEqual, 4)
		out, code = f.tool("rollback", "--to", "99")
		So(code, ShouldEqual, 5)
		So(out, ShouldContainSubstring, "not in the history")
	})
	Convey("Faulty declarations are all reported with file and line", t, func() {
		dir := t.TempDir()
		text := "[service guide]\nkind = model\nmodle = m\n[workspace w]\nservices = guid\n"
		So(os.WriteFile(filepath.Join(dir, operator.FileName), []byte(text), 0o600), ShouldBeNil)
		out, code := f.tool("publish", dir)
		So(code, ShouldEqual, 2)
		So(out, ShouldContainSubstring, operator.FileName+`:3: unknown key "modle" in [service guide] (did you mean "model"?)`)
		So(out, ShouldContainSubstring, operator.FileName+`:4: no service "guid" is declared (did you mean guide?)`)
		So(out, ShouldContainSubstring, "a workspace needs key_hashes")
	})
}

// repairGuide sends a request with the example's key and returns its id.
func (f *fleet) repairGuide() string {
	body := strings.NewReader(`{"model":"repair-guide","prompt":"the pedal sticks <<len=20>>","max_tokens":100}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.entries[0].addr+"/v1/completions", body)
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer pedalia-demo-key")
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	_ = resp.Body.Close()
	So(resp.StatusCode, ShouldEqual, http.StatusOK)
	return resp.Header.Get("X-Request-Id")
}
