package kvstore

import (
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

type watchRequest struct {
	Create createRequest `json:"create_request"`
}

type createRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchResponse struct {
	Result struct {
		Header   wireHeader `json:"header"`
		Canceled bool       `json:"canceled"`
		// CompactRevision is set if the watch is cancelled because its history is gone.
		CompactRevision int64 `json:"compact_revision,string"`
		Events          []struct {
			Type string `json:"type"`
			KV   wireKV `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// Watch implements Store.
func (s *EtcdStore) Watch(ctx context.Context, prefix string, after Position) <-chan WatchBatch {
	s.calls.Watches.Add(1)
	out := make(chan WatchBatch)
	go func() {
		defer close(out)
		err := s.watch(ctx, prefix, after, out)
		select {
		case out <- WatchBatch{Err: err}:
		case <-ctx.Done():
		}
	}()
	return out
}

// watch sends the changes under a prefix after a position to out. It returns
// when the watch fails or ends, or when ctx ends.
func (s *EtcdStore) watch(ctx context.Context, prefix string, after Position, out chan<- WatchBatch) error {
	req := watchRequest{Create: createRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: after.Revision + 1}}
	began := s.eras.begin()
	if err := CheckEra(began.era, after.Era); err != nil {
		return err
	}
	resp, err := s.post(ctx, "/v3/watch", req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	decoder := json.NewDecoder(resp.Body)
	for {
		var response watchResponse
		if err := decoder.Decode(&response); err != nil {
			if errors.Is(err, io.EOF) {
				return errors.New("store: watch ended")
			}
			return errors.Wrap(err, "store: watch: decode response")
		}
		if response.Result.Canceled {
			if response.Result.CompactRevision > 0 {
				return ErrCompacted
			}
			return errors.New("store: watch cancelled")
		}
		batch := response.batch(s.eras.end(began, response.Result.Header, false))
		if err := CheckEra(s.Era(), after.Era); err != nil {
			return err
		}
		if batch.Revision < after.Revision {
			return s.checkBehind(ctx, prefix, after)
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkBehind returns the error of a watch whose responses have a lower revision than the
// watch began with: ErrRestored if the cluster has been restored, another error if only the
// member that responds is behind. A watch of a later revision would hear nothing until then.
func (s *EtcdStore) checkBehind(ctx context.Context, prefix string, after Position) error {
	if _, err := s.Get(ctx, prefix); err != nil {
		return err
	}
	if err := CheckEra(s.Era(), after.Era); err != nil {
		return err
	}
	return errors.Newf("store: watch: the member is behind revision %d", after.Revision)
}

func (r *watchResponse) batch(era int64) WatchBatch {
	b := WatchBatch{Era: era, Revision: r.Result.Header.Revision}
	for _, e := range r.Result.Events {
		b.Events = append(b.Events, Event{KV: e.KV.kv(), Deleted: e.Type == "DELETE"})
	}
	return b
}

// WatchByPolling starts a watch by polling and returns its channel, as Store.Watch
// does. A goroutine calls poll in a loop and sends each batch to the channel. poll
// returns the changes after the given position, and may wait until there are some. A batch
// of another era ends the watch.
func WatchByPolling(ctx context.Context, after Position, poll func(after Position) WatchBatch) <-chan WatchBatch {
	out := make(chan WatchBatch)
	go func() {
		defer close(out)
		for {
			batch := poll(after)
			if batch.Err == nil {
				batch.Err = CheckEra(batch.Era, after.Era)
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
			after.Revision = max(after.Revision, batch.Revision)
		}
	}()
	return out
}
