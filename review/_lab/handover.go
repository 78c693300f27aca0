package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the case and the bound of the rule.
const (
	handoverLimit = 400 * time.Millisecond
	drainPeriod   = 3 * time.Second
	streams       = 16
	streamEvents  = 180
)

// engineService is the configuration of a service of engines, as the pages show it.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 242, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kv_capacity": engineKV, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": eventTokens,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// newSidecar starts the sidecar beside an engine with the command of the deploy file.
func (l *lab) newSidecar(name, listen, engineAddr string) {
	text := l.fill("deploy/sidecar.ini", map[string]string{
		"node_name": name, "{{ip}}:{{port_range.0}}": listen, "limits.memory_mb": "216", "app": engineAddr,
	})
	path := filepath.Join(l.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
	l.start(name, []string{"QUETZALGLADE_NODE_FILE=" + path}, nil, "target/quetzalglade-sidecar")
}

// handoverCase drains one of six engines while streams run. The engine is one of those that go on
// with a request whose connection has closed.
func handoverCase(l *lab) bool {
	s := &engineSet{l: l, service: "models", copies: map[string]*kvCopy{}}
	l.store.write("op/config", configuration(1, []map[string]any{engineService("models")}, route("r-draft", "/draft/", "streaming", "models", 39000, 1, 1)))
	sidecarPort := freePort("127.0.0.21")
	const engines = 6
	for n := range engines {
		ip := "127.0.0." + strconv.Itoa(21+n)
		e := s.startEngine(n, l.addr(ip), n == 0)
		l.newSidecar("side-z1-"+strconv.Itoa(n+1), ip+":"+strconv.Itoa(sidecarPort), e.addr)
	}
	b := newBalancer([]*gateway{l.newGateway("edge-z1-1", sidecarPort), l.newGateway("edge-z1-2", sidecarPort)})
	b.awaitReady()
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() {
			c := &client{l: l, b: b, n: n}
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			header := map[string]string{
				"X-Model-Name": "m", "X-Token-Count": fmt.Sprintf("1460,%d", streamEvents*eventTokens), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:660", n+1),
			}
			c.send(http.MethodPost, "/draft/proof", fmt.Sprintf("proof %d", n), header, 39*time.Second, readEvents)
			c.close()
		})
	}
	time.Sleep(6 * time.Second)
	if l.trouble {
		s.engines[0].leave(drainPeriod + 3*time.Second)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return judgeTwice(l, s)
}

// readEvents reads a stream of events to its end and checks their order.
func readEvents(body io.Reader) error {
	r, want, got := bufio.NewReader(body), 1, 0
	for {
		line, err := r.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			if got != streamEvents {
				return fmt.Errorf("the stream ends after event %d", got)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("after event %d: %w", got, err)
		}
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			if got, _ = strconv.Atoi(id); got != want {
				return fmt.Errorf("event %d where %d is due", got, want)
			}
			want++
		}
	}
}

// judgeTwice applies the rule TWICE: a request goes on at another worker while the worker before
// still works on it 400 ms later.
func judgeTwice(l *lab, s *engineSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	twice := 0
	for _, later := range s.runs {
		for _, before := range s.runs {
			if before.id != later.id || before.engine == later.engine || !before.startedAt.Before(later.startedAt) {
				continue
			}
			before.engine.mu.Lock()
			beside := 0
			for _, at := range before.events {
				if at.After(later.startedAt.Add(handoverLimit)) {
					beside++
				}
			}
			before.engine.mu.Unlock()
			l.note("%s: goes on at %s at %.3f, connection to %s closed at %.3f, which made %d events later than 400 ms after",
				later.id, later.engine.id, l.since(later.startedAt).Seconds(), before.engine.id, l.since(before.closedAt).Seconds(), beside)
			if beside > 0 {
				twice++
			}
		}
	}
	l.note("runs %d, TWICE %d", len(s.runs), twice)
	return twice > 0
}
