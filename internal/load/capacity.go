package load

import (
	"math/rand/v2"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Capacity is what the engines of a deployment can do with a mix at most.
type Capacity struct {
	// Requests is the rate of all requests, Tokens that of output tokens, in
	// 1/s.
	Requests float64 `json:"requests_per_s"`
	Tokens   float64 `json:"tokens_per_s"`
	// Batch is the number of sequences at each engine that the memory holds on
	// average.
	Batch float64 `json:"batch"`
}

const capacitySamples = 20000

// CapacityOf computes the capacity from the engine's published times and the
// mix: the batch that memory or MaxBatch allows, with sequences at their mean
// size over their life.
func CapacityOf(d *Deployment, e standin.EngineOptions) Capacity {
	rnd := rand.New(rand.NewPCG(1, 1))
	var tokens, prompts, occupied, models float64
	for range capacitySamples {
		a := d.arrival(0, rnd)
		if a.Length == 0 {
			continue
		}
		length, prompt := float64(a.Length), float64(len(a.Prompt))/bytesPerToken
		models++
		tokens += length
		prompts += prompt
		occupied += (prompt + length/2 + float64(e.BlockTokens)/2) * length
	}
	memory := float64(e.Blocks * e.BlockTokens)
	batch := min(float64(e.MaxBatch), memory*tokens/occupied)
	step := e.Base.Seconds() + batch*e.PerSequence.Seconds()
	perRequest := tokens/models*step/batch + prompts/models*e.PerPrefill.Seconds()
	rate := float64(len(d.Engines)) / perRequest
	return Capacity{Requests: rate * capacitySamples / models, Tokens: rate * tokens / models, Batch: batch}
}
