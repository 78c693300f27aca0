package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// The end of an entry's stop falls into a stall.
const (
	stalledEndLimit = 2 * time.Second
	stalledEndAt    = 1500 * time.Millisecond
	stalledEndTime  = 700 * time.Millisecond
	stalledEndCalls = 24
)

// Guards against requests that are cut off without an answer since the process gets no processor time
// at the end of its stop: the time to answer them and the end come at the same moment.
func TestStallAtTheEndOfAStop(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 1, plainServices: 1, entries: 1, engineOptions: fastEngineOptions(), drainLimit: stalledEndLimit})
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	entry := f.entries[0]
	f.targets[1].plainService.SetDelay(longCallTime)
	type ended struct {
		failure *result.Error
		err     error
	}
	answers := make(chan ended, 2*stalledEndCalls)
	for i := range stalledEndCalls {
		go func() {
			method, key := http.MethodGet, ""
			if i%2 == 1 {
				method, key = http.MethodPost, fmt.Sprintf("stall-%d", i)
			}
			_, _, failure, err := invokeWithKey(ctx, entry.addr, method, fmt.Sprintf("/s/booking/%d", i), key, "{}")
			answers <- ended{failure, err}
		}()
		go func() {
			c := generateUnstreamed(ctx, entry.addr, "guide", prompt("stall", longGeneration))
			answers <- ended{c.failure, c.err}
		}()
	}
	for _, tg := range f.targets {
		eventually(t, startTimeout, "the requests are running", func() bool { return runningRequests(tg)+queuedRequests(tg) == stalledEndCalls })
	}
	entry.stop()
	time.Sleep(stalledEndAt)
	entry.pause()
	time.Sleep(stalledEndTime)
	entry.resume()
	lost, denied := 0, 0
	for range 2 * stalledEndCalls {
		a := <-answers
		switch {
		case a.err != nil:
			lost++
		case a.failure == nil || a.failure.Ran == result.RanNo && a.failure.Code == result.OutcomeUnknown:
			denied++
		}
	}
	exitCode, hasExited := entry.exited(responseTimeout)
	Convey("Each request has an answer, and the process ends", t, func() {
		So(lost, ShouldEqual, 0)
		So(denied, ShouldEqual, 0)
		So(hasExited, ShouldBeTrue)
		So(exitCode, ShouldEqual, 0)
	})
}

// Guards against a stop that cuts requests off, denies what ran, or fails, since it begins before the
// entry has a configuration, or since signals follow it.
func TestStopSoonAfterTheStart(t *testing.T) {
	addr, unused := freeAddr(t), freeAddr(t)
	entry := startDaemon(t, "quetzalglade-entry", "entry-1", addr, fmt.Sprintf(
		"[process]\nvm = e\nlisten = %s\nkeys = k\nbalancer_grace = 2s\ndrain_limit = 2s\n[platform]\nstore = http://%s\nvm_list = http://%s\n", addr, unused, unused))
	agentAddr := freeAddr(t)
	agent := startDaemon(t, "quetzalglade-agent", "agent-1", agentAddr, fmt.Sprintf(
		"[process]\nvm = a\nlisten = %s\nkeys = k\ndrain_grace = 1s\ndrain_limit = 2s\n[target]\nplain = http://%s\nrole = r\n[platform]\nstore = http://%s\n", agentAddr, unused, unused))
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	for _, p := range []*process{entry, agent} {
		eventually(t, startTimeout, p.name+" accepts connections", func() bool {
			_, err := askHealth(p.addr, startTimeout)
			return err == nil
		})
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP} {
			p.signal(s)
		}
	}
	type ended struct {
		failure *result.Error
		err     error
	}
	ask := func(method, path, key string) ended {
		_, _, failure, err := invokeWithKey(ctx, entry.addr, method, path, key, "{}")
		return ended{failure, err}
	}
	completion, resume := ask(http.MethodPost, "/v1/completions", ""), ask(http.MethodGet, "/v1/generations/gen-model-1.x.1", "")
	call, repeated := ask(http.MethodGet, "/s/booking/1", ""), ask(http.MethodPost, "/s/booking/1", "key-1")
	Convey("Each request is refused truthfully", t, func() {
		for _, c := range []struct {
			ended
			ran result.Ran
		}{{completion, result.RanNo}, {resume, result.RanUnknown}, {call, result.RanNo}, {repeated, result.RanUnknown}} {
			So(c.err, ShouldBeNil)
			So(c.failure, ShouldNotBeNil)
			So(c.failure.Code, ShouldEqual, result.ConfigurationAbsent)
			So(c.failure.Ran, ShouldEqual, c.ran)
		}
	})
	Convey("The processes end by themselves", t, func() {
		for _, p := range []*process{entry, agent} {
			exitCode, hasExited := p.exited(responseTimeout)
			So(hasExited, ShouldBeTrue)
			So(exitCode, ShouldEqual, 0)
		}
	})
}

// Guards against calls that an agent cuts off without an answer since it gets no processor time at the
// end of its stop.
func TestStallAtTheEndOfAnAgentsStop(t *testing.T) {
	addr := freeAddr(t)
	agent := startDaemon(t, "quetzalglade-agent", "agent-1", addr, fmt.Sprintf(
		"[process]\nvm = a\nlisten = %s\nkeys = %s\ndrain_grace = 100ms\ndrain_limit = %s\n[target]\nplain = http://%s\nrole = r\nslots = 64\n[platform]\nstore = http://%s\n",
		addr, fleetKey, stalledEndLimit, serve(t, standin.NewPlain(3*stalledEndLimit).Handler()), freeAddr(t)))
	tg := &target{agent: agent}
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	eventually(t, startTimeout, "the agent is ready", agent.ready)
	client := newPeerClient()
	state, err := client.State(ctx, tg.agent.addr)
	if err != nil {
		t.Fatal(err)
	}
	answers := make(chan error, stalledEndCalls)
	for i := range stalledEndCalls {
		go func() {
			reply, err := client.Call(ctx, tg.agent.addr, &peer.Call{
				ID: fmt.Sprintf("call-%d", i), Incarnation: state.Incarnation, Workspace: "w1", Service: "booking", Method: http.MethodGet,
				Path: fmt.Sprintf("/stall/%d", i), QueueMillis: responseTimeout.Milliseconds(), TimeoutMillis: responseTimeout.Milliseconds(), Idempotent: true,
			})
			if err == nil && reply.Error != nil && reply.Error.Ran != result.RanUnknown {
				err = fmt.Errorf("reply %+v", reply.Error)
			}
			answers <- err
		}()
	}
	eventually(t, startTimeout, "the calls are running", func() bool { return runningRequests(tg) == stalledEndCalls })
	tg.agent.stop()
	time.Sleep(stalledEndAt)
	tg.agent.pause()
	time.Sleep(stalledEndTime)
	tg.agent.resume()
	var lost []string
	for range stalledEndCalls {
		if err := <-answers; err != nil {
			lost = append(lost, err.Error())
		}
	}
	exitCode, hasExited := tg.agent.exited(responseTimeout)
	Convey("Each call has an answer that does not say that it has not run, and the process ends", t, func() {
		So(lost, ShouldBeEmpty)
		So(hasExited, ShouldBeTrue)
		So(exitCode, ShouldEqual, 0)
	})
}
