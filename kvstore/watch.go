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
		Events   []struct {
			Type string `json:"type"`
			KV   wireKV `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// Watch implements Store.
func (s *EtcdStore) Watch(ctx context.Context, prefix string, from int64) <-chan WatchBatch {
	s.calls.Watches.Add(1)
	out := make(chan WatchBatch)
	go func() {
		defer close(out)
		err := s.watch(ctx, prefix, from, out)
		select {
		case out <- WatchBatch{Err: err}:
		case <-ctx.Done():
		}
	}()
	return out
}

// watch sends the changes under a prefix from revision from on to out. It returns
// when the watch fails or ends, or when ctx ends.
func (s *EtcdStore) watch(ctx context.Context, prefix string, from int64, out chan<- WatchBatch) error {
	req := watchRequest{Create: createRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: from}}
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
			return errors.New("store: watch cancelled")
		}
		select {
		case out <- response.batch():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *watchResponse) batch() WatchBatch {
	b := WatchBatch{Revision: r.Result.Header.Revision}
	for _, e := range r.Result.Events {
		b.Events = append(b.Events, Event{KV: e.KV.kv(), Deleted: e.Type == "DELETE"})
	}
	return b
}

// WatchByPolling starts a watch by polling and returns its channel, as Store.Watch
// does. A goroutine calls poll in a loop and sends each batch to the channel. poll
// returns the changes after the given revision, and may wait until there are some.
func WatchByPolling(ctx context.Context, from int64, poll func(after int64) WatchBatch) <-chan WatchBatch {
	out := make(chan WatchBatch)
	go func() {
		defer close(out)
		after := from - 1
		for {
			batch := poll(after)
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
			after = max(after, batch.Revision)
		}
	}()
	return out
}
