package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// stoppableAgent is an agent with one slot that a test stops.
type stoppableAgent struct {
	agent   *Agent
	client  *peer.Client
	addr    string
	stop    context.CancelFunc
	stopped chan struct{}
}

// startStoppableAgent starts an agent; opts names its target.
func startStoppableAgent(t *testing.T, useTLS bool, opts Options) *stoppableAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	keys := peer.Keys{"test"}
	s := &stoppableAgent{addr: listener.Addr().String(), client: peer.NewClient(&http.Client{}, keys), stopped: make(chan struct{})}
	if useTLS {
		certified := httptest.NewTLSServer(http.NotFoundHandler())
		t.Cleanup(certified.Close)
		listener = httpserve.NewListener(listener, &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12})
		s.client = peer.NewClient(certified.Client(), keys)
		s.client.UseTLS()
	}
	opts.VM, opts.Listener, opts.Keys = "vm", listener, keys
	opts.Limits = decision.QueueLimits{Slots: 1, MaxWaiting: 8}
	if s.agent, err = New(opts); err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() {
		defer close(s.stopped)
		_ = s.agent.Serve(ctx)
	}()
	t.Cleanup(func() {
		s.stop()
		<-s.stopped
	})
	return s
}

// awaitLoad waits until the agent runs and queues the given numbers of requests.
func (s *stoppableAgent) awaitLoad(ctx context.Context, running, queued int) {
	for load := s.agent.State().Load; ctx.Err() == nil && (load.Running != running || load.Queued != queued); load = s.agent.State().Load {
		time.Sleep(time.Millisecond)
	}
}

// call sends a call in the background; key is the idempotency key of one that runs at most once.
func (s *stoppableAgent) call(ctx context.Context, id, key string) <-chan *result.Error {
	msg := &peer.Call{
		ID: id, Incarnation: s.agent.incarnation, Workspace: "w", Service: "booking", Method: http.MethodGet, Path: "/status/" + id,
		QueueMillis: answerTimeout.Milliseconds(), TimeoutMillis: answerTimeout.Milliseconds(), Idempotent: key == "",
	}
	if key != "" {
		msg.Method = http.MethodPost
		msg.AtMostOnce = &peer.AtMostOnce{
			Key: key, Fingerprint: "f", AgentUptimeMillis: s.agent.uptime().Milliseconds(), StartWithinMillis: time.Minute.Milliseconds(),
		}
	}
	failures := make(chan *result.Error, 1)
	go func() {
		reply, err := s.client.Call(ctx, s.addr, msg)
		if err == nil {
			failures <- reply.Error
			return
		}
		failures <- result.From(err)
	}()
	return failures
}

// startHeldService starts a plain service that answers nothing until the end of the test.
func startHeldService(t *testing.T) (url string) {
	t.Helper()
	released := make(chan struct{})
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-released }))
	t.Cleanup(service.Close)
	t.Cleanup(func() { close(released) })
	return service.URL
}

const stopLimit = time.Second

// Guards against work that is cut off without an answer at the end of an agent's stop: it ran, and it
// waited in the queue.
func TestStopAnswersCallsInProgress(t *testing.T) {
	for _, useTLS := range []bool{false, true} {
		for _, key := range []string{"", "key-1"} {
			t.Run(fmt.Sprintf("tls=%t key=%s", useTLS, key), func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
				defer cancel()
				s := startStoppableAgent(t, useTLS, Options{PlainURL: startHeldService(t), Role: "booking", DrainLimit: stopLimit, DrainGrace: time.Millisecond})
				running := s.call(ctx, "a", key)
				s.awaitLoad(ctx, 1, 0)
				queued := s.call(ctx, "b", key+"b")
				s.awaitLoad(ctx, 1, 1)
				reserved := make(chan error, 1)
				go func() {
					_, err := s.client.Reserve(ctx, s.addr, &peer.Reserve{ID: "c", Incarnation: s.agent.incarnation, Workspace: "w", Service: "booking", QueueMillis: answerTimeout.Milliseconds()})
					reserved <- err
				}()
				s.awaitLoad(ctx, 1, 2)
				s.stop()
				runningFailure, queuedFailure, reservedFailure := <-running, <-queued, result.From(<-reserved)
				<-s.stopped
				Convey("What runs is answered as work that may have run, what waits as not run", t, func() {
					So(runningFailure, ShouldNotBeNil)
					So(runningFailure.Code, ShouldEqual, result.OutcomeUnknown)
					So(runningFailure.Ran, ShouldEqual, result.RanUnknown)
					for _, failure := range []*result.Error{queuedFailure, reservedFailure} {
						So(failure, ShouldNotBeNil)
						So(failure.Code, ShouldEqual, result.TargetLeaving)
						So(failure.Ran, ShouldEqual, result.RanNo)
					}
				})
			})
		}
	}
}

// Guards against a generation that an agent cuts off at the end of its stop, and that its engine runs on.
func TestStopEndsGenerationsInProgress(t *testing.T) {
	options := standin.DefaultEngineOptions()
	options.Models, options.StepBase = []string{"m"}, 10*time.Millisecond
	engine := standin.NewEngine(options)
	t.Cleanup(engine.Close)
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	s := startStoppableAgent(t, false, Options{EngineURL: server.URL, Role: "model", DrainLimit: stopLimit, DrainGrace: time.Millisecond})
	for !s.agent.State().Ready && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	last := func(id string) <-chan peer.Frame {
		frames := make(chan peer.Frame, 1)
		go func() {
			defer close(frames)
			stream, err := s.client.Start(ctx, s.addr, &peer.Attempt{
				ID: "att-" + id, Generation: peer.GenerationID("vm", s.agent.incarnation, id), Workspace: "w", Service: "guide", Model: "m",
				Prompt: id + " <<len=2000>>", PromptTokens: 1, MaxTokens: 2000, QueueMillis: answerTimeout.Milliseconds(),
				ResumeMillis: answerTimeout.Milliseconds(), TimeoutMillis: answerTimeout.Milliseconds(),
			})
			if err != nil {
				return
			}
			defer stream.Close()
			for {
				f, err := stream.Next()
				if err != nil {
					return
				}
				if f.Error != nil || f.End != nil {
					frames <- f
					return
				}
			}
		}()
		return frames
	}
	running := last("running")
	s.awaitLoad(ctx, 1, 0)
	queued := last("queued")
	s.awaitLoad(ctx, 1, 1)
	s.stop()
	runningEnd, queuedEnd := <-running, <-queued
	<-s.stopped
	Convey("Each generation ends with a true error, and the engine runs none of them", t, func() {
		So(runningEnd.Error, ShouldNotBeNil)
		So(runningEnd.Error.Code, ShouldEqual, result.EngineLost)
		So(runningEnd.Error.Ran, ShouldEqual, result.RanYes)
		So(queuedEnd.Error, ShouldNotBeNil)
		So(queuedEnd.Error.Code, ShouldEqual, result.TargetLeaving)
		So(queuedEnd.Error.Ran, ShouldEqual, result.RanNo)
		So(engine.Stats().Started, ShouldEqual, 1)
		So(engine.Stats().Cancelled, ShouldEqual, 1)
	})
}

// Guards against work that a stopping agent accepts again since an operator ends a drain.
func TestStoppingAgentAcceptsNoWork(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	s := startStoppableAgent(t, false, Options{PlainURL: startHeldService(t), Role: "booking", DrainLimit: 3 * stopLimit, DrainGrace: time.Millisecond})
	running := s.call(ctx, "a", "")
	s.awaitLoad(ctx, 1, 0)
	s.stop()
	for !s.agent.State().Draining && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	err := s.client.Drain(ctx, s.addr, false)
	late := <-s.call(ctx, "b", "")
	<-running
	Convey("It refuses the call as not run", t, func() {
		So(err, ShouldBeNil)
		So(late, ShouldNotBeNil)
		So(late.Code, ShouldEqual, result.TargetLeaving)
		So(late.Ran, ShouldEqual, result.RanNo)
		So(late.Message, ShouldEqual, "the target is leaving")
	})
}
