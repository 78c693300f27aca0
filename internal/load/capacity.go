package load

import (
	"math/rand/v2"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Capacity is the maximum throughput of a deployment's engines with its mix of
// requests.
type Capacity struct {
	// RequestsPerSecond is the rate of all requests, TokensPerSecond the rate of
	// output tokens.
	RequestsPerSecond float64 `json:"requests_per_s"`
	TokensPerSecond   float64 `json:"tokens_per_s"`
	// Batch is the mean number of sequences that a fully loaded engine runs at once,
	// limited by its KV cache and its maximum batch.
	Batch float64 `json:"batch"`
}

// capacitySamples is the size of CapacityOf's sample of the mix of requests.
const capacitySamples = 20000

// CapacityOf computes the capacity from the step times of the engine and a sample
// of the mix. It assumes the largest batch that the KV cache or MaxBatch allows,
// with every sequence at its mean size between its start and its end.
func CapacityOf(d *Deployment, e standin.EngineOptions) Capacity {
	rng := rand.New(rand.NewPCG(1, 1))
	// kvTokenSteps is the sum, over all generations and their steps, of the tokens that
	// the generation holds in the KV cache at that step.
	var outputTokens, promptTokens, kvTokenSteps, generations float64
	for range capacitySamples {
		a := d.arrival(0, rng)
		if a.OutputTokens == 0 {
			continue
		}
		output, promptLength := float64(a.OutputTokens), float64(len(a.Prompt))/bytesPerToken
		generations++
		outputTokens += output
		promptTokens += promptLength
		kvTokenSteps += (promptLength + output/2 + float64(e.BlockTokens)/2) * output
	}
	kvTokens := float64(e.Blocks * e.BlockTokens)
	batch := min(float64(e.MaxBatch), kvTokens*outputTokens/kvTokenSteps)
	stepSeconds := e.StepBase.Seconds() + batch*e.StepPerSequence.Seconds()
	secondsPerGeneration := outputTokens/generations*stepSeconds/batch + promptTokens/generations*e.StepPerPromptToken.Seconds()
	generationRate := float64(len(d.Engines)) / secondsPerGeneration
	return Capacity{RequestsPerSecond: generationRate * capacitySamples / generations, TokensPerSecond: generationRate * outputTokens / generations, Batch: batch}
}
