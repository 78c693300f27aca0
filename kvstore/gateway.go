package kvstore

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
)

// EtcdStore is a Store that uses the HTTP/JSON gateway of etcd v3.
type EtcdStore struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
	calls   CallCounts
	eras    eraTracker
}

// CallCounts holds the numbers of calls made to the store, by kind. Reads counts
// Get and Range, Writes counts Commit, Leases counts Grant, KeepAlive and Revoke.
type CallCounts struct {
	Reads, Writes, Leases, Watches atomic.Int64
}

// NewEtcdStore returns a Store for the etcd endpoint at baseURL, such as
// "http://10.0.0.1:2379". Each call except a watch times out after timeout.
func NewEtcdStore(baseURL string, client *http.Client, timeout time.Duration) *EtcdStore {
	return &EtcdStore{baseURL: strings.TrimSuffix(baseURL, "/"), http: client, timeout: timeout}
}

// Calls returns the counters of the calls that this EtcdStore has made. They may
// be read at any time.
func (s *EtcdStore) Calls() *CallCounts { return &s.calls }

var _ Store = (*EtcdStore)(nil)

type wireKV struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string"`
}

func (w wireKV) kv() KV {
	return KV{Key: string(w.Key), Value: w.Value, CreateRevision: w.CreateRevision, ModRevision: w.ModRevision, Lease: w.Lease}
}

// wireHeader is the header of a response. Calls that change or read no key may omit it.
type wireHeader struct {
	ClusterID string `json:"cluster_id"`
	Revision  int64  `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header wireHeader `json:"header"`
	KVs    []wireKV   `json:"kvs"`
}

// Era implements Store. It counts the restores that this process has recognised.
func (s *EtcdStore) Era() int64 { return s.eras.begin().era }

// Get implements Store.
func (s *EtcdStore) Get(ctx context.Context, key string) (*KV, error) {
	s.calls.Reads.Add(1)
	var out rangeResponse
	began := s.eras.begin()
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return nil, err
	}
	s.eras.end(began, out.Header, true)
	if len(out.KVs) == 0 {
		return nil, nil
	}
	kv := out.KVs[0].kv()
	return &kv, nil
}

// Range implements Store.
func (s *EtcdStore) Range(ctx context.Context, prefix string) ([]KV, Position, error) {
	s.calls.Reads.Add(1)
	var out rangeResponse
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	began := s.eras.begin()
	if err := s.call(ctx, "/v3/kv/range", req, &out); err != nil {
		return nil, Position{}, err
	}
	position := Position{Era: s.eras.end(began, out.Header, true), Revision: out.Header.Revision}
	kvs := make([]KV, len(out.KVs))
	for i, w := range out.KVs {
		kvs[i] = w.kv()
	}
	return kvs, position, nil
}

// prefixEnd returns the exclusive end of the range of keys that start with
// prefix. A zero byte means that the range has no end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Value       []byte `json:"value,omitempty"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type wireOp struct {
	Put    *wirePut      `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []wireCompare `json:"compare"`
	Success []wireOp      `json:"success"`
	Failure []wireOp      `json:"failure"`
}

type txnResponse struct {
	Header    wireHeader `json:"header"`
	Succeeded bool       `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range,omitempty"`
	} `json:"responses"`
}

// Commit implements Store.
func (s *EtcdStore) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	s.calls.Writes.Add(1)
	var out txnResponse
	began := s.eras.begin()
	if txn.RestsOnEra() && began.era != txn.Era {
		return TxnResult{}, errors.Wrapf(ErrRestored, "transaction of era %d not sent in era %d", txn.Era, began.era)
	}
	if err := s.call(ctx, "/v3/kv/txn", encodeTxn(txn), &out); err != nil {
		return TxnResult{}, err
	}
	s.eras.end(began, out.Header, true)
	// Another response may have shown a restore while this one was on its way.
	if era := s.Era(); txn.RestsOnEra() && era != txn.Era {
		return TxnResult{}, errors.Wrapf(ErrRestored, "transaction of era %d met era %d", txn.Era, era)
	}
	result := TxnResult{Applied: out.Succeeded, Revision: out.Header.Revision}
	for _, r := range out.Responses {
		if r.Range == nil {
			continue
		}
		for _, w := range r.Range.KVs {
			result.Current = append(result.Current, w.kv())
		}
	}
	return result, nil
}

// encodeTxn returns the request for a transaction. On failure the request reads
// the compared keys.
func encodeTxn(txn Txn) txnRequest {
	var req txnRequest
	for _, c := range txn.Compares {
		key := []byte(c.Key)
		compare := wireCompare{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: c.ModRevision}
		if c.Value != nil {
			compare = wireCompare{Key: key, Target: "VALUE", Result: "EQUAL", Value: c.Value}
		}
		req.Compare = append(req.Compare, compare)
		req.Failure = append(req.Failure, wireOp{Range: &rangeRequest{Key: key}})
	}
	for _, op := range txn.Ops {
		if op.Delete {
			req.Success = append(req.Success, wireOp{Delete: &rangeRequest{Key: []byte(op.Key)}})
			continue
		}
		put := &wirePut{Key: []byte(op.Key), Value: op.Value, Lease: op.Lease}
		req.Success = append(req.Success, wireOp{Put: put})
	}
	return req
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header wireHeader `json:"header"`
	leaseMessage
}

// Grant implements Store. It rounds ttl down to whole seconds, but not below one
// second.
func (s *EtcdStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	s.calls.Leases.Add(1)
	var out leaseResponse
	seconds := max(int64(ttl/time.Second), 1)
	began := s.eras.begin()
	err := s.call(ctx, "/v3/lease/grant", leaseMessage{TTL: seconds}, &out)
	if err == nil {
		s.eras.end(began, out.Header, false)
	}
	return out.ID, err
}

// KeepAlive implements Store.
func (s *EtcdStore) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	s.calls.Leases.Add(1)
	var out struct {
		Result leaseResponse `json:"result"`
	}
	began := s.eras.begin()
	err := s.call(ctx, "/v3/lease/keepalive", leaseMessage{ID: lease}, &out)
	if err == nil {
		s.eras.end(began, out.Result.Header, false)
	}
	return time.Duration(out.Result.TTL) * time.Second, err
}

// Revoke implements Store.
func (s *EtcdStore) Revoke(ctx context.Context, lease int64) error {
	s.calls.Leases.Add(1)
	return s.call(ctx, "/v3/lease/revoke", leaseMessage{ID: lease}, &struct{}{})
}

// call posts a request and decodes the response into out. It times out after
// s.timeout.
func (s *EtcdStore) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	resp, err := s.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer httpclient.CloseBody(resp)
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "store %s: decode response", path)
}

// post sends a request and returns the response if its status is 200. The caller
// closes the response's body. A 404 is returned as ErrLeaseNotFound.
func (s *EtcdStore) post(ctx context.Context, path string, in any) (*http.Response, error) {
	resp, err := httpclient.SendJSON(ctx, s.http, http.MethodPost, s.baseURL+path, in)
	if err != nil {
		return nil, errors.Wrapf(err, "store %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		httpclient.CloseBody(resp)
		if resp.StatusCode == http.StatusNotFound {
			return nil, errors.Wrapf(ErrLeaseNotFound, "%s", path)
		}
		return nil, errors.Newf("store %s: status %d", path, resp.StatusCode)
	}
	return resp, nil
}
