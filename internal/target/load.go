package target

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// LoadReport is the load that an engine reports about itself. It may lag behind
// the engine's current load.
type LoadReport struct {
	Running     int
	Waiting     int
	UsedBlocks  int
	TotalBlocks int
	// BlockTokens is the size of a KV cache block in tokens.
	BlockTokens int
	// Preemptions is the number of preemptions since the engine started.
	Preemptions int64
	// StartTime is the start time of the engine's process in seconds since the
	// Unix epoch. A changed value means that the engine was restarted.
	StartTime float64
}

// Load reads the engine's metrics page in the Prometheus text format.
func (e *Engine) Load(ctx context.Context) (LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/metrics", nil)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "create engine request")
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "read engine metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, errors.Newf("read engine metrics: unexpected status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "read engine metrics")
	}
	value := func(name string) float64 {
		family := families[name]
		if family == nil || len(family.Metric) == 0 {
			return 0
		}
		if gauge := family.Metric[0].GetGauge(); gauge != nil {
			return gauge.GetValue()
		}
		return family.Metric[0].GetCounter().GetValue()
	}
	return LoadReport{
		Running:     int(value("engine_requests_running")),
		Waiting:     int(value("engine_requests_waiting")),
		UsedBlocks:  int(value("engine_kv_blocks_used")),
		TotalBlocks: int(value("engine_kv_blocks_total")),
		BlockTokens: int(value("engine_kv_block_tokens")),
		Preemptions: int64(value("engine_preemptions_total")),
		StartTime:   value("process_start_time_seconds"),
	}, nil
}
